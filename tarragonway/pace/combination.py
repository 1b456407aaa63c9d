"""Paces of endpoints, combined by the leader from the reports of all gateways.

Load pattern: each of 80 gateways hears from a given endpoint only every few seconds,
too rarely to learn the paces of 45 endpoints by itself.
"""

import math
import statistics
from collections.abc import Mapping

import msgspec
import structlog

from tarragonway.core.ids import ServiceName
from tarragonway.pace.messages import MAX_SENT_PACES, EndpointPace, MeasuredPace
from tarragonway.pace.model import limit_pace

# Number of samples that a combined value reaches back over.
RETAINED_SAMPLES = 200.0
# Half-life of the weight of earlier samples, so that an endpoint whose hardware has
# changed is learned anew within a few minutes.
SAMPLE_HALF_LIFE_S = 60.0
# An endpoint of which no gateway has reported anything for this time is forgotten.
EXPIRY_S = 180.0
# Ratios with fewer samples are not used, as single ones are inflated by waiting.
MIN_RATIO_SAMPLES = 8.0
# A reported ratio counts as at most this factor away from the combined one, so that
# requests which waited behind others have a bounded influence.
MAX_RATIO_STEP = 1.5
# Number of reports of a gateway between those whose replies contain paces.
REPORTS_PER_TURN = 8
# Time for which the combined paces are sent without being computed again.
COMBINATION_INTERVAL_S = 1.0
# A change by more than this factor since the last log line is logged.
LOGGED_CHANGE = 1.25
MAX_LOGGED_ENDPOINTS = 8
MIN_LOG_INTERVAL_S = 10.0

_log = structlog.get_logger()


class _Mean(msgspec.Struct):
    """Mean with the weight of the samples that it holds."""

    value: float = 0.0
    weight: float = 0.0

    def add(self, value: float, samples: float, fading: float) -> None:
        self.weight *= fading
        if not samples:
            return
        self.value += (value - self.value) * samples / (self.weight + samples)
        self.weight = min(RETAINED_SAMPLES, self.weight + samples)


class _Endpoint(msgspec.Struct):
    service: ServiceName
    reported_at: float
    slowdown: _Mean = msgspec.field(default_factory=_Mean)
    # Of the logarithms of ratios, which outliers influence less.
    ratio: _Mean = msgspec.field(default_factory=_Mean)


