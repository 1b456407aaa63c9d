"""Measurement of the work that a gateway sends to each service."""

from typing import Any

from tarragonway.core.ids import ServiceName
from tarragonway.exchange import Prompt
from tarragonway.routing.engine_speed import EngineSpeeds

SMOOTHING_WINDOW_S = 5.0
# Shortest time over which rates are averaged after the start, so that a burst of
# reconnecting callers is not mistaken for the lasting load.
MIN_SMOOTHING_WINDOW_S = 2.0


class OfferedLoadMeter:
    """Smoothed rate of the work sent to each service, in seconds of work per second.

    Parameters
    ----------
    speeds : EngineSpeeds
        Speed of each service's engines.

    Examples
    --------
    >>> meter = OfferedLoadMeter(EngineSpeeds())
    >>> _ = meter.measure(0.0)
    >>> _ = meter.add("llm", Prompt(5500, 20), slots=8)
    >>> meter.measure(1.0)
    {'llm': 0.0519}
    >>> meter.measure(2.0)
    {'llm': 0.0259}
    """

    def __init__(self, speeds: EngineSpeeds) -> None:
        self._speeds = speeds
        self._sums: dict[ServiceName, float] = {}
        self._rates: dict[ServiceName, float] = {}
        self._refused_sums: dict[ServiceName, float] = {}
        self._refused_rates: dict[ServiceName, float] = {}
        self._counts: dict[ServiceName, int] = {}
        self._request_rates: dict[ServiceName, float] = {}
        self._at: float | None = None
        self._started: float | None = None

    def add(self, service: ServiceName, prompt: Prompt | None, slots: int) -> float:
        """Add one request; return its estimated work in seconds, 0 without a prompt.

        Parameters
        ----------
        service : ServiceName
            Service that the request is sent to.
        prompt : Prompt or None
            Size of the request, if known.
        slots : int
            Requests that one of the service's engines runs at once.
        """
        self._counts[service] = self._counts.get(service, 0) + 1
        if prompt is None:
            return 0.0
        work_s = self._speeds.get(service).compute_work_s(
            prompt.input_tokens, prompt.output_tokens, max(1, slots)
        )
        self._sums[service] = self._sums.get(service, 0.0) + work_s
        return work_s

    def add_refused(self, service: ServiceName, work_s: float) -> None:
        """Add the work of a request that was added before and that no endpoint got.

        Parameters
        ----------
        service : ServiceName
            Service that the request was for.
        work_s : float
            Its estimated work in seconds.
        """
        if work_s > 0:
            self._refused_sums[service] = self._refused_sums.get(service, 0.0) + work_s

    def measure(self, now: float) -> dict[str, float]:
        """Return the smoothed rate by service and start a new interval.

        The first call only starts the measurement and returns an empty dictionary.
        """
        if self._at is None or self._started is None:
            self._at = self._started = now
            return {}
        interval_s = now - self._at
        if interval_s <= 0:
            return {}
        self._at = now
        # Early intervals get a larger weight, so that the rates of a restarted process
        # do not start near zero.
        known_s = max(interval_s, now - self._started, MIN_SMOOTHING_WINDOW_S)
        # After a pause of the process, the last interval alone counts.
        weight = min(1.0, interval_s / min(SMOOTHING_WINDOW_S, known_s))
        _smooth(self._rates, self._sums, interval_s, weight)
        _smooth(self._refused_rates, self._refused_sums, interval_s, weight)
        _smooth(self._request_rates, self._counts, interval_s, weight)
        return {name: round(rate, 4) for name, rate in self._rates.items()}

    @property
    def refused_rates(self) -> dict[ServiceName, float]:
        """Smoothed rate of the work that no endpoint got, as far as it is not 0."""
        rates = {name: round(rate, 4) for name, rate in self._refused_rates.items()}
        return {name: rate for name, rate in rates.items() if rate}

    @property
    def request_rates(self) -> dict[ServiceName, float]:
        """Smoothed requests per second by service, as of the last measurement."""
        return {name: round(rate, 2) for name, rate in self._request_rates.items()}


def _smooth(
    rates: dict[ServiceName, float],
    sums: dict[ServiceName, Any],
    interval_s: float,
    weight: float,
) -> None:
    """Move the rates towards those of the last interval, and clear its sums."""
    for service in {*sums, *rates}:
        current = sums.get(service, 0) / interval_s
        rate = rates.get(service, 0.0)
        rates[service] = rate + (current - rate) * weight
    sums.clear()
