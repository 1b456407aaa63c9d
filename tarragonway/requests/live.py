"""A request that this process owns and runs."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from typing import Any, Literal

import msgspec

from tarragonway.core.errors import InvariantError
from tarragonway.core.ids import ProcessName
from tarragonway.endpoints import Endpoint
from tarragonway.requests.model import RequestRecord, RequestState


class EngineStream(msgspec.Struct, frozen=True):
    """The engine's stream that currently generates a request's tokens."""

    endpoint: Endpoint
    stream: str


class LiveRequest:
    """Progress of one request, and how much of it may be released to callers.

    Tokens of a copied request are released to callers only once a peer holds them, so
    that no caller ever sees a token that a later owner could generate differently. If
    no peer is live, they are released while control confirms that the request has no
    later owner.

    Parameters
    ----------
    record : RequestRecord
        The request, with the tokens known so far.
    copied : bool
        Whether peers hold copies.
    """

    def __init__(self, record: RequestRecord, copied: bool) -> None:
        self.record = record
        self.copied = copied
        self.tokens = list(record.tokens)
        self.state = record.state
        self.error = record.error
        self.acknowledged: dict[ProcessName, int] = {}
        self.finish_acknowledged = False
        self.abandoned = False
        self.paused = False
        self.stream: EngineStream | None = None
        self.prefilled = bool(record.tokens) or record.epoch > 1
        self.finished_at = 0.0
        self._released = 0
        self._changed = asyncio.Event()

    @property
    def released(self) -> int:
        """Number of tokens that callers may see."""
        return self._released if self.copied else len(self.tokens)

    @property
    def is_over(self) -> bool:
        """Whether the request has ended and its end may be released to callers."""
        if self.state is RequestState.RUNNING:
            return False
        shown = not self.copied or self.finish_acknowledged
        return shown and self.released >= len(self.tokens)

    def add_token(self, position: int, text: str) -> None:
        """Append the next token; a position that is already present is ignored.

        A paused request ignores all tokens, so that its record does not get ahead of
        the exported KV cache.

        Raises
        ------
        InvariantError
            If a position was skipped.
        """
        if position < len(self.tokens) or self.paused:
            return
        if position > len(self.tokens):
            raise InvariantError(
                f"{self.record.id}: token {position} follows {len(self.tokens)}"
            )
        self.tokens.append(text)
        self.notify()

    def finish(self, state: RequestState, error: str = "") -> None:
        """Record how the request ended."""
        self.state = state
        self.error = error
        self.finished_at = asyncio.get_running_loop().time()
        self.notify()

    def release(self, count: int, finished: bool) -> None:
        """Release tokens to callers.

        Parameters
        ----------
        count : int
            Number of tokens, from the first one, that callers may see.
        finished : bool
            Whether callers may see the end too.
        """
        self._released = max(self._released, count)
        self.finish_acknowledged |= finished
        self.notify()

    def abandon(self) -> None:
        """Stop the request here, since another process owns it now."""
        self.abandoned = True
        self.notify()

    def notify(self) -> None:
        """Wake all tasks that follow this request."""
        self._changed.set()
        self._changed = asyncio.Event()

    def wait_change(self) -> Coroutine[Any, Any, Literal[True]]:
        """Return a coroutine that ends at the first change after this call."""
        return self._changed.wait()

    async def follow(self, start: int) -> AsyncIterator[list[str]]:
        """Yield released tokens from ``start`` on, until the request is over."""
        position = start
        while True:
            changed = self._changed
            if position < self.released:
                end = self.released
                yield self.tokens[position:end]
                position = end
                continue
            if self.is_over or self.abandoned:
                return
            await changed.wait()

    def make_record(self) -> RequestRecord:
        """Return the record with the current tokens and state."""
        return msgspec.structs.replace(
            self.record,
            tokens=tuple(self.tokens),
            state=self.state,
            error=self.error,
        )
