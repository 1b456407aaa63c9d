"""Counts of requests that began to run, by report window and client account."""

import collections

from tarragonway.core.ids import AccountId
from tarragonway.links.messages import WindowCounts

# Number of the most recent windows whose counts are retained for reports.
MAX_WINDOWS = 12


class UsageCounter:
    """Cumulative counts of the most recent report windows.

    Parameters
    ----------
    window_s : float
        Length of a window in seconds; window 0 begins at the Unix epoch.

    Examples
    --------
    >>> counter = UsageCounter(5.0)
    >>> counter.count("a", 12.0)
    >>> counter.list_windows()
    (WindowCounts(window=2, counts={'a': 1}),)
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._windows: dict[int, collections.Counter[AccountId]] = {}

    def count(self, account: AccountId, clock_s: float) -> None:
        """Count one request that began to run at this wall-clock time."""
        window = int(clock_s // self._window_s)
        counts = self._windows.setdefault(window, collections.Counter())
        counts[account] += 1
        while len(self._windows) > MAX_WINDOWS:
            del self._windows[min(self._windows)]

    def list_windows(self, since: int = 0) -> tuple[WindowCounts, ...]:
        """Return the counts of the windows from ``since`` on."""
        return tuple(
            WindowCounts(window, dict(counts))
            for window, counts in sorted(self._windows.items())
            if window >= since
        )
