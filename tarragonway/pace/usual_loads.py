"""Loads of endpoints between their reports, as one gateway foresees them.

Load pattern: one of 80 gateways hears from an endpoint only every few seconds, while
requests last about as long. An old report of a high load would keep the gateway away
from the endpoint, and so from a newer report, for long.
"""

import msgspec

from tarragonway.core.ids import ServiceName

# Half-lives of a reported load, by the time for which requests run: a second or more at
# model engines, a fraction of a second at plain services.
ENGINE_LOAD_HALF_LIFE_S = 2.0
PLAIN_LOAD_HALF_LIFE_S = 0.5
# Weight of a new report in an endpoint's usual load. A gateway gets about ten reports
# of an endpoint a minute.
REPORT_WEIGHT = 0.25
# Weight of a new report in the usual utilization of a service.
UTILIZATION_WEIGHT = 1 / 32


class _Usual(msgspec.Struct):
    load: float
    reported_at: float


class UsualLoads:
    """Usual number of requests on each endpoint, to which reported loads decay.

    That of an endpoint without a report follows from the utilization of its service,
    the load in relation to the slots. The pace does not matter: an endpoint that gets
    requests in proportion to its speed has as many running as others.

    Examples
    --------
    >>> loads = UsualLoads()
    >>> for second in range(50):
    ...     loads.record("llm", "e1", 10.0, slots=64, now=float(second))
    >>> loads.record("llm", "e1", 30.0, slots=64, now=50.0)
    >>> [round(loads.foresee("llm", "e1", 30.0, 64, 2.0, now), 1)
    ...  for now in (50.0, 52.0, 80.0)]
    [30.0, 22.5, 15.0]
    >>> round(loads.foresee("llm", "e2", 0.0, 64, 2.0, 80.0), 1)
    10.6
    """

    def __init__(self) -> None:
        self._usual: dict[str, _Usual] = {}
        self._utilizations: dict[ServiceName, float] = {}

    def record(
        self,
        service: ServiceName,
        key: str,
        load: float,
        slots: int,
        now: float,
    ) -> None:
        """Record the number of requests that an endpoint reports."""
        if slots > 0:
            utilization = load / slots
            mean = self._utilizations.setdefault(service, utilization)
            mean += (utilization - mean) * UTILIZATION_WEIGHT
            self._utilizations[service] = mean
        row = self._usual.get(key)
        if row is None:
            self._usual[key] = _Usual(load, now)
            return
        row.load += (load - row.load) * REPORT_WEIGHT
        row.reported_at = now

    def foresee(
        self,
        service: ServiceName,
        key: str,
        expected: float,
        slots: int,
        half_life_s: float,
        now: float,
    ) -> float:
        """Return the foreseen load.

        Parameters
        ----------
        service, key : ServiceName, str
            The service and its endpoint.
        expected : float
            Load that follows from the last report.
        slots : int
            The endpoint's slots.
        half_life_s : float
            Half-life of the difference between reported and usual load.
        now : float
            Time of the event loop's clock, in seconds.
        """
        row = self._usual.get(key)
        if row is None:
            usual: float = self._utilizations.get(service, 0.0) * slots
            return max(expected, usual)
        weight: float = 0.5 ** ((now - row.reported_at) / half_life_s)
        return row.load + (expected - row.load) * weight

    def retain(self, keys: set[str]) -> None:
        """Remove the loads of all other endpoints."""
        for key in set(self._usual).difference(keys):
            del self._usual[key]
