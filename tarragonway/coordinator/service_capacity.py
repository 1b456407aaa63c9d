"""What the listed endpoints of services can serve, as the leader knows it."""

from collections.abc import Callable

from tarragonway.core.ids import ServiceName
from tarragonway.endpoints.endpoint_list import EndpointView
from tarragonway.routes.model import Configuration

# Smallest pace that counts: an endpoint four times as fast as usual.
MIN_PACE = 0.25

GetPace = Callable[[str], float]


def get_usual_pace(endpoint: str) -> float:
    """Return 1, the pace of an endpoint of which nothing is known."""
    return 1.0


def list_capacities(
    configuration: Configuration | None,
    view: EndpointView,
    get_pace: GetPace = get_usual_pace,
) -> dict[ServiceName, float]:
    """Return the work in seconds per second that each service's endpoints can do.

    Only services with model engines of a known number of slots are included, and only
    if client accounts have quotas: without quotas, load has no bound that capacity
    could be planned for.

    Parameters
    ----------
    configuration : Configuration or None
        Configuration in force.
    view : EndpointView
        Endpoints of all services. Leaving ones get no new work.
    get_pace : callable
        Returns how long work takes on an endpoint, relative to the usual time.
    """
    if configuration is None or not configuration.has_quotas:
        return {}
    capacities = {
        service.name: 0.0
        for service in configuration.services
        if service.engine is not None and service.engine.slots > 0
    }
    for row in view.rows.values():
        if row.service in capacities and not row.leaving:
            capacities[row.service] += 1 / max(MIN_PACE, get_pace(row.key))
    return capacities
