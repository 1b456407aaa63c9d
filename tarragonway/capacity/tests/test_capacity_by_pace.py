"""Plans for endpoints of unequal speed.

The load pattern is that of a deployment whose endpoints differ in speed permanently.
"""

import math

from hypothesis import given
from hypothesis import strategies as st

from tarragonway.capacity.fleet import (
    MIN_ENDPOINTS,
    EndpointKind,
    FleetState,
    _place_on_demand,
    _spread_reclaimable,
    compute_max_shortfall,
    plan_fleet,
)
from tarragonway.routes.model import ScalingTraits

ZONES = ("a", "b", "c")
KINDS = [EndpointKind(zone, kind) for zone in ZONES for kind in (False, True)]
TRAITS = ScalingTraits(1, 60, 4.0, 0.18, {"a": 1.0, "b": 1.0, "c": 1.0})


def count_on_demand_by_number(needed, wanted, placed, state):
    """Return the number of on-demand endpoints of the plan by numbers."""
    planned = sum(
        state.expected.get(EndpointKind(zone, True), 0)
        if zone in state.unavailable
        else count
        for zone, count in placed.items()
    )
    serving_reclaimable = sum(
        n for kind, n in state.serving.items() if kind.reclaimable
    )
    if state.idle and state.reclaimable_expected >= needed:
        return max(0, MIN_ENDPOINTS - serving_reclaimable)
    on_demand_expected = sum(
        n for kind, n in state.expected.items() if not kind.reclaimable
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
    max_shortfall = (
        0 if planned > serving_reclaimable else compute_max_shortfall(needed)
    )
    lower_bound = max(0, needed - serving_reclaimable - max_shortfall)
    return max(on_demand - blocked, min(on_demand, lower_bound))


def plan_by_number(traits, zones, needed, state):
    """Return the plan that counts endpoints, as it was before paces."""
    ordered = sorted(zones, key=lambda z: traits.zone_prices.get(z, 1.0))
    wanted = _spread_reclaimable(traits, ordered, needed)
    serving = {z: state.serving.get(EndpointKind(z, True), 0) for z in ordered}
    if state.unavailable:
        wanted = {zone: max(count, serving[zone]) for zone, count in wanted.items()}
    placed = {
        zone: max(
            serving[zone] if wanted[zone] else 0,
            min(
                wanted[zone],
                traits.max_endpoints - state.serving.get(EndpointKind(zone, False), 0),
            ),
        )
        for zone in ordered
    }
    placed = {zone: min(count, wanted[zone]) for zone, count in placed.items()}
    on_demand = count_on_demand_by_number(needed, wanted, placed, state)
    plan = {EndpointKind(zone, True): count for zone, count in placed.items()}
    plan.update(_place_on_demand(traits, ordered, on_demand, state))
    return plan


counts = st.dictionaries(st.sampled_from(KINDS), st.integers(0, 70))
some_zones = st.frozensets(st.sampled_from(ZONES))


@given(
    counts,
    counts,
    some_zones,
    some_zones,
    st.booleans(),
    st.integers(0, 200),
    st.integers(0, 60),
    st.sampled_from([0.0, 0.18]),
    st.lists(st.floats(0.5, 2.0), min_size=3, max_size=3),
    st.booleans(),
)
# Guards against other plans on deployments whose endpoints all have a pace of 1.
def test_plan_with_usual_paces_is_that_by_numbers(
    serving, expected, lost, full, idle, needed, bound, price, prices, stated
):
    zone_prices = dict(zip(ZONES, prices, strict=True))
    traits = ScalingTraits(1, bound, 4.0, price, zone_prices)
    capacities = {kind: float(n) for kind, n in serving.items()} if stated else {}
    state = FleetState(serving, expected, lost, idle, full, capacities)
    assert plan_fleet(traits, ZONES, needed, state) == plan_by_number(
        traits, ZONES, needed, state
    )


# Guards against slow endpoints that count as whole ones, so that too little is left
# after two zones are reclaimed, and against spare ones beyond what fast ones serve.
@given(st.lists(st.floats(0.5, 2.0), min_size=3, max_size=3), st.integers(10, 30))
def test_capacity_that_remains_after_two_reclaims_suffices(speeds, needed):
    serving = {EndpointKind(zone, True): 30 for zone in ZONES}
    capacities = {
        EndpointKind(zone, True): 30 * speed
        for zone, speed in zip(ZONES, speeds, strict=True)
    }
    state = FleetState(serving, serving, capacities=capacities)
    plan = plan_fleet(TRAITS, ZONES, needed, state)
    remaining = min(
        state.compute_capacity(EndpointKind(zone, True), plan[EndpointKind(zone, True)])
        for zone in ZONES
    )
    full = max(plan.values()) == TRAITS.max_endpoints
    assert remaining >= needed or full
    # One more or less in the zone that is left is at most 2 usual endpoints.
    is_even = max(speeds) == min(speeds)
    assert not is_even or remaining < needed + 2


# Guards against too few on-demand endpoints while only slow reclaimable ones are left.
def test_slow_reclaimable_endpoints_are_completed_on_demand():
    left = EndpointKind("c", True)
    state = FleetState(
        {left: 20}, {left: 20}, frozenset(ZONES), capacities={left: 10.0}
    )
    plan = plan_fleet(TRAITS, ZONES, 20, state)
    assert sum(n for kind, n in plan.items() if not kind.reclaimable) == 10


# Guards against fast on-demand endpoints that are counted as usual ones.
def test_on_demand_endpoints_are_kept_by_capacity():
    kind = EndpointKind("a", False)
    state = FleetState(
        {kind: 10}, {kind: 10}, frozenset(ZONES), capacities={kind: 20.0}
    )
    plan = plan_fleet(TRAITS, ZONES, 20, state)
    assert plan[kind] == math.ceil(20 / 2)
