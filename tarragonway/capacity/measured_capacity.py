"""Measured capacity of the serving endpoints of each kind.

Load pattern: endpoints of one service differ in speed, and what is known of their
speeds varies by a few percent from second to second.
"""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from tarragonway.capacity.fleet import EndpointKind
from tarragonway.core.ids import ServiceName
from tarragonway.endpoints.endpoint_list import ListedEndpoint

# Each change of an order may restart endpoints that are starting, so a capacity is
# replaced only once it differs by more than half of an endpoint.
MIN_CHANGE = 0.5


class _Capacity(msgspec.Struct, frozen=True):
    endpoints: int
    capacity: float


class MeasuredCapacities:
    """Sums of 1 / pace of serving endpoints, with small changes suppressed.

    Examples
    --------
    >>> rows = [
    ...     ListedEndpoint(key, key, "s", "127.0.0.1:1", "a", 4, False)
    ...     for key in ("e1", "e2")
    ... ]
    >>> paces = {"e1": 1.0, "e2": 1.0}
    >>> capacities = MeasuredCapacities()
    >>> def measure():
    ...     return list(capacities.measure("s", rows, paces.__getitem__).values())
    >>> measure()
    []
    >>> paces["e2"] = 4.0
    >>> measure()
    [1.25]
    >>> paces["e1"] = 1.25
    >>> measure()
    [1.25]
    """

    def __init__(self) -> None:
        self._in_use: dict[tuple[ServiceName, EndpointKind], _Capacity] = {}

    def measure(
        self,
        service: ServiceName,
        rows: Iterable[ListedEndpoint],
        get_pace: Callable[[str], float],
    ) -> Mapping[EndpointKind, float]:
        """Return the capacities that differ from the numbers of endpoints.

        Parameters
        ----------
        service : ServiceName
            The service.
        rows : iterable of ListedEndpoint
            Its endpoints that count as capacity.
        get_pace : callable
            Returns the pace of an endpoint by its key, 1 if unknown.
        """
        speeds: dict[EndpointKind, list[float]] = {}
        for row in rows:
            if not row.leaving:
                kind = EndpointKind(row.zone, row.reclaimable)
                speeds.setdefault(kind, []).append(1 / get_pace(row.key))
        measured: dict[EndpointKind, float] = {}
        for kind, values in speeds.items():
            total = sum(values)
            previous = self._in_use.get((service, kind), _Capacity(0, 0.0))
            is_kept = (
                previous.endpoints == len(values)
                and abs(previous.capacity - total) <= MIN_CHANGE
            )
            if not is_kept:
                previous = _Capacity(len(values), total)
            self._in_use[service, kind] = previous
            if previous.capacity != len(values):
                measured[kind] = previous.capacity
        return measured
