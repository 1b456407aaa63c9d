"""State of one admitted request, and the possible outcomes of sending it."""

import msgspec

from tarragonway.core.ids import AccountId, PartId, ServiceName, SoftwareVersion
from tarragonway.exchange import CallerRequest, ResponseInfo
from tarragonway.gateway.estimates import Choice
from tarragonway.gateway.origin_guard import OriginNotFound
from tarragonway.gateway.part_guard import Probe
from tarragonway.gateway.race import Race
from tarragonway.http1.client import ResponseHead
from tarragonway.http1.response import Request, ResponseWriter
from tarragonway.rollouts.send_counts import RolloutSend
from tarragonway.rollouts.traffic import RoutedRequest
from tarragonway.routes.model import Account, Route
from tarragonway.versions import StreamOrigin


class Attempt(msgspec.Struct):
    """An admitted request and the progress of its sends.

    ``deadline`` and ``sent_at`` are times of the event loop's clock, in seconds.
    ``tried`` holds the keys of the endpoints that were chosen so far, ``broken`` those
    whose answers broke off, ``sends`` the number of times the request was written to an
    endpoint. While ``may_have_run`` is set, the caller must not be promised that the
    request did not run. ``usage_counted`` is set once the request is included in the
    usage counts, ``refunded`` once its quota units are returned. ``last_event_id`` is
    the id of the last event that was relayed to the caller.
    ``choice`` is the endpoint to which the request was last sent, at ``sent_at``; it is
    None before the first send and once that endpoint has begun to answer. ``endpoint``
    and ``estimated_ms`` are the instance and the estimated delay of the latest send,
    ``load_at_send`` is the number of other requests that its endpoint ran then.
    ``began_at`` is the time at which the answer to the latest send began, None before.
    From ``evidence_due_at`` on, its next part shows something about the prompt's parts.
    ``empty_continuations`` counts endpoints that had nothing to add to the stream.
    ``version`` is the software version of the latest send's endpoint.
    ``origin`` is what began the caller's stream; it is None until the first event,
    unless the caller resumes a stream.
    ``probe`` is the right to send held prompt parts; it is None without such parts, and
    once the leader knows the probe's outcome.
    ``routed`` is the choice of a version while rollouts restrict the service,
    ``rollout_send`` the record of the latest send for the evidence of rollouts.
    ``race`` decides among the sends of the request while these may be more than one,
    ``hedged`` is set once it was sent to two endpoints at a time.
    """

    request: Request
    facts: CallerRequest
    writer: ResponseWriter
    route: Route
    account: Account | None
    service: ServiceName
    deadline: float
    tried: set[str]
    broken: set[str] = msgspec.field(default_factory=set)
    sends: int = 0
    may_have_run: bool = False
    usage_counted: bool = False
    refunded: bool = False
    last_event_id: str | None = None
    empty_continuations: int = 0
    choice: Choice | None = None
    sent_at: float = 0.0
    began_at: float | None = None
    evidence_due_at: float = 0.0
    endpoint: str = ""
    version: SoftwareVersion = SoftwareVersion("")
    estimated_ms: float = 0.0
    load_at_send: float = 0.0
    origin: StreamOrigin | None = None
    probe: Probe | None = None
    routed: RoutedRequest | None = None
    rollout_send: RolloutSend | None = None
    race: Race | None = None
    hedged: bool = False

    def claim_answer(self) -> None:
        """Let this send answer the caller (see :meth:`Race.claim`)."""
        if self.race is not None:
            self.race.claim(self)

    @property
    def resumed_id(self) -> str | None:
        """Id of the last event that the caller has, None unless a stream is resumed."""
        if self.last_event_id is not None or not self.route.resumable:
            return self.last_event_id
        return self.facts.last_event_id or None

    @property
    def account_id(self) -> AccountId:
        """Client account of the caller, "" if requests need no key."""
        return self.account.id if self.account is not None else AccountId("")

    @property
    def shared_parts(self) -> tuple[PartId, ...]:
        """Ids of the prompt's parts that are compared with held ones."""
        return list_compared_parts(self.facts)


class Unsent(msgspec.Struct, frozen=True):
    """No connection was open, so nothing was sent to the endpoint."""

    reason: str


class SendFailed(msgspec.Struct, frozen=True):
    """An error that nothing expects ended the send; the request may have run if sent.

    The error may concern the endpoint only, so that others may still answer.
    """

    reason: str
    was_sent: bool


class NotEncodable(msgspec.Struct, frozen=True):
    """The request cannot be sent to any endpoint, as HTTP does not allow its parts."""

    reason: str


class Refused(msgspec.Struct, frozen=True):
    """The endpoint promised that the request did not run and will not."""

    status: int


class Paused(msgspec.Struct, frozen=True):
    """All endpoints that are left want no request now; nothing was sent.

    The first of them takes requests again after ``return_s`` seconds.
    """

    return_s: float


class Answered(msgspec.Struct, frozen=True):
    """The endpoint sent a complete answer."""

    head: ResponseHead
    facts: ResponseInfo
    body: bytes


class Streamed(msgspec.Struct, frozen=True):
    """The endpoint's event stream ended properly and was relayed to the caller.

    ``pauses_ms`` are the times between its first events in milliseconds.
    """

    events: int
    pauses_ms: tuple[float, ...] = ()


class Broken(msgspec.Struct, frozen=True):
    """The request was sent, but no complete or valid answer arrived."""

    reason: str


class NotContinued(msgspec.Struct, frozen=True):
    """The endpoint answered, but not with the rest of the stream that it should resume.

    Nothing of its answer was relayed.
    """

    reason: str


class Expired(msgspec.Struct, frozen=True):
    """The deadline passed before the answer was complete.

    ``in_body`` means that an answer that is no stream had begun. Endpoints make such
    an answer before they send it, so this one may never end.
    """

    in_body: bool = False


class Overloaded(msgspec.Struct, frozen=True):
    """The estimated delay is too far above the latency objective; nothing was sent."""

    delay_ms: float


class Shed(msgspec.Struct, frozen=True):
    """The service is overloaded, and others go first; nothing was sent.

    A retry after ``return_s`` seconds may find room.
    """

    return_s: float


class Limited(msgspec.Struct, frozen=True):
    """No endpoint may be sent a request now, as the others state request limits.

    Nothing was sent. A retry after ``return_s`` seconds may find room.
    """

    return_s: float


class VersionGone(msgspec.Struct, frozen=True):
    """No endpoint of the version that began the stream is listed; nothing was sent."""


class VersionUnregistered(msgspec.Struct, frozen=True):
    """Only endpoints of versions that the leaders do not know yet are left.

    A resumable stream must not begin there; nothing was sent.
    """


def list_compared_parts(facts: CallerRequest) -> tuple[PartId, ...]:
    """Return the parts of the prompt that other requests may share.

    Any of them may crash engines. The size of a request's head bounds their number.
    """
    prompt = facts.prompt
    return prompt.shared_parts if prompt is not None else ()


SendOutcome = (
    Unsent
    | SendFailed
    | NotEncodable
    | Refused
    | Paused
    | Answered
    | Streamed
    | Broken
    | NotContinued
    | Expired
    | Overloaded
    | Shed
    | Limited
    | OriginNotFound
    | VersionGone
    | VersionUnregistered
)
