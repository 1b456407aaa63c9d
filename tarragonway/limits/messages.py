"""Messages about shares of plan limits."""

import msgspec

from tarragonway.core.ids import AccountId


class ShareWish(msgspec.Struct, frozen=True, array_like=True):
    """An entry process's present use and share of one client account's limits.

    ``demand_per_s`` is the rate of arrivals, ``held_per_s`` and ``held_concurrent``
    the share held until ``held_s`` from now.
    """

    account: AccountId
    demand_per_s: float
    running: int
    held_per_s: float = 0.0
    held_concurrent: int = 0


class ShareGrant(msgspec.Struct, frozen=True, array_like=True):
    """A share of one client account's limits."""

    account: AccountId
    per_s: float
    concurrent: int


class ShareCall(msgspec.Struct, frozen=True, tag=True):
    """An entry process asks for shares of the accounts that it serves."""

    call: int
    wishes: tuple[ShareWish, ...]


class ShareReply(msgspec.Struct, frozen=True, tag=True):
    """Shares that hold for ``lease_s`` from when the call was sent."""

    call: int
    lease_s: float
    grants: tuple[ShareGrant, ...]
