"""Load, speed and failures of endpoints, as tracked by this process."""

import statistics
from collections.abc import Iterable, Sequence

import msgspec

from tarragonway.core.ids import EndpointId

LATENCY_SMOOTHING_FACTOR = 0.1
MIN_SPEED = 0.1
MAX_SPEED = 2.0
EJECTION_FAILURE_COUNT = 3
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# Bounds the exponent of a long series of failures.
MAX_DOUBLINGS = 16


class _Load(msgspec.Struct):
    reported: float = 0.0
    since_report: int = 0
    running: int = 0
    latency_s: float = 0.0
    failures: int = 0


class LoadTracker:
    """Tracks the expected load, speed and failures of each endpoint.

    The expected load is the last reported one, plus the requests that this process has
    sent since and minus those that have ended. Counting them keeps a burst from going
    to one endpoint because of an outdated report.

    Examples
    --------
    >>> tracker = LoadTracker()
    >>> tracker.record_report("e1", 4.0)
    >>> tracker.record_start("e1")
    >>> tracker.get_expected("e1")
    5.0
    >>> tracker.record_end("e1", failed=False, now=0.0)
    >>> tracker.get_expected("e1")
    4.0
    """

    def __init__(self) -> None:
        self._loads: dict[EndpointId, _Load] = {}
        # End of the ejection of each endpoint that has been ejected.
        self._ejected_until: dict[EndpointId, float] = {}

    def record_report(self, endpoint: EndpointId, load: float) -> None:
        """Record a load report: the number of requests on an endpoint."""
        row = self._get_or_create(endpoint)
        row.reported = load
        row.since_report = 0

    def record_latency(self, endpoint: EndpointId, seconds: float) -> None:
        """Record the time in seconds of one unit of work, such as one token."""
        row = self._get_or_create(endpoint)
        if not row.latency_s:
            row.latency_s = seconds
        row.latency_s += (seconds - row.latency_s) * LATENCY_SMOOTHING_FACTOR

    def compute_speeds(self, endpoints: Sequence[EndpointId]) -> list[float]:
        """Return each endpoint's speed relative to the median of the measured ones.

        Speeds are between :data:`MIN_SPEED` and :data:`MAX_SPEED`; an endpoint without
        a measurement counts as 1.0.

        Examples
        --------
        >>> tracker = LoadTracker()
        >>> for endpoint, seconds in (("e1", 0.1), ("e2", 0.1), ("e3", 0.2)):
        ...     tracker.record_latency(endpoint, seconds)
        >>> tracker.compute_speeds(["e1", "e2", "e3", "e4"])
        [1.0, 1.0, 0.5, 1.0]
        """
        latencies = [self._get_or_create(endpoint).latency_s for endpoint in endpoints]
        known = [latency for latency in latencies if latency]
        if not known:
            return [1.0] * len(latencies)
        median_s = statistics.median_low(known)
        return [
            min(MAX_SPEED, max(MIN_SPEED, median_s / latency)) if latency else 1.0
            for latency in latencies
        ]

    def record_start(self, endpoint: EndpointId) -> None:
        """Record that a request was sent to an endpoint."""
        row = self._get_or_create(endpoint)
        row.since_report += 1
        row.running += 1

    def record_end(self, endpoint: EndpointId, failed: bool, now: float) -> None:
        """Record that a request has ended on an endpoint.

        After :data:`EJECTION_FAILURE_COUNT` consecutive failures, the endpoint is
        ejected for :data:`MIN_EJECTION_S`. Each further failure doubles the time, up to
        :data:`MAX_EJECTION_S`.

        Parameters
        ----------
        endpoint : EndpointId
            The endpoint.
        failed : bool
            Whether the request failed because of the endpoint.
        now : float
            Current time in seconds.
        """
        row = self._get_or_create(endpoint)
        row.since_report -= 1
        row.running -= 1
        if not failed:
            row.failures = 0
            return
        row.failures += 1
        if row.failures >= EJECTION_FAILURE_COUNT:
            doublings = min(row.failures - EJECTION_FAILURE_COUNT, MAX_DOUBLINGS)
            ejection_s = MIN_EJECTION_S * 2**doublings
            self._ejected_until[endpoint] = now + min(MAX_EJECTION_S, ejection_s)

    def get_expected(self, endpoint: EndpointId) -> float:
        """Return the expected number of requests.

        It is at least the number of this process's own running requests.
        """
        row = self._get_or_create(endpoint)
        return max(row.reported + row.since_report, float(row.running), 0.0)

    def list_expected(self, endpoints: Iterable[str]) -> list[float]:
        """Return the expected number of requests on each endpoint."""
        expected = []
        loads = self._loads
        for endpoint in endpoints:
            row = loads.get(EndpointId(endpoint))
            load = 0.0
            if row is not None:
                load = row.reported + row.since_report
                if load < row.running:
                    load = float(row.running)
                if load < 0.0:
                    load = 0.0
            expected.append(load)
        return expected

    def get_loads(self, endpoint: EndpointId) -> tuple[float, int]:
        """Return the expected number of requests, and that of this process's own."""
        row = self._loads.get(endpoint)
        if row is None:
            return 0.0, 0
        expected = row.reported + row.since_report
        return max(expected, row.running, 0.0), row.running

    def is_ejected(self, endpoint: EndpointId, now: float) -> bool:
        """Return whether an endpoint is ejected because of failures."""
        return now < self._ejected_until.get(endpoint, float("-inf"))

    def list_ejected(self, now: float) -> set[EndpointId]:
        """Return the endpoints that are ejected because of failures."""
        return {key for key, end in self._ejected_until.items() if now < end}

    def discard_unlisted(self, endpoints: set[EndpointId]) -> None:
        """Discard unlisted endpoints on which this process runs no request."""
        for endpoint in set(self._loads) - endpoints:
            if not self._loads[endpoint].running:
                del self._loads[endpoint]
                self._ejected_until.pop(endpoint, None)

    def make_dump(self) -> dict[str, float]:
        """Return the expected load by endpoint."""
        return {endpoint: self.get_expected(endpoint) for endpoint in self._loads}

    def _get_or_create(self, endpoint: EndpointId) -> _Load:
        row = self._loads.get(endpoint)
        if row is None:
            row = self._loads[endpoint] = _Load()
        return row
