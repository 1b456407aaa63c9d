"""Messages between gateways and coordinators."""

import msgspec

from tarragonway.consensus import Member, Packet
from tarragonway.core.ids import AccountId, Fingerprint, ProcessName
from tarragonway.endpoints.listing import ListedEndpoint


class Join(msgspec.Struct, frozen=True, tag=True):
    """Asks the group to admit a coordinator."""

    member: Member


class Hello(msgspec.Struct, frozen=True, tag=True):
    """First message of a gateway on each link."""

    name: ProcessName


class Status(msgspec.Struct, frozen=True, tag=True):
    """What a coordinator knows; sent on changes and at a low rate.

    ``leader`` is the address of the leader that it follows, or empty; ``coordinators``
    are the addresses of all members; ``revision`` is the newest configuration applied.
    """

    term: int
    leader: str
    is_leader: bool
    coordinators: tuple[str, ...]
    revision: int


class FetchConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Asks for the text of the newest configuration."""


class ConfigurationText(msgspec.Struct, frozen=True, tag=True):
    """A configuration as the operator sent it, compressed."""

    revision: int
    data: bytes


class WindowCounts(msgspec.Struct, frozen=True, array_like=True):
    """Requests that began to run in one reporting window, by client account."""

    window: int
    counts: dict[AccountId, int]


class QuotaAsk(msgspec.Struct, frozen=True, tag=True):
    """Asks the leader for units of a client account's quota, for one request."""

    sequence: int
    account: AccountId
    units: float


class QuotaAnswer(msgspec.Struct, frozen=True, tag=True):
    """The units are granted, or may be asked for again after ``wait_s``."""

    sequence: int
    granted: bool
    wait_s: float = 0.0


class QuotaReturn(msgspec.Struct, frozen=True, tag=True):
    """Gives back the units of a request that did not run."""

    account: AccountId
    units: float


class Crash(msgspec.Struct, frozen=True, tag=True):
    """An endpoint broke off while it ran a content; sent at once."""

    fingerprint: Fingerprint
    endpoint: str


class Cleared(msgspec.Struct, frozen=True, tag=True):
    """A suspected content ran to its end."""

    fingerprint: Fingerprint


class GrantHistory(msgspec.Struct, frozen=True, array_like=True):
    """What former leaders have granted a gateway; told to each new leader.

    ``units`` are sums over the last window by client account. ``seen_s`` is how long
    the gateway has been running, ``gateways`` how many there were by the last leader's
    word.
    """

    units: dict[AccountId, tuple[float, ...]]
    seen_s: float
    gateways: int


class Beat(msgspec.Struct, frozen=True, tag=True):
    """A gateway's report to the leader.

    ``clock_s`` is its wall-clock time at sending. ``listing_term`` and ``listing`` name
    the list of endpoints that it holds. ``usage`` counts are cumulative, so a repeated
    report changes nothing. ``pressure`` is the work that it sends to each service, in
    seconds a second.
    """

    name: ProcessName
    sequence: int
    clock_s: float
    listing_term: int
    listing: int
    usage: tuple[WindowCounts, ...]
    crashes: tuple[Crash, ...]
    pressure: dict[str, float] = {}
    history: GrantHistory | None = None


class BeatReply(msgspec.Struct, frozen=True, tag=True):
    """The leader's answer to a :class:`Beat`.

    ``clock_correction_s`` is what the gateway's clock lacks against the median of all;
    ``gateways`` is the number of gateways that report, 0 if not known yet;
    ``listing_age_s`` is the age of the endpoint list.
    """

    term: int
    sequence: int
    clock_correction_s: float
    gateways: int
    listing: int
    listing_age_s: float
    quarantined: tuple[Fingerprint, ...] = ()
    suspects: tuple[Fingerprint, ...] = ()


class EndpointUpdate(msgspec.Struct, frozen=True, tag=True):
    """Changed rows of the platform's list; all rows if ``whole``."""

    term: int
    listing: int
    whole: bool
    rows: tuple[ListedEndpoint, ...]
    gone: tuple[str, ...]


LinkMessage = (
    Packet
    | Join
    | Hello
    | Status
    | FetchConfiguration
    | ConfigurationText
    | Beat
    | QuotaAsk
    | QuotaAnswer
    | QuotaReturn
    | Crash
    | Cleared
    | BeatReply
    | EndpointUpdate
)
