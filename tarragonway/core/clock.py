"""Wall-clock time that is not affected by steps of the system clock."""

import time


class WallClock:
    """Wall-clock time: monotonic time plus an offset that can be corrected.

    The offset is read once, so that a later step of the system clock has no effect.
    Time during which the instance was suspended counts.

    Examples
    --------
    >>> clock = WallClock()
    >>> before = clock.now()
    >>> clock.correct(5.0)
    >>> 5.0 <= clock.now() - before < 6.0
    True
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - read_monotonic()

    def now(self) -> float:
        """Return the Unix time in seconds."""
        return read_monotonic() + self._offset_s

    def correct(self, seconds: float) -> None:
        """Add ``seconds``, which may be negative, to the time."""
        self._offset_s += seconds


def read_monotonic() -> float:
    """Return monotonic time in seconds, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
