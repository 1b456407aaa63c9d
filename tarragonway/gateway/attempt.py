"""One caller's request on its way: what is known of it, and what came of each send."""

import msgspec

from tarragonway.core.ids import ServiceName
from tarragonway.exchange import AnswerFacts, CallerRequest
from tarragonway.gateway.choice import Choice
from tarragonway.http1.client import AnswerHead
from tarragonway.http1.server import Reply, Request
from tarragonway.routes.model import Account, Route


class Attempt(msgspec.Struct):
    """A request that was admitted.

    ``deadline`` is on the loop's clock. ``sends`` counts endpoints that received it;
    ``may_have_run`` forbids the promise that it did not. ``choice`` is the endpoint
    that has it and has not begun to answer, since ``sent_at``.
    """

    request: Request
    facts: CallerRequest
    reply: Reply
    route: Route
    account: Account | None
    service: ServiceName
    deadline: float
    tried: set[str]
    sends: int = 0
    may_have_run: bool = False
    counted: bool = False
    last_event: str | None = None
    choice: Choice | None = None
    sent_at: float = 0.0
    endpoint: str = ""
    foreseen_ms: float = 0.0


class Unsent(msgspec.Struct, frozen=True):
    """No connection could be opened: nothing reached the endpoint."""

    reason: str


class Refused(msgspec.Struct, frozen=True):
    """The endpoint promised that the request did not run and will not."""

    status: int
    retry_after_s: float | None


class Answered(msgspec.Struct, frozen=True):
    """The whole answer."""

    head: AnswerHead
    facts: AnswerFacts
    body: bytes


class Streamed(msgspec.Struct, frozen=True):
    """The stream has ended as complete and was passed on."""

    events: int


class Broken(msgspec.Struct, frozen=True):
    """The request was sent and the answer did not come whole."""

    reason: str


class Expired(msgspec.Struct, frozen=True):
    """The deadline came first."""


class Overloaded(msgspec.Struct, frozen=True):
    """Every endpoint would answer long after the objective; nothing was sent."""

    delay_ms: float


SendOutcome = Unsent | Refused | Answered | Streamed | Broken | Expired | Overloaded
