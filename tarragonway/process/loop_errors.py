"""Log lines for errors that the event loop reports."""

import asyncio
from typing import Any

import structlog

# Equal errors within this time are counted and not logged. Without free descriptors
# the loop reports the same one hundreds of times a second.
REPEAT_INTERVAL_S = 5.0
MAX_KNOWN_ERRORS = 100

_log = structlog.get_logger()


class LoopErrorLog:
    """Handler of a loop's errors that logs equal ones once in an interval.

    It writes to the process's log, which never blocks; the loop's own handler writes
    to standard error, and waits while nobody reads it.
    """

    def __init__(self) -> None:
        self._logged_at: dict[tuple[str, str], float] = {}
        self._repeats: dict[tuple[str, str], int] = {}

    def handle(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log an error, or count it if an equal one was logged a short time ago.

        Parameters
        ----------
        loop : asyncio.AbstractEventLoop
            Loop that reports the error.
        context : dict
            Its ``message`` and ``exception``, as asyncio passes them.
        """
        error = context.get("exception")
        key = (str(context.get("message", "")), repr(error))
        now = loop.time()
        if now - self._logged_at.get(key, -REPEAT_INTERVAL_S) < REPEAT_INTERVAL_S:
            self._repeats[key] = self._repeats.get(key, 0) + 1
            return
        if len(self._logged_at) >= MAX_KNOWN_ERRORS:
            self._logged_at.clear()
            self._repeats.clear()
        self._logged_at[key] = now
        _log.error(
            "event loop reported an error",
            message=key[0],
            repeats=self._repeats.pop(key, 0),
            exc_info=error,
        )
