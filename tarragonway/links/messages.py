"""Messages between gateways and coordinators.

The types of fields bound their values. A message with a value out of bounds cannot be
decoded, and is dropped by the link.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from tarragonway.consensus import Member, Packet
from tarragonway.core.ids import (
    AccountId,
    Fingerprint,
    PartId,
    ProcessName,
    ServiceName,
    SoftwareVersion,
    StreamKey,
)
from tarragonway.core.numbers import (
    Age,
    Amount,
    ClockDifference,
    ClockTime,
    Count,
    EncodedInteger,
    ProcessCount,
)
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import EngineSpeed
from tarragonway.overload.messages import AdmittedRows, OfferedService
from tarragonway.pace.messages import EndpointPace, MeasuredPace
from tarragonway.rollouts import RolloutCounts, RolloutOrders, RolloutShare
from tarragonway.versions import StreamOrigin

# Units of a quota: more than any configuration that is accepted counts for a request.
Units = Annotated[float, Meta(ge=0, le=1e31)]
# Priority of a route, of which an earlier release does not tell.
Priority = Annotated[int, Meta(ge=0, le=2**53)]
DEFAULT_PRIORITY = 5
# Version of a list; -1 matches none.
ListVersion = Annotated[int, Meta(ge=-1, le=2**53)]
Addresses = Annotated[tuple[str, ...], Meta(max_length=256)]


class Join(msgspec.Struct, frozen=True, tag=True):
    """Request of a coordinator to be added to the replicated group."""

    member: Member


class Hello(msgspec.Struct, frozen=True, tag=True):
    """First message of a gateway on each link, with its name."""

    name: ProcessName


class Status(msgspec.Struct, frozen=True, tag=True):
    """State of a coordinator, sent on changes and periodically at a low rate.

    ``leader`` is the address of the leader, empty if none is known; ``coordinators``
    are the addresses of all members; ``revision`` is that of the newest configuration
    that the coordinator has applied, -1 without one.
    """

    term: Count
    leader: str
    is_leader: bool
    coordinators: Addresses
    revision: EncodedInteger


class FetchConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Request for the text of the newest configuration."""


class ConfigurationText(msgspec.Struct, frozen=True, tag=True):
    """Text of a configuration as the operator sent it, compressed with zlib."""

    revision: EncodedInteger
    data: bytes


class WindowCounts(msgspec.Struct, frozen=True, array_like=True):
    """Requests that began to run in one report window, by client account."""

    window: Count
    counts: dict[AccountId, Count]


class QuotaRequest(msgspec.Struct, frozen=True, tag="QuotaAsk", omit_defaults=True):
    """Request to the leader for quota units of a client account, for one request.

    ``priority`` is that of the route, not of the account. ``time_left_s`` is the time
    until the caller's deadline, 0 if it is not known. ``is_repeated`` means that the
    gateway asks again for a caller that it holds.
    """

    sequence: int
    account: AccountId
    units: Units
    priority: Priority = DEFAULT_PRIORITY
    time_left_s: Age = 0.0
    is_repeated: bool = False


class QuotaReply(msgspec.Struct, frozen=True, tag="QuotaAnswer"):
    """The leader's reply to :class:`QuotaRequest`.

    If the units are not granted, a retry may succeed after ``wait_s`` seconds.
    """

    sequence: int
    granted: bool
    wait_s: Amount = 0.0


class QuotaReturn(msgspec.Struct, frozen=True, tag=True):
    """Return of the quota units of a request that did not run."""

    account: AccountId
    units: Units


class CrashReport(msgspec.Struct, frozen=True, tag="Crash"):
    """Crash report: an endpoint failed while it ran this content.

    It is sent at once, and repeated in the first report to a new leader. ``parts`` are
    the shared parts of its prompt; ``age_s`` is the time since the crash in seconds.
    ``probe`` is the gateway's sequence number of the probe that the request was, 0 if
    it was none. ``lasted_s`` is the time for which the answer had lasted in seconds, 0
    if it had not begun.
    """

    fingerprint: Fingerprint
    endpoint: str
    parts: tuple[PartId, ...] = ()
    age_s: Age = 0.0
    probe: int = 0
    lasted_s: Age = 0.0


class SuspectCleared(msgspec.Struct, frozen=True, tag="Cleared"):
    """Report that a suspected content was answered completely."""

    fingerprint: Fingerprint


class EndpointLeaving(msgspec.Struct, frozen=True, tag=True):
    """Report that an endpoint has said in an answer that it leaves."""

    endpoint: str


class LimitStated(msgspec.Struct, frozen=True, tag=True):
    """Report on the request limit that an endpoint states, None if it states none.

    ``age_s`` is the time since the answer in seconds, or without a limit since its
    request was sent.
    """

    endpoint: str
    per_s: Amount | None
    age_s: Age = 0.0


class PermitRequest(msgspec.Struct, frozen=True, tag=True):
    """Request to the leader to send one request to one of these limited endpoints.

    ``limits`` are the endpoints' limits, in order of preference, as the gateway knows
    them.
    """

    sequence: int
    limits: dict[str, Amount]


