"""What answers show about the parts of their prompts."""

import asyncio
from collections.abc import Sequence

from tarragonway.core.ids import PartId
from tarragonway.gateway.attempt import (
    Answered,
    Attempt,
    Broken,
    SendOutcome,
    Streamed,
    Unsent,
)
from tarragonway.gateway.part_guard import PartGuard
from tarragonway.quarantine import CONTINUED_S


class PartEvidence:
    """Records for which prompt parts answers go on and have ended.

    An endpoint may crash right after the end of an answer. So an end is recorded only
    once no send to the endpoint has failed for :data:`CONTINUED_S`.

    Parameters
    ----------
    guard : PartGuard
        Receives the parts, and reports them to the leader.
    """

    def __init__(self, guard: PartGuard) -> None:
        self._guard = guard
        self._ends: dict[str, list[asyncio.TimerHandle]] = {}

    def record_data(self, attempt: Attempt, now: float) -> None:
        """Record that a part of an answer has arrived."""
        if attempt.began_at is None:
            attempt.began_at = now
            attempt.evidence_due_at = now + CONTINUED_S
        elif now >= attempt.evidence_due_at:
            attempt.evidence_due_at = now + CONTINUED_S
            lasted_s = now - attempt.began_at
            self._guard.record_continued(attempt.shared_parts, now, lasted_s)

    def record_outcome(self, attempt: Attempt, outcome: SendOutcome, key: str) -> None:
        """Record how a send to the endpoint with this key has ended."""
        match outcome:
            case Broken() | Unsent():
                for handle in self._ends.pop(key, ()):
                    handle.cancel()
            case Streamed(events) if events:
                self._await_calm(attempt, key)
            case Answered(head) if head.status < 300:
                self._await_calm(attempt, key)

    def _await_calm(self, attempt: Attempt, key: str) -> None:
        if not attempt.shared_parts:
            return
        # The leader learns the probe's outcome from the record of the end.
        attempt.probe = None
        handle = asyncio.get_running_loop().call_later(
            CONTINUED_S, self._record_end, attempt.shared_parts, key
        )
        self._ends.setdefault(key, []).append(handle)

    def _record_end(self, parts: Sequence[PartId], key: str) -> None:
        # Handles run in the order in which they were made.
        ends = self._ends[key]
        del ends[0]
        if not ends:
            del self._ends[key]
        self._guard.record_ended(parts, asyncio.get_running_loop().time())


def compute_lasted_s(attempt: Attempt, now: float) -> float:
    """Return for how long the answer to the latest send has lasted, 0 before it."""
    return now - attempt.began_at if attempt.began_at is not None else 0.0
