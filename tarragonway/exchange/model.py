"""What a gateway reads from requests and answers, in the product's own words."""

import msgspec

from tarragonway.core.ids import AccountId, AttemptId


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt; equal ids are equal texts."""

    id: str
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """Size and parts of a request to a model engine.

    The last part belongs to the request itself; the parts before it are shared.
    """

    tokens_in: int
    tokens_out: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def tokens(self) -> int:
        """Tokens that count against a quota."""
        return self.tokens_in + self.tokens_out

    @property
    def affinity(self) -> str:
        """Id of the last shared part, or empty."""
        return self.parts[-2].id if len(self.parts) > 1 else ""

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts."""
        return sum(part.tokens for part in self.parts[:-1])


class CallerRequest(msgspec.Struct, frozen=True):
    """What a caller asks for.

    ``patience_s`` is how long the caller waits, or None if it doesn't say.
    """

    attempt: AttemptId
    host: str
    path: str
    patience_s: float | None
    key: str | None
    last_event: str | None
    prompt: Prompt | None


class Dispatch(msgspec.Struct, frozen=True):
    """What a gateway adds to a request that it sends to an endpoint."""

    instance: str
    left_s: float
    account: AccountId | None
    priority: int | None
    last_event: str | None
    hides_key: bool


class Load(msgspec.Struct, frozen=True):
    """An endpoint's own report of its load."""

    running: int
    waiting: int
    slots: int


class AnswerFacts(msgspec.Struct, frozen=True):
    """What an endpoint's answer says of itself.

    ``refused`` states that the request did not run there and never will.
    """

    attempt: AttemptId | None
    signed: bool
    refused: bool
    load: Load | None
    keep_s: float | None
    leaving: bool
    retry_after_s: float | None
