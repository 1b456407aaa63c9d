"""Race of the sends of a hedged request, of which one answers the caller."""

import asyncio


class Race:
    """Decides which of the sends of one request answers the caller.

    A send claims the answer before anything of it is passed on. The other sends are
    cancelled in the same step of the event loop, so that two answers cannot mix.
    ``crash_reported`` is set once one of the sends has reported a crash.
    """

    def __init__(self) -> None:
        self.winner: object | None = None
        self.crash_reported = False
        self._usage_claimed = False
        self._sends: list[tuple[object, asyncio.Task[object]]] = []

    @property
    def is_hedged(self) -> bool:
        """Whether the request has more than one send."""
        return len(self._sends) > 1

    def is_extra(self, attempt: object) -> bool:
        """Return whether this is not the first send."""
        return bool(self._sends) and self._sends[0][0] is not attempt

    def add(self, attempt: object, task: "asyncio.Task[object]") -> None:
        """Add a send, with the task that runs it."""
        self._sends.append((attempt, task))

    def claim(self, attempt: object) -> None:
        """Let this send answer the caller, and cancel the others.

        Raises
        ------
        asyncio.CancelledError
            If another send answers the caller.
        """
        if self.winner is None:
            self.winner = attempt
            for other, task in self._sends:
                if other is not attempt:
                    task.cancel()
        elif self.winner is not attempt:
            raise asyncio.CancelledError

    def claim_usage(self) -> bool:
        """Return whether the request is not counted as used yet; True only once."""
        is_first, self._usage_claimed = not self._usage_claimed, True
        return is_first
