"""Service times of plain services, learned from the answers to their requests.

Load pattern: a plain service has few endpoints of unequal and changing speed, and its
requests have no prompt from which their time could be foreseen.
"""

import collections
import statistics

from tarragonway.core.ids import ServiceName

# Number of latest measurements of which the median is used.
RETAINED_TIMES = 32
# Number of new measurements after which the median is computed again.
REFIT_INTERVAL = 4
# Assumed until the first answer of a service.
PRIOR_SERVICE_MS = 50.0


class ServiceTimes:
    """Time that a usual endpoint of each service takes for a request, unhindered.

    Examples
    --------
    >>> times = ServiceTimes()
    >>> for taken_ms in (60.0, 62.0, 400.0, 61.0):
    ...     times.record("s", taken_ms, pace=2.0)
    >>> times.get("s")
    30.5
    """

    def __init__(self) -> None:
        self._times: dict[ServiceName, collections.deque[float]] = {}
        self._unused: dict[ServiceName, int] = {}
        self._medians: dict[ServiceName, float] = {}

    def get(self, service: ServiceName) -> float:
        """Return the service time in milliseconds."""
        return self._medians.get(service, PRIOR_SERVICE_MS)

    def record(self, service: ServiceName, taken_ms: float, pace: float) -> None:
        """Record the time of an answer that had a free slot, and its endpoint's pace.

        The median is robust against answers that had to wait unforeseen.
        """
        times = self._times.setdefault(
            service, collections.deque(maxlen=RETAINED_TIMES)
        )
        times.append(taken_ms / pace)
        self._unused[service] = self._unused.get(service, 0) + 1
        if len(times) <= REFIT_INTERVAL or self._unused[service] >= REFIT_INTERVAL:
            self._unused[service] = 0
            self._medians[service] = statistics.median_low(times)
