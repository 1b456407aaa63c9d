"""Limits of a configuration that contradict each other."""

from collections.abc import Iterator

import msgspec

from tarragonway.capacity.fleet import (
    MAX_LOST_ZONES,
    MIN_ENDPOINTS,
    FleetState,
    plan_fleet,
)
from tarragonway.routes.model import (
    Account,
    Configuration,
    ConnectionLimits,
    Route,
    ScalingTraits,
    Service,
)
from tarragonway.validation.findings import Finding, warn

UNBOUNDED = 10**6


class RetryBounds(msgspec.Struct, frozen=True):
    """Bounds of all gateways' retries together, from the settings of a process.

    Each request permits ``ratio`` retries; ``slack`` retries are permitted at once.
    """

    ratio: float = 0.1
    slack: float = 10.0


def list_contradictions(
    configuration: Configuration, retries: RetryBounds
) -> Iterator[Finding]:
    """Yield a warning for each limit that another one makes useless or unreachable."""
    for index, route in enumerate(configuration.routes):
        yield from _check_route(f"routes[{index}]", route, retries)
    for index, service in enumerate(configuration.services):
        yield from _check_service(f"services[{index}]", service)
    yield from _check_limits(configuration.limits)
    for index, account in enumerate(configuration.accounts or ()):
        yield from _check_account(f"accounts[{index}]", account)


def _check_route(place: str, route: Route, retries: RetryBounds) -> Iterator[Finding]:
    if route.timeout_s < route.latency_objective_s:
        yield warn(
            place,
            "timeout_s",
            f"the timeout of route {route.name} ({route.timeout_s * 1000:g} ms) is "
            f"below its objective ({route.latency_objective_s * 1000:g} ms)",
            "raise the timeout to at least the objective, or lower the objective",
        )
    further = route.max_attempts - 1
    # The slack is there without earlier requests; the ratio only refills it.
    if further > max(retries.slack, 1.0) or (further and not retries.ratio):
        yield warn(
            place,
            "attempts",
            f"route {route.name} permits {further} retries of a request, and the retry "
            f"budget of all gateways together carries {retries.slack:g} at once and "
            f"{retries.ratio:g} for each request",
            "lower the number of attempts, or raise the retry budget in the settings",
        )


def _check_service(place: str, service: Service) -> Iterator[Finding]:
    engine = service.engine
    if engine is not None and not engine.slots:
        yield warn(
            place,
            "engine.slots",
            f"the engines of {service.name} have no slot, so they run no request",
            "state the number of requests that an engine runs at once",
        )
    elif engine is not None and 0 < service.max_connections < engine.slots:
        yield warn(
            place,
            "max_connections",
            f"{service.name} permits {service.max_connections} connections to an "
            f"endpoint with {engine.slots} slots",
            "raise the connections to at least the slots",
        )
    if service.scaling is not None:
        yield from _check_scaling(place, service, service.scaling)


def _check_scaling(
    place: str, service: Service, scaling: ScalingTraits
) -> Iterator[Finding]:
    if scaling.min_endpoints > scaling.max_endpoints:
        yield warn(
            place,
            "scaling.min_endpoints",
            f"{service.name} has at least {scaling.min_endpoints} and at most "
            f"{scaling.max_endpoints} endpoints in a zone",
            "state a minimum that is not over the maximum",
        )
    needed = _count_planned(scaling, UNBOUNDED)
    bounded = _count_planned(scaling, scaling.max_endpoints)
    if bounded < needed:
        yield warn(
            place,
            "scaling.max_endpoints",
            f"{service.name} may have {bounded} endpoints, and the smallest plan has "
            f"{needed}, of which {MIN_ENDPOINTS} must remain after the loss of "
            f"{MAX_LOST_ZONES} zones",
            "raise the maximum, or state the prices of more zones",
        )


def _count_planned(scaling: ScalingTraits, max_endpoints: int) -> int:
    """Return how many endpoints the planner orders for the lowest need."""
    if not scaling.zone_prices:
        return min(max_endpoints, MIN_ENDPOINTS)
    traits = msgspec.structs.replace(scaling, max_endpoints=max_endpoints)
    state = FleetState({}, {})
    plan = plan_fleet(traits, scaling.zone_prices, MIN_ENDPOINTS, state)
    return sum(plan.values())


def _check_limits(limits: ConnectionLimits) -> Iterator[Finding]:
    for key in ("header_bytes", "header_timeout_s"):
        if not getattr(limits, key):
            yield warn(
                "limits",
                key,
                "this limit is 0, so that no caller can send a request",
                "state a limit over 0, or leave it out",
            )


def _check_account(place: str, account: Account) -> Iterator[Finding]:
    if not account.per_s:
        if account.burst:
            yield warn(
                place,
                "burst",
                f"the burst of account {account.id} has no effect: its rate is 0, that "
                "is without limit",
                "state a rate, or remove the burst",
            )
        return
    units = max(1.0, account.default_units)
    if account.burst < units:
        yield warn(
            place,
            "burst",
            f"the burst of account {account.id} ({account.burst:g}) is below the units "
            f"of one request ({units:g})",
            "raise the burst to at least the units of a usual request",
        )
