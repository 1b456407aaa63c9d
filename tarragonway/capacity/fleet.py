"""Plan of a service's endpoints by availability zone and kind, as pure functions.

Reclaimable endpoints carry the load, with enough spare ones that the remaining ones
suffice when several zones lose theirs at once. On-demand endpoints replace reclaimable
ones while too few of these are available.

Load pattern: endpoints of one service differ in speed, so that equal numbers of them
serve unequal loads. Capacity is the sum of 1 / pace, in usual endpoints.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec

from tarragonway.core.ids import ZoneName
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.pace import MAX_PACE
from tarragonway.routes.model import ScalingTraits

# Zones that may lose all reclaimable endpoints at once, since reclaims come in waves.
MAX_LOST_ZONES = 2
MIN_ENDPOINTS = 2
# A higher need is not planned for, whatever callers say of the size of their requests.
MAX_ENDPOINTS = 10**9


class EndpointKind(msgspec.Struct, frozen=True, order=True):
    """Availability zone and price model; endpoints of one kind are ordered together."""

    zone: ZoneName
    reclaimable: bool


class FleetPolicy(msgspec.Struct, frozen=True):
    """Parameters of the plan.

    ``utilization`` is the fraction of an endpoint's time that the load may use.
    ``min_endpoints`` is the lowest number of endpoints that is ever planned as needed.
    """

    utilization: float = 0.8
    min_endpoints: int = MIN_ENDPOINTS


class FleetState(msgspec.Struct, frozen=True):
    """Current and expected endpoints of a service.

    ``serving`` counts endpoints that are listed and not leaving. ``expected`` also
    counts endpoints that are ordered and have not started yet. ``unavailable`` are the
    zones that have recently refused reclaimable endpoints, ``unavailable_on_demand``
    those that have refused on-demand ones. ``idle`` means that no
    request has arrived yet, so that fewer endpoints than needed may serve while
    on-demand ones are replaced by reclaimable ones. ``capacities`` are the sums of
    1 / pace of the serving endpoints, for kinds where they differ from the numbers.
    ``insured`` is the capacity of on-demand endpoints that is kept in any case.
    """

    serving: Mapping[EndpointKind, int]
    expected: Mapping[EndpointKind, int]
    unavailable: frozenset[ZoneName] = frozenset()
    idle: bool = False
    unavailable_on_demand: frozenset[ZoneName] = frozenset()
    capacities: Mapping[EndpointKind, float] = {}
    insured: int = 0

    def compute_capacity(self, kind: EndpointKind, count: int) -> float:
        """Return the capacity of ``count`` endpoints of a kind, in usual endpoints.

        Endpoints that do not serve yet count as usual ones.

        Examples
        --------
        >>> kind = EndpointKind("a", True)
        >>> state = FleetState({kind: 4}, {}, capacities={kind: 2.0})
        >>> [state.compute_capacity(kind, count) for count in (2, 4, 5)]
        [1.0, 2.0, 3.0]
        """
        serving = self.serving.get(kind, 0)
        capacity = self.capacities.get(kind, serving)
        if count < serving:
            return capacity * count / serving
        return capacity + count - serving

    @property
    def reclaimable_expected(self) -> int:
        """Number of reclaimable endpoints that serve or have been ordered."""
        return sum(n for kind, n in self.expected.items() if kind.reclaimable)


def compute_needed_endpoints(offered_load: float, policy: FleetPolicy) -> int:
    """Return how many endpoints carry ``offered_load`` seconds of work per second."""
    needed = min(offered_load / policy.utilization, MAX_ENDPOINTS)
    return max(policy.min_endpoints, math.ceil(needed))


def count_lost_endpoints(
    limits: Iterable[float], requests_per_s: float, needed: int
) -> int:
    """Return how many endpoints' worth of capacity request limits take away.

    Parameters
    ----------
    limits : iterable of float
        Requests per second that each limited endpoint takes.
    requests_per_s : float
        Requests per second for the service.
    needed : int
        Number of endpoints that carry them without limits.

    Examples
    --------
    >>> count_lost_endpoints([1.0, 1.0, 9.0], requests_per_s=20.0, needed=5)
    2
    """
    share_per_s = requests_per_s / needed
    if share_per_s <= 0:
        return 0
    return math.ceil(sum(max(0.0, 1 - limit / share_per_s) for limit in limits))


def plan_fleet(
    traits: ScalingTraits, zones: Iterable[ZoneName], needed: int, state: FleetState
) -> dict[EndpointKind, int]:
    """Return the planned number of endpoints of each kind.

    On-demand endpoints are added only where expected endpoints don't suffice, and
    removed only when serving endpoints suffice, so that nothing is ordered twice while
    endpoints start.

    Parameters
    ----------
    traits : ScalingTraits
        Bounds per zone and prices.
    zones : iterable of ZoneName
        Availability zones of the deployment.
    needed : int
        Usual endpoints whose capacity must remain after :data:`MAX_LOST_ZONES` zones
        have lost their reclaimable endpoints.
    state : FleetState
        Current and expected endpoints.

    Examples
    --------
    >>> traits = ScalingTraits(1, 4, 4.0, 0.2, {"a": 0.8, "b": 1.2, "c": 1.0})
    >>> def show(state):
    ...     plan = plan_fleet(traits, "abc", 2, state)
    ...     return [(k.zone, k.reclaimable, n) for k, n in sorted(plan.items()) if n]
    >>> full = {EndpointKind(zone, True): 2 for zone in "abc"}
    >>> show(FleetState(full, full))
    [('a', True, 2), ('b', True, 2), ('c', True, 2)]
    >>> lost = {EndpointKind("b", True): 1}
    >>> show(FleetState(lost, full))
    [('a', True, 2), ('b', True, 2), ('c', True, 2)]
    >>> show(FleetState(lost, lost, frozenset("abc")))
    [('a', False, 1), ('a', True, 2), ('b', True, 2), ('c', True, 2)]
    """
    ordered = sorted(zones, key=lambda z: traits.zone_prices.get(z, 1.0))
    wanted = _spread_by_capacity(traits, ordered, needed, state)
    if state.unavailable:
        # An endpoint that is removed during a wave of reclaims can't be replaced soon.
        wanted = {
            zone: max(count, state.serving.get(EndpointKind(zone, True), 0))
            for zone, count in wanted.items()
        }
    placed = {
        zone: max(
            state.serving.get(EndpointKind(zone, True), 0) if wanted[zone] else 0,
            min(
                wanted[zone],
                traits.max_endpoints - state.serving.get(EndpointKind(zone, False), 0),
            ),
        )
        for zone in ordered
    }
    placed = {zone: min(count, wanted[zone]) for zone, count in placed.items()}
    on_demand = _count_on_demand(needed, wanted, placed, state)
    plan = {EndpointKind(zone, True): count for zone, count in placed.items()}
    plan.update(_place_on_demand(traits, ordered, on_demand, state))
    return plan


def compute_max_shortfall(needed: int) -> int:
    """Return how many endpoints may be missing while one kind replaces the other."""
    return max(1, needed // 4)


def count_by_kind(rows: Iterable[ListedEndpoint]) -> dict[EndpointKind, int]:
    """Return how many endpoints of each kind are listed and not leaving."""
    counts: dict[EndpointKind, int] = {}
    for row in rows:
        if not row.leaving:
            kind = EndpointKind(row.zone, row.reclaimable)
            counts[kind] = counts.get(kind, 0) + 1
    return counts


def count_after_zone_loss(counts: Mapping[EndpointKind, int]) -> int:
    """Return the endpoints left when the zone with most reclaimable ones loses them."""
    largest_loss = max((n for kind, n in counts.items() if kind.reclaimable), default=0)
    return sum(counts.values()) - largest_loss


def _count_on_demand(
    needed: int,
    wanted: Mapping[ZoneName, int],
    placed: Mapping[ZoneName, int],
    state: FleetState,
) -> int:
    """Return the number of on-demand endpoints.

    The bound on a zone applies to both kinds together, so on-demand endpoints that
    leave no room for reclaimable ones are removed a few at a time.
    """
    planned = sum(
        state.compute_capacity(
            kind,
            state.expected.get(kind, 0) if zone in state.unavailable else count,
        )
        for zone, count in placed.items()
        for kind in [EndpointKind(zone, True)]
    )
    serving_reclaimable = sum(
        state.compute_capacity(kind, n)
        for kind, n in state.serving.items()
        if kind.reclaimable
    )
    if state.idle and state.reclaimable_expected >= needed:
        return max(0, math.ceil(MIN_ENDPOINTS - serving_reclaimable))
    on_demand_expected = sum(
        state.compute_capacity(kind, n)
        for kind, n in state.expected.items()
        if not kind.reclaimable
    )
    shortfall = max(0, needed - planned)
    on_demand = min(
        max(on_demand_expected, shortfall), max(shortfall, needed - serving_reclaimable)
    )
    blocked = sum(
        wanted[zone] - count
        for zone, count in placed.items()
        if zone not in state.unavailable
    )
    # No further endpoint is removed while reclaimable ones are still starting.
    max_shortfall = (
        0 if planned > serving_reclaimable else compute_max_shortfall(needed)
    )
    lower_bound = max(0, needed - serving_reclaimable - max_shortfall)
    capacity = max(on_demand - blocked, min(on_demand, lower_bound), state.insured)
    return _count_for_capacity(capacity, on_demand_expected, state)


def _count_for_capacity(
    capacity: float, expected_capacity: float, state: FleetState
) -> int:
    """Return how many on-demand endpoints have the capacity.

    The expected ones have ``expected_capacity``; further ones count as usual ones.
    """
    expected = sum(n for kind, n in state.expected.items() if not kind.reclaimable)
    if capacity < expected_capacity:
        return _round_up(capacity * expected / expected_capacity)
    return expected + _round_up(capacity - expected_capacity)


def _round_up(value: float) -> int:
    """Return the next whole number, without errors of rounding."""
    return math.ceil(value - 1e-9)


def _place_on_demand(
    traits: ScalingTraits, zones: list[ZoneName], count: int, state: FleetState
) -> dict[EndpointKind, int]:
    """Place on-demand endpoints: existing ones stay, others go to the cheapest zone."""
    placed: dict[EndpointKind, int] = {}
    capacities = {
        zone: max(
            0, traits.max_endpoints - state.serving.get(EndpointKind(zone, True), 0)
        )
        for zone in zones
    }
    for zone in zones:
        kind = EndpointKind(zone, False)
        placed[kind] = min(count, capacities[zone], state.expected.get(kind, 0))
        count -= placed[kind]
    for zone in zones:
        kind = EndpointKind(zone, False)
        if zone in state.unavailable_on_demand:
            continue
        added = min(count, capacities[zone] - placed[kind])
        placed[kind] += added
        count -= added
    return placed


def _spread_by_capacity(
    traits: ScalingTraits, zones: list[ZoneName], needed: int, state: FleetState
) -> dict[ZoneName, int]:
    """Return the cheapest numbers whose capacity suffices after the worst loss.

    These are the numbers for the smallest need at which the capacity suffices, so that
    fast endpoints need fewer spare ones and slow ones more.
    """
    plan = _spread_reclaimable(traits, zones, needed)
    if not state.capacities or needed <= 0:
        return plan
    insufficient, sufficient = 0, math.ceil(needed * MAX_PACE)
    plan = _spread_reclaimable(traits, zones, sufficient)
    while sufficient - insufficient > 1:
        tried_need = (insufficient + sufficient) // 2
        tried = _spread_reclaimable(traits, zones, tried_need)
        remaining = _count_remaining(
            {
                zone: state.compute_capacity(EndpointKind(zone, True), count)
                for zone, count in tried.items()
            }
        )
        if remaining < needed:
            insufficient = tried_need
        else:
            sufficient, plan = tried_need, tried
    return plan


def _count_remaining(by_zone: Mapping[ZoneName, float]) -> float:
    """Return what is left when the zones with most lose theirs."""
    lost_zones = min(MAX_LOST_ZONES, len(by_zone) - 1)
    return sum(sorted(by_zone.values())[: len(by_zone) - lost_zones])


def _spread_reclaimable(
    traits: ScalingTraits, zones: list[ZoneName], needed: int
) -> dict[ZoneName, int]:
    """Return the cheapest numbers, so that ``needed`` remain after the worst loss.

    With at most ``cap`` endpoints in each zone, a loss of several zones takes at most
    ``cap`` in each of them, so that many spare endpoints suffice. A small cap needs
    fewer spare ones and a large cap fewer of the expensive zones.

    Fewer endpoints remain if the bound per zone is lower. The numbers are 0 if the
    service has no price for reclaimable endpoints.

    Parameters
    ----------
    traits : ScalingTraits
        Bounds per zone and prices.
    zones : list of ZoneName
        Availability zones, the cheapest first.
    needed : int
        Endpoints that must remain.
    """
    if not traits.reclaimable_price:
        return dict.fromkeys(zones, 0)
    lost_zones = min(MAX_LOST_ZONES, len(zones) - 1)
    kept_zones = len(zones) - lost_zones
    plans = (
        _fill_zones(zones, needed + lost_zones * cap, cap)
        for cap in _list_caps(needed, kept_zones, traits.max_endpoints)
    )
    largest = dict.fromkeys(zones, traits.max_endpoints)
    return min(plans, key=lambda plan: _compute_price(traits, plan), default=largest)


def _list_caps(needed: int, kept_zones: int, max_cap: int) -> list[int]:
    """Return the numbers of endpoints in a zone among which the cheapest plan is.

    While ``needed`` fills the same number of zones, the price is linear in the cap. So
    only the ends of these ranges can be cheapest, and their number depends neither on
    the bound of a zone nor on the need. Beyond ``needed``, a larger cap only adds spare
    endpoints.

    Examples
    --------
    >>> _list_caps(needed=10, kept_zones=3, max_cap=2**31)
    [4, 5, 6, 10]
    >>> _list_caps(needed=10, kept_zones=3, max_cap=3)
    []
    """
    if needed <= 0:
        return [1] if max_cap >= 1 else []
    caps = set()
    for filled_zones in range(1, kept_zones + 1):
        caps.add(needed // filled_zones)
        caps.add(needed // (filled_zones + 1) + 1)
    caps.add(min(max_cap, needed))
    least = -(-needed // kept_zones)
    return sorted(cap for cap in caps if max(1, least) <= cap <= max_cap)


def _fill_zones(zones: list[ZoneName], count: int, cap: int) -> dict[ZoneName, int]:
    """Return ``count`` endpoints, at most ``cap`` in a zone, the first zones first."""
    plan: dict[ZoneName, int] = {}
    for zone in zones:
        plan[zone] = min(cap, count)
        count -= plan[zone]
    return plan


def _compute_price(traits: ScalingTraits, plan: Mapping[ZoneName, int]) -> float:
    return sum(
        count * traits.zone_prices.get(zone, 1.0) for zone, count in plan.items()
    )