class PermitReply(msgspec.Struct, frozen=True, tag=True):
    """The leader's reply to :class:`PermitRequest`.

    ``endpoint`` may be sent one request; it is empty if none of them may. Then
    ``waits_s`` are the seconds until each endpoint takes a request, and a caller may
    return after ``return_s``.
    """

    sequence: int
    endpoint: str
    waits_s: dict[str, Amount] = {}
    return_s: Amount = 0.0


class HeldParts(msgspec.Struct, frozen=True, tag=True):
    """Prompt parts that must not be sent to endpoints, except by a granted probe.

    Every coordinator sends them to each gateway that connects, and on each change.
    ``revision`` grows with each change. ``contents`` must not be sent at all.
    """

    revision: Count
    parts: tuple[PartId, ...]
    contents: tuple[Fingerprint, ...] = ()


class ProbeRequest(msgspec.Struct, frozen=True, tag=True):
    """Request to the leader to send one request with these held parts."""

    sequence: int
    parts: tuple[PartId, ...]


class ProbeReply(msgspec.Struct, frozen=True, tag=True):
    """The leader's reply to :class:`ProbeRequest`.

    ``wait_s`` is 0 if the request may be sent. It is None if no request with these
    parts will be sent while such requests keep coming.
    """

    sequence: int
    wait_s: Amount | None


class ProbeEnded(msgspec.Struct, frozen=True, tag=True):
    """Report that a probe ended without a whole answer and without a crash."""

    sequence: int


class PartsContinued(msgspec.Struct, frozen=True, tag="PartsBegan"):
    """Report on held parts: the seconds since an answer on them last went on."""

    ages_s: dict[PartId, Age]


class PartsEnded(msgspec.Struct, frozen=True, tag=True):
    """Report on held parts: the seconds since an answer on them last ended."""

    ages_s: dict[PartId, Age]


class StreamsBegan(msgspec.Struct, frozen=True, tag=True):
    """Record of streams that endpoints of one origin began, for their resumption.

    ``lifetimes_s`` are the seconds for which each stream can be resumed.
    """

    origin: StreamOrigin
    keys: tuple[StreamKey, ...]
    lifetimes_s: tuple[Count, ...]


class OriginRequest(msgspec.Struct, frozen=True, tag=True):
    """Request to a coordinator for the recorded origin of a stream."""

    sequence: int
    key: StreamKey


class OriginReply(msgspec.Struct, frozen=True, tag=True):
    """A coordinator's reply to :class:`OriginRequest`.

    ``origins`` is empty without a record, and has several entries if the records
    contradict each other.
    """

    sequence: int
    origins: tuple[StreamOrigin, ...]


class VersionsInService(msgspec.Struct, frozen=True, tag=True):
    """Software versions of services that may have begun streams that still run.

    Every coordinator sends them to each gateway that connects, and on each change.
    ``revision`` grows with each change.
    """

    revision: Count
    versions: dict[ServiceName, tuple[SoftwareVersion, ...]]


class VersionsRequest(msgspec.Struct, frozen=True, tag=True):
    """Request to the leader for all versions that were in service before it."""

    sequence: int


class VersionsReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to :class:`VersionsRequest`; None from a process that does not lead."""

    sequence: int
    versions: dict[ServiceName, tuple[SoftwareVersion, ...]] | None


class GrantHistory(msgspec.Struct, frozen=True, array_like=True):
    """Units that former leaders granted to a gateway, reported to each new leader.

    ``units`` holds, for each client account, the units granted in each of the last
    seconds, the latest first. ``uptime_s`` is how long the gateway has been running, in
    seconds; ``gateways`` is the number of gateways that the last leader sent.
    """

    units: dict[AccountId, tuple[Units, ...]]
    uptime_s: Age
    gateways: ProcessCount


class GatewayReport(msgspec.Struct, frozen=True, tag="Beat", omit_defaults=True):
    """A gateway's report to the leader.

    ``clock_s`` is the gateway's wall-clock time at sending. ``list_term`` and
    ``list_version`` are the leader's term and the list version of the gateway's
    endpoint list. ``usage`` counts are cumulative, so a repeated report changes
    nothing. ``offered_load`` is the work that the gateway sends to each service, in
    seconds of work per second. ``crashes`` and ``history`` are sent with the first
    report to a new leader. ``speeds``, which the gateway has fitted to the answers of
    services, are sent with every few reports and None otherwise. ``continued_ages_s``
    and ``ended_ages_s`` are the seconds since an answer on watched parts last went on
    and last ended, as far as they are not reported yet, and ``lasted_s`` the seconds
    for which the former had lasted then; ``watch_version`` is the version of the
    watched parts. ``limits`` are the request limits of endpoints that the gateway
    knows, sent with the first report to a new leader; ``limits_version`` is the version
    of those of the leader. ``request_rates``, the requests per second for each service,
    are sent with speeds. ``leaving`` are listed endpoints that have said themselves
    that they leave, sent with the first report to a new leader. ``rollouts`` are the
    counts of the rollouts in progress. ``paces`` are what was newly learned about the
    paces of each service's endpoints, sent with speeds. ``offered`` is the offered load
    by service, rank and client account, sent with speeds or when it has changed much;
    ``admitted_version`` is the version of the admitted fractions that the gateway has,
    -1 without any. ``refused_load`` is the part of ``offered_load`` whose requests no
    endpoint got.
    """

    name: ProcessName
    sequence: int
    clock_s: ClockTime
    list_term: Count = msgspec.field(name="listing_term")
    list_version: ListVersion = msgspec.field(name="listing")
    usage: tuple[WindowCounts, ...]
    crashes: tuple[CrashReport, ...]
    offered_load: dict[str, Amount] = msgspec.field(name="pressure", default={})
    history: GrantHistory | None = None
    speeds: dict[ServiceName, EngineSpeed] | None = None
    continued_ages_s: dict[PartId, Age] = msgspec.field(name="began", default={})
    watch_version: int = msgspec.field(name="watch", default=-1)
    limits: tuple[LimitStated, ...] = ()
    limits_version: int = msgspec.field(name="limit", default=-1)
    request_rates: dict[ServiceName, Amount] | None = None
    leaving: tuple[str, ...] = ()
    rollouts: tuple[RolloutCounts, ...] = ()
    paces: dict[ServiceName, dict[str, MeasuredPace]] = {}
    offered: dict[ServiceName, OfferedService] | None = None
    admitted_version: int = -1
    refused_load: dict[ServiceName, Amount] = {}
    lasted_s: dict[PartId, Age] = msgspec.field(name="lasted", default={})
    ended_ages_s: dict[PartId, Age] = msgspec.field(name="ended", default={})


class GatewayReportReply(
    msgspec.Struct, frozen=True, tag="BeatReply", omit_defaults=True
):
    """The leader's reply to a gateway's report (:class:`GatewayReport`).

    ``clock_correction_s`` is to be added to the gateway's clock to reach the median of
    all clocks; ``gateways`` is the number of gateways that report, 0 if not known yet;
    ``list_version`` is the leader's list version and ``list_age_s`` the age of that
    list in seconds. ``quarantined`` and ``suspects`` are fingerprints of contents.
    ``speeds`` are those that all gateways use, sent in reply to reports with speeds.
    ``watched`` are the parts of which the leader wants to know the answers; None if
    the gateway has their ``watch_version``. ``limits`` are the request limits of
    endpoints; None if the gateway has their ``limits_version``. ``near_quota`` are the
    client accounts that have used most of their quota. ``rollouts`` are the leader's
    decisions on the rollouts in progress. ``paces`` are the combined paces of each
    service's endpoints, sent with speeds. ``admitted`` are the fractions of the offered
    load that gateways admit, None if the gateway has their ``admitted_version``, which
    is -1 while no service is overloaded. ``part`` is the gateway's part
    of limits that all gateways share, 0 for the equal part.
    """

    term: Count
    sequence: int
    clock_correction_s: ClockDifference
    gateways: ProcessCount
    list_version: ListVersion = msgspec.field(name="listing")
    list_age_s: Age = msgspec.field(name="listing_age_s")
    quarantined: tuple[Fingerprint, ...] = ()
    suspects: tuple[Fingerprint, ...] = ()
    speeds: dict[ServiceName, EngineSpeed] | None = None
    watch_version: int = msgspec.field(name="watch", default=-1)
    watched: tuple[PartId, ...] | None = None
    limits_version: int = msgspec.field(name="limit", default=-1)
    limits: dict[str, Amount] | None = None
    near_quota: tuple[AccountId, ...] = ()
    rollouts: tuple[RolloutShare, ...] = ()
    paces: dict[ServiceName, dict[str, EndpointPace]] = {}
    admitted_version: int = -1
    admitted: dict[ServiceName, AdmittedRows] | None = None
    part: Annotated[float, Meta(ge=0, le=1)] = 0.0


class EndpointUpdate(msgspec.Struct, frozen=True, tag=True):
    """Delta to the previous endpoint list, or the full list if ``is_full``.

    ``term`` and ``list_version`` are the leader's term and the list version;
    ``removed`` holds the keys of removed endpoints.
    """

    term: Count
    list_version: ListVersion = msgspec.field(name="listing")
    is_full: bool = msgspec.field(name="whole")
    rows: tuple[ListedEndpoint, ...]
    removed: tuple[str, ...] = msgspec.field(name="gone")


LinkMessage = (
    Packet
    | Join
    | Hello
    | Status
    | FetchConfiguration
    | ConfigurationText
    | GatewayReport
    | QuotaRequest
    | QuotaReply
    | QuotaReturn
    | CrashReport
    | SuspectCleared
    | GatewayReportReply
    | LimitStated
    | EndpointLeaving
    | PermitRequest
    | PermitReply
    | HeldParts
    | ProbeRequest
    | ProbeReply
    | ProbeEnded
    | PartsContinued
    | PartsEnded
    | StreamsBegan
    | OriginRequest
    | OriginReply
    | VersionsInService
    | VersionsRequest
    | VersionsReply
    | EndpointUpdate
    | RolloutOrders
)
