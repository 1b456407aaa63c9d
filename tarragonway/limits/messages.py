"""Messages about shares of plan limits."""

import msgspec

from tarragonway.core.ids import AccountId


class ShareRequest(msgspec.Struct, frozen=True, array_like=True):
    """An entry process's present use and share of one client account's limits.

    ``demand_per_s`` is the rate of arrivals and ``running`` the number of running
    requests. ``held_per_s`` and ``held_concurrent`` are the share that it holds, 0 if
    its lease has expired.
    """

    account: AccountId
    demand_per_s: float
    running: int
    held_per_s: float = 0.0
    held_concurrent: int = 0


class ShareGrant(msgspec.Struct, frozen=True, array_like=True):
    """Granted share of one client account's limits."""

    account: AccountId
    per_s: float
    concurrent: int


class ShareCall(msgspec.Struct, frozen=True, tag=True):
    """Request of an entry process for shares of the client accounts that it serves."""

    call: int
    requests: tuple[ShareRequest, ...] = msgspec.field(name="wishes")


class ShareReply(msgspec.Struct, frozen=True, tag=True):
    """Granted shares, valid for ``lease_s`` seconds from when the call was sent."""

    call: int
    lease_s: float
    grants: tuple[ShareGrant, ...]
