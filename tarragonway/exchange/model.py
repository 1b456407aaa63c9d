"""Contents of requests and answers, independent of the platform's headers."""

import msgspec

from tarragonway.core.ids import AccountId, AttemptId, PartId

# Larger numbers of tokens or of requests count as these.
MAX_TOKENS = 10**12
MAX_REQUESTS = 10**9


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt; parts with equal ids have equal texts."""

    id: PartId
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """Size and parts of the prompt of a request to a model engine.

    The last part is specific to the request; other requests share the parts before it.
    """

    input_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def tokens(self) -> int:
        """Input and output tokens, which count against a quota."""
        return self.input_tokens + self.output_tokens

    @property
    def affinity_key(self) -> str:
        """Id of the last shared part, or "" if no part is shared."""
        return self.parts[-2].id if len(self.parts) > 1 else ""

    @property
    def shared_parts(self) -> tuple[PartId, ...]:
        """Ids of the parts that other requests may share."""
        return tuple(part.id for part in self.parts[:-1])

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in the shared parts."""
        return sum(part.tokens for part in self.parts[:-1])


class CallerRequest(msgspec.Struct, frozen=True):
    """Platform-independent contents of a caller's request.

    ``timeout_s`` is the caller's timeout in seconds, None if the request has none.
    ``last_event_id`` and ``resumed_attempt`` are set if the caller resumes a stream:
    the last event that it has, and the attempt that brought the first event.
    """

    attempt: AttemptId
    host: str
    path: str
    timeout_s: float | None
    api_key: str | None
    last_event_id: str | None
    prompt: Prompt | None
    resumed_attempt: AttemptId | None = None

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller resumes a stream that an earlier attempt began."""
        return bool(self.last_event_id) or self.resumed_attempt is not None


class ForwardContext(msgspec.Struct, frozen=True):
    """Data that a gateway adds to a request when it forwards it to an endpoint.

    ``time_left_s`` is the time to the deadline in seconds. ``drops_api_key`` means that
    the caller's API key is not forwarded.
    """

    instance: str
    time_left_s: float
    account: AccountId | None
    priority: int | None
    last_event_id: str | None
    drops_api_key: bool


class Load(msgspec.Struct, frozen=True):
    """Load that an endpoint reports: running and waiting requests, and its slots.

    ``slowdown`` is how long work takes there at this moment, relative to the usual
    time; None if the endpoint does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class ResponseInfo(msgspec.Struct, frozen=True):
    """Platform-independent contents of an endpoint's answer.

    ``signed`` means that the endpoint itself has produced the answer. ``refused`` means
    that the request did not run at the endpoint and never will. ``keep_alive_s`` is the
    time in seconds for which the endpoint keeps an idle connection open.
    ``closes_connection`` means that it closes the connection after this answer.
    ``limits`` are the texts, as they were sent, with which the endpoint states how many
    requests a second it takes from all gateways together. ``is_leaving`` means that the
    endpoint is about to stop. ``pause_text`` is the text, as it was sent, with which an
    endpoint that is not available says for how many seconds it wants no request.
    """

    attempt: AttemptId | None
    signed: bool
    refused: bool
    load: Load | None
    keep_alive_s: float | None
    closes_connection: bool
    limits: tuple[str, ...] = ()
    is_leaving: bool = False
    pause_text: str | None = None
