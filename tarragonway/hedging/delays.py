"""Delay after which a request counts as late, from measured times of its route.

Load pattern: estimates are off by different factors on each route, and change with the
load, so no constant delay separates late requests from usual ones.
"""

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from ddsketch import DDSketch

# Longest time, relative to the estimated delay, that is told from longer ones.
MAX_RATIO = 1e5
# Quantiles are exact to this fraction, which is finer than 100 samples can tell.
RELATIVE_ACCURACY = 0.03
# An estimate below this counts as this one, so that the times of routes whose estimated
# delays are near 0 are compared with each other.
MIN_ESTIMATED_MS = 1.0
# A 0.95 quantile of fewer samples rests on less than three of them.
MIN_SAMPLES = 50
# Samples are used for one to two of these periods.
PERIOD_S = 60.0
# Number of new samples after which the quantile is computed again.
REFIT_INTERVAL = 16
# Routes whose times are kept, since configurations may have thousands of routes.
MAX_ROUTES = 256


class _Times(msgspec.Struct):
    began_at: float
    current: "DDSketch"
    previous: "DDSketch"
    unfitted: int = 0
    quantile: float | None = None


class HedgeDelays:
    """Distribution of the measured times of each route relative to the estimated ones.

    The time is that until the first event of a stream, or until a whole answer. A send
    that was cancelled is recorded with the time that it had taken by then. Without it,
    the slowest sends would be missing, the quantile would fall, and more and more
    requests would be hedged.

    Parameters
    ----------
    quantile : float
        Quantile of the distribution beyond which a request is late.

    Examples
    --------
    >>> delays = HedgeDelays(0.95)
    >>> for number in range(64):
    ...     delays.record("route", 10.0, 20.0, 0.0)
    >>> round(delays.find_delay_ms("route", 50.0, 0.0) / 50, 1)
    2.0
    >>> delays.find_delay_ms("other", 50.0, 0.0) is None
    True
    """

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        self._routes: dict[str, _Times] = {}

    def record(
        self, route: str, estimated_ms: float, taken_ms: float, now: float
    ) -> None:
        """Record the time that a send took, and what was estimated for it."""
        times = self._routes.get(route)
        if times is None:
            times = _Times(now, _make_sketch(), _make_sketch())
            self._routes[route] = times
            if len(self._routes) > MAX_ROUTES:
                self._drop_oldest()
        self._drop_old(times, now)
        ratio = taken_ms / max(MIN_ESTIMATED_MS, estimated_ms)
        times.current.add(max(1 / MAX_RATIO, min(MAX_RATIO, ratio)))
        times.unfitted += 1
        if times.unfitted >= REFIT_INTERVAL or times.quantile is None:
            self._fit(times)

    def find_delay_ms(
        self, route: str, estimated_ms: float, now: float
    ) -> float | None:
        """Return when a send counts as late, None without enough samples."""
        times = self._routes.get(route)
        if times is None:
            return None
        self._drop_old(times, now)
        if times.quantile is None:
            return None
        return times.quantile * max(MIN_ESTIMATED_MS, estimated_ms)

    def make_dump(self) -> dict[str, dict[str, float | None]]:
        """Return samples and quantile of each route for the state dump."""
        return {
            route: {"samples": _count_samples(times), "quantile": times.quantile}
            for route, times in self._routes.items()
        }

    def _drop_old(self, times: _Times, now: float) -> None:
        age_s = now - times.began_at
        if age_s < PERIOD_S:
            return
        is_adjacent = age_s < 2 * PERIOD_S
        times.previous = times.current if is_adjacent else _make_sketch()
        times.current, times.began_at = _make_sketch(), now
        self._fit(times)

    def _drop_oldest(self) -> None:
        oldest = min(self._routes, key=lambda route: self._routes[route].began_at)
        del self._routes[oldest]

    def _fit(self, times: _Times) -> None:
        times.unfitted = 0
        if _count_samples(times) < MIN_SAMPLES:
            times.quantile = None
            return
        merged = _make_sketch()
        merged.merge(times.previous)
        merged.merge(times.current)
        times.quantile = merged.get_quantile_value(self._quantile)


def _make_sketch() -> "DDSketch":
    # Imported here, so that gateways that do not hedge don't load it.
    from ddsketch import DDSketch

    return DDSketch(RELATIVE_ACCURACY)


def _count_samples(times: _Times) -> int:
    return int(times.previous.count + times.current.count)
