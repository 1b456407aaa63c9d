"""Wall-clock time that does not follow steps of the instance's clock."""

import time


class WallClock:
    """True time as far as known: steady time plus a correctable offset.

    The offset is read once; a later step of the time of day has no effect. Time in
    which the instance was suspended counts.

    Examples
    --------
    >>> clock = WallClock()
    >>> before = clock.now()
    >>> clock.correct(5.0)
    >>> 5.0 <= clock.now() - before < 6.0
    True
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - read_steady()

    def now(self) -> float:
        """Return the seconds since the start of 1970."""
        return read_steady() + self._offset_s

    def correct(self, seconds: float) -> None:
        """Shift the clock."""
        self._offset_s += seconds


def read_steady() -> float:
    """Return a steady time in seconds that counts suspension too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
