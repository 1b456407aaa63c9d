"""On-demand endpoints as an insurance against further reclaims of a wave.

Load pattern: zones lose their reclaimable endpoints in waves, the second zone 4 to 6 s
after the first and the third 2 s later. An on-demand endpoint that is ordered at the
last notice starts after the endpoints are gone.
"""

import math
from collections.abc import Iterable

import structlog

from tarragonway.capacity.fleet import MAX_LOST_ZONES, FleetState
from tarragonway.core.counters import Counters
from tarragonway.core.ids import ServiceName, ZoneName
from tarragonway.endpoints.endpoint_list import ListedEndpoint

# Fraction of the need that is left if all reclaimable endpoints go. The need leaves a
# fifth of the endpoints' time free, so that this serves three quarters of the load;
# the rest can be refused by rank, without refusing urgent requests.
INSURED_FRACTION = 0.6
# Time after the last notice for which a wave may go on: the longest time between the
# notices of two zones (6 s), the time until the endpoints with the notice are gone
# (3 s), and the delay of the list.
WAVE_TIMEOUT_S = 10.0

_log = structlog.get_logger()


class ReclaimInsurance:
    """Capacity that is kept on demand for each service during waves of reclaims.

    Parameters
    ----------
    counters : Counters
        Receives ``fleet.insurance_*`` counters.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._noticed_at: dict[ServiceName, float] = {}
        self._insured: dict[ServiceName, int] = {}

    def record_notice(self, service: ServiceName, now: float) -> None:
        """Record that a reclaimable endpoint of the service has got its notice."""
        self._noticed_at[service] = now

    def is_in_wave(self, service: ServiceName, now: float) -> bool:
        """Return whether a further reclaim is likely within the next seconds."""
        noticed_at = self._noticed_at.get(service, float("-inf"))
        return now - noticed_at < WAVE_TIMEOUT_S

    def compute_insured(
        self, service: ServiceName, needed: int, state: FleetState, now: float
    ) -> int:
        """Return the capacity to keep on demand, and log when this begins or ends.

        Parameters
        ----------
        service : ServiceName
            The service.
        needed : int
            Usual endpoints that it needs.
        state : FleetState
            Its current and expected endpoints.
        now : float
            The event loop's time in seconds.
        """
        wanted = math.ceil(needed * INSURED_FRACTION)
        remaining = compute_remaining_reclaimable(state)
        is_back = remaining >= wanted
        insured = self._insured.get(service, 0)
        if is_back or not self.is_in_wave(service, now):
            if insured:
                del self._insured[service]
                self._counters.increment("fleet.insurance_given_up")
                _log.info(
                    "on-demand insurance given up",
                    service=service,
                    insured=insured,
                    needed=needed,
                    remaining=round(remaining, 1),
                    is_back=is_back,
                )
            return 0
        # A need that varies must not lower an order whose endpoints are starting.
        self._insured[service] = max(insured, wanted)
        if not insured:
            self._counters.increment("fleet.insurance_ordered")
            _log.info(
                "on-demand insurance ordered",
                service=service,
                insured=wanted,
                needed=needed,
                remaining=round(remaining, 1),
                unavailable=sorted(state.unavailable),
            )
        return self._insured[service]


def compute_remaining_reclaimable(state: FleetState) -> float:
    """Return the reclaimable capacity left when the next zones lose theirs.

    Examples
    --------
    >>> from tarragonway.capacity.fleet import EndpointKind
    >>> serving = {EndpointKind(zone, True): 9 for zone in "abc"}
    >>> compute_remaining_reclaimable(FleetState(serving, serving))
    9
    """
    capacities = [
        state.compute_capacity(kind, count)
        for kind, count in state.serving.items()
        if kind.reclaimable
    ]
    return sum(sorted(capacities)[: max(0, len(capacities) - MAX_LOST_ZONES)])


def infer_former_need(rows: Iterable[ListedEndpoint], zones: Iterable[ZoneName]) -> int:
    """Return the need for which the former leader probably planned the endpoints.

    It is what would remain after the loss of :data:`MAX_LOST_ZONES` zones, of which
    those without reclaimable endpoints may be lost already. Endpoints with a notice
    count, since they were planned before it.

    Parameters
    ----------
    rows : iterable of ListedEndpoint
        Endpoints of the service.
    zones : iterable of ZoneName
        Availability zones of the deployment.
    """
    on_demand = 0
    counts = dict.fromkeys(zones, 0)
    for row in rows:
        if row.reclaimable:
            counts[row.zone] = counts.get(row.zone, 0) + 1
        elif not row.leaving:
            on_demand += 1
    lost_zones = min(MAX_LOST_ZONES, len(counts) - 1)
    still_lost = max(0, lost_zones - sum(not n for n in counts.values()))
    largest_first = sorted(counts.values(), reverse=True)
    return on_demand + sum(largest_first[still_lost:])