class CombinedPaces:
    """Usual slowdown and ratio of each endpoint, weighted by numbers of samples.

    Waiting inflates all measured times, so an endpoint's ratio is relative to the
    median of its service's endpoints.

    Examples
    --------
    >>> paces = CombinedPaces()
    >>> for key, ratio in (("e1", 100), ("e2", 120), ("e3", 144)):
    ...     for _ in range(20):
    ...         row = {"s": {key: MeasuredPace(100, 10, ratio, 10)}}
    ...         paces.record(row, now=0.0)
    >>> paces.combine(now=0.0)
    >>> [round(paces.get_pace(key), 2) for key in ("e1", "e2", "e3", "e4")]
    [0.83, 1.0, 1.2, 1.0]
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, _Endpoint] = {}
        self._combined: dict[str, tuple[ServiceName, EndpointPace]] = {}
        self._combined_at = float("-inf")
        self._logged: dict[str, float] = {}
        self._logged_at = float("-inf")

    def clear(self) -> None:
        """Remove all paces; called while this process is not the leader."""
        self._endpoints.clear()
        self._combined.clear()
        self._logged.clear()
        self._combined_at = self._logged_at = float("-inf")

    def exchange(
        self,
        report: Mapping[ServiceName, Mapping[str, MeasuredPace]],
        sequence: int,
        with_paces: bool,
        now: float,
    ) -> dict[ServiceName, dict[str, EndpointPace]]:
        """Record a gateway's report and return the paces to send in the reply.

        Parameters
        ----------
        report : mapping
            What the gateway has newly learned, by service and endpoint.
        sequence : int
            Number of the report, by which a large number of paces is sent in turns.
        with_paces : bool
            Whether the reply contains paces.
        now : float
            The event loop's time in seconds.
        """
        self.record(report, now)
        if not with_paces:
            return {}
        return self.list_paces(sequence // REPORTS_PER_TURN, now)

    def record(
        self, report: Mapping[ServiceName, Mapping[str, MeasuredPace]], now: float
    ) -> None:
        """Record what a gateway has newly learned."""
        for service, rows in report.items():
            for key, measured in rows.items():
                self._record_endpoint(service, key, measured, now)

    def get_pace(self, key: str) -> float:
        """Return the learned pace of an endpoint, 1 if nothing is known.

        The capacity of endpoints is the sum of ``1 / pace``.
        """
        row = self._combined.get(key)
        if row is None:
            return 1.0
        return limit_pace(row[1].slowdown * row[1].ratio / 10_000)

    @property
    def are_known(self) -> bool:
        """Whether an endpoint of any service has stated a slowdown."""
        return bool(self._combined)

    def has_paces(self, service: ServiceName) -> bool:
        """Return whether an endpoint of the service has stated a slowdown."""
        return any(name == service for name, _ in self._combined.values())

    def list_paces(
        self, turn: int, now: float
    ) -> dict[ServiceName, dict[str, EndpointPace]]:
        """Return the paces to send in a reply, by service and endpoint.

        With too many endpoints for one message, consecutive turns return them in
        groups.
        """
        if now - self._combined_at >= COMBINATION_INTERVAL_S:
            self.combine(now)
        keys = sorted(self._combined)
        groups = max(1, math.ceil(len(keys) / MAX_SENT_PACES))
        start = turn % groups * MAX_SENT_PACES
        sent: dict[ServiceName, dict[str, EndpointPace]] = {}
        for key in keys[start : start + MAX_SENT_PACES]:
            service, pace = self._combined[key]
            sent.setdefault(service, {})[key] = pace
        return sent

    def combine(self, now: float) -> None:
        """Compute the paces of all endpoints, and log notable changes."""
        self._combined_at = now
        self._endpoints = {
            key: row
            for key, row in self._endpoints.items()
            if now - row.reported_at < EXPIRY_S
        }
        medians = self._compute_median_ratios()
        self._combined = {
            key: (
                row.service,
                EndpointPace(
                    _to_percent(row.slowdown.value),
                    _to_percent(math.exp(row.ratio.value - medians[row.service]))
                    if row.ratio.weight >= MIN_RATIO_SAMPLES
                    else 100,
                ),
            )
            for key, row in self._endpoints.items()
            if row.slowdown.weight > 0
        }
        self._log_changes(now)

    def _record_endpoint(
        self, service: ServiceName, key: str, measured: MeasuredPace, now: float
    ) -> None:
        row = self._endpoints.get(key)
        if row is None:
            row = self._endpoints[key] = _Endpoint(service, now)
        fading = 0.5 ** (max(0.0, now - row.reported_at) / SAMPLE_HALF_LIFE_S)
        row.reported_at = max(row.reported_at, now)
        row.slowdown.add(measured.slowdown / 100, measured.statements, fading)
        ratio = math.log(measured.ratio / 100)
        if row.ratio.weight >= MIN_RATIO_SAMPLES:
            step = math.log(MAX_RATIO_STEP)
            ratio = max(row.ratio.value - step, min(row.ratio.value + step, ratio))
        row.ratio.add(ratio, measured.times, fading)

    def _compute_median_ratios(self) -> dict[ServiceName, float]:
        ratios: dict[ServiceName, list[float]] = {}
        for row in self._endpoints.values():
            values = ratios.setdefault(row.service, [])
            if row.ratio.weight >= MIN_RATIO_SAMPLES:
                values.append(row.ratio.value)
        return {
            service: statistics.median(values) if values else 0.0
            for service, values in ratios.items()
        }

    def _log_changes(self, now: float) -> None:
        if now - self._logged_at < MIN_LOG_INTERVAL_S:
            return
        current = {key: self.get_pace(key) for key in self._combined}
        threshold = math.log(LOGGED_CHANGE)
        changed = {
            key: pace
            for key, pace in current.items()
            if abs(math.log(pace / self._logged.get(key, 1.0))) > threshold
        }
        if not changed:
            return
        _log.info(
            "paces of endpoints changed",
            changed=len(changed),
            endpoints=len(current),
            paces={
                key: round(changed[key], 2)
                for key in sorted(changed)[:MAX_LOGGED_ENDPOINTS]
            },
        )
        self._logged, self._logged_at = current, now


def _to_percent(value: float) -> int:
    return round(limit_pace(value) * 100)
