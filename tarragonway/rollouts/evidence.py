"""Sums of all gateways' counts of one rollout: since its order, and of late.

Load pattern: 80 gateways report cumulative counts four times a second, begin and end
during a rollout, and are first heard by a new leader with counts of the past.
"""

import collections
from collections.abc import Iterable, Mapping

from tarragonway.core.ids import ProcessName
from tarragonway.rollouts.messages import RolloutCounts, RouteCounts, VersionCounts

# A fault that begins late shows in the responses of this time, in seconds. It spans
# eight reports of a gateway.
RECENT_S = 2.0

RouteSums = dict[str, RouteCounts]

EMPTY = RouteCounts(VersionCounts(), VersionCounts())


class RolloutEvidence:
    """The counts of one rollout that a leader has heard from gateways.

    Gateways that have stopped reporting remain in the sums.

    Examples
    --------
    >>> counts = RouteCounts(VersionCounts(9), VersionCounts(3, 2, 1))
    >>> evidence = RolloutEvidence()
    >>> evidence.record(ProcessName("g"), RolloutCounts(1, {"r": counts}, 0, 0.1), 0.0)
    >>> evidence.totals["r"].new.failures
    1
    >>> evidence.sum_recent(0.0)
    {}
    """

    def __init__(self) -> None:
        self.totals: RouteSums = {}
        self._latest: dict[ProcessName, Mapping[str, RouteCounts]] = {}
        self._recent: collections.deque[tuple[float, RouteSums]] = collections.deque()
        self._began_at = float("inf")

    def record(self, gateway: ProcessName, counts: RolloutCounts, now: float) -> None:
        """Add what a gateway has counted since its last report, in loop time (s).

        The counts of a gateway's first report may be old, so they are not recent.
        """
        before = self._latest.get(gateway)
        self._latest[gateway] = counts.routes
        self._began_at = min(self._began_at, now)
        increments = {
            route: _combine(row, (before or {}).get(route, EMPTY), -1)
            for route, row in counts.routes.items()
        }
        _add_to(self.totals, increments)
        if before is not None:
            if not self._recent or now - self._recent[-1][0] > RECENT_S / 16:
                self._recent.append((now, {}))
            _add_to(self._recent[-1][1], increments)
        while self._recent and now - self._recent[0][0] > RECENT_S:
            self._recent.popleft()

    def sum_recent(self, now: float) -> RouteSums:
        """Return the sums of the last :data:`RECENT_S` seconds."""
        sums: RouteSums = {}
        for at, increments in self._recent:
            if now - at <= RECENT_S:
                _add_to(sums, increments)
        return sums

    def measure_rates(self, now: float) -> dict[str, float]:
        """Return the requests per second of each route, from the recent sums."""
        span_s = min(RECENT_S, max(0.5, now - self._began_at))
        return {
            route: (row.old.sent + row.new.sent) / span_s
            for route, row in self.sum_recent(now).items()
        }


def sum_versions(counts: Iterable[VersionCounts]) -> VersionCounts:
    """Return the sum of counts, such as those of one side on all routes."""
    total = VersionCounts()
    for row in counts:
        total = _combine_version(total, row, 1)
    return total


def subtract(sums: RouteSums, earlier: RouteSums) -> RouteSums:
    """Return what was counted since earlier sums."""
    return {
        route: _combine(row, earlier.get(route, EMPTY), -1)
        for route, row in sums.items()
    }


def _add_to(sums: RouteSums, increments: RouteSums) -> None:
    for route, row in increments.items():
        sums[route] = _combine(sums.get(route, EMPTY), row, 1)


def _combine(first: RouteCounts, second: RouteCounts, sign: int) -> RouteCounts:
    return RouteCounts(
        _combine_version(first.old, second.old, sign),
        _combine_version(first.new, second.new, sign),
    )


def _combine_version(
    first: VersionCounts, second: VersionCounts, sign: int
) -> VersionCounts:
    """Return a sum or difference; no count falls below 0, whatever is reported."""
    return VersionCounts(
        max(0, first.sent + sign * second.sent),
        max(0, first.answers + sign * second.answers),
        max(0, first.failures + sign * second.failures),
        max(0, first.slow + sign * second.slow),
        first.log_ms + sign * second.log_ms,
    )
