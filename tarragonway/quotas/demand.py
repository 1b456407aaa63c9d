"""Measured demand of one account by class, in which a caller's retry does not count.

It addresses the demand of refused callers, who return once. If their retries counted,
the classes that are refused most would seem to need the most.
"""

import heapq
import math

import msgspec

from tarragonway.quotas.division import ClassDemand, RequestClass

# Time constant of the measured demand. A burst to nine times the usual exceeds the
# quota within 0.3 s, and a long prompt every few seconds does not count as a burst.
SMOOTHING_S = 1.0
# Time after which a caller that was told to return counts as not returning.
MAX_RETURN_DELAY_S = 0.5
# Bound of the callers that are expected to return, for each class.
MAX_RETURNS = 4096
# A class with less demand than this is forgotten.
MIN_REQUESTS_PER_S = 0.01


class _Measured(msgspec.Struct):
    at: float
    units_per_s: float = 0.0
    requests_per_s: float = 0.0
    returns: list[float] = []
    # Requests of other callers since the last one that counted as a retry.
    has_fresh: bool = False

    def decay(self, now: float) -> None:
        """Apply the time that has passed since the last call."""
        factor = math.exp(-max(0.0, now - self.at) / SMOOTHING_S)
        self.units_per_s *= factor
        self.requests_per_s *= factor
        self.at = max(self.at, now)


class DemandMeter:
    """Smoothed demand of each class of an account.

    Examples
    --------
    >>> meter = DemandMeter()
    >>> for _ in range(3):
    ...     meter.record(RequestClass(0, 7), 12_000.0, now=1.0)
    >>> meter.measure(1.0)[0].units_per_s
    36000.0
    """

    def __init__(self) -> None:
        self._measured: dict[RequestClass, _Measured] = {}

    def record(self, request_class: RequestClass, units: float, now: float) -> None:
        """Count a request, unless it is probably the retry of a refused one."""
        measured = self._measured.get(request_class)
        if measured is None:
            measured = self._measured[request_class] = _Measured(now)
        if self._is_return(measured, now):
            return
        measured.decay(now)
        measured.has_fresh = True
        measured.units_per_s += units / SMOOTHING_S
        measured.requests_per_s += 1 / SMOOTHING_S

    def expect_return(self, request_class: RequestClass, at: float) -> None:
        """Record that a refused caller was told to return at a time."""
        measured = self._measured.get(request_class)
        if measured is not None and len(measured.returns) < MAX_RETURNS:
            heapq.heappush(measured.returns, at)

    def cancel_return(self, request_class: RequestClass) -> None:
        """Remove the earliest expected return, as the gateway asked for its caller."""
        measured = self._measured.get(request_class)
        if measured is not None and measured.returns:
            heapq.heappop(measured.returns)

    def measure(self, now: float) -> list[ClassDemand]:
        """Return the demand of all classes, and forget those without any."""
        demands: list[ClassDemand] = []
        for request_class, measured in list(self._measured.items()):
            measured.decay(now)
            if measured.requests_per_s < MIN_REQUESTS_PER_S:
                del self._measured[request_class]
                continue
            demands.append(
                ClassDemand(
                    request_class, measured.units_per_s, measured.requests_per_s
                )
            )
        return demands

    def _is_return(self, measured: _Measured, now: float) -> bool:
        """Return whether a request counts as the retry of a refused caller.

        Each retry has a first request, so at most every second request counts as one.
        """
        returns = measured.returns
        while returns and returns[0] < now - MAX_RETURN_DELAY_S:
            heapq.heappop(returns)
        if not measured.has_fresh or not returns or returns[0] > now:
            return False
        heapq.heappop(returns)
        measured.has_fresh = False
        return True
