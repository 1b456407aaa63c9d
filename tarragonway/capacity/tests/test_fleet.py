import collections
import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tarragonway.capacity.fleet import (
    MAX_LOST_ZONES,
    MIN_ENDPOINTS,
    EndpointKind,
    FleetPolicy,
    FleetState,
    _compute_price,
    _fill_zones,
    _spread_reclaimable,
    compute_max_shortfall,
    compute_needed_endpoints,
    plan_fleet,
)
from tarragonway.routes.model import ScalingTraits

ZONES = ("a", "b", "c")
TRAITS = ScalingTraits(1, 4, 4.0, 0.2, {"a": 0.8, "b": 1.2, "c": 1.0})
BOOT_STEPS = 3


class Platform:
    """Fake platform that bounds both kinds of a zone together."""

    def __init__(self, counts) -> None:
        self.serving = collections.Counter(counts)
        self.orders: dict[EndpointKind, int] = {}
        self.booting: list[tuple[int, EndpointKind]] = []
        self.unavailable = frozenset()
        self.now = 0

    def order(self, kind, count):
        if (
            kind.reclaimable
            and kind.zone in self.unavailable
            and count > self.serving[kind]
        ):
            return
        self.orders[kind] = count
        self.serving[kind] = min(self.serving[kind], count)
        self.booting = [b for b in self.booting if b[1] != kind]
        other = self.serving[EndpointKind(kind.zone, not kind.reclaimable)]
        missing = min(count, TRAITS.max_endpoints - other) - self.serving[kind]
        self.booting += [(self.now + BOOT_STEPS, kind)] * max(0, missing)

    def reclaim(self, zone):
        self.serving[EndpointKind(zone, True)] = 0
        self.orders.pop(EndpointKind(zone, True), None)

    def step(self, needed, idle=False):
        self.now += 1
        for at, kind in [b for b in self.booting if b[0] <= self.now]:
            self.serving[kind] += 1
            self.booting.remove((at, kind))
        expected = collections.Counter(self.serving)
        for _, kind in self.booting:
            expected[kind] += 1
        state = FleetState(dict(self.serving), dict(expected), self.unavailable, idle)
        for kind, count in sorted(plan_fleet(TRAITS, ZONES, needed, state).items()):
            if count != expected[kind]:
                self.order(kind, count)

    def count(self, *, reclaimable=None):
        return sum(
            n
            for kind, n in self.serving.items()
            if reclaimable is None or kind.reclaimable is reclaimable
        )


@pytest.mark.parametrize("needed", [2, 4, 6, 8, 10])
def test_on_demand_endpoints_are_replaced_without_a_gap(needed):
    platform = Platform({EndpointKind(zone, False): 4 for zone in ZONES})
    for _ in range(80):
        platform.step(needed)
        assert platform.count() >= needed - compute_max_shortfall(needed)
    assert platform.count(reclaimable=False) == 0
    assert platform.count() >= needed


@pytest.mark.parametrize("needed", [2, 4, 6])
def test_first_endpoints_stay_until_reclaimable_ones_serve(needed):
    platform = Platform({EndpointKind(zone, False): 2 for zone in ZONES})
    for _ in range(40):
        platform.step(needed)
        assert platform.count() >= needed
    assert platform.count(reclaimable=False) == 0


def test_reclaims_of_two_zones_are_covered_on_demand_until_replaced():
    platform = Platform({EndpointKind(zone, True): 2 for zone in ZONES})
    platform.step(4)
    platform.unavailable = frozenset(ZONES)
    platform.reclaim("a")
    platform.step(4)
    platform.reclaim("b")
    for _ in range(BOOT_STEPS + 2):
        platform.step(4)
    assert platform.count() >= 4
    platform.unavailable = frozenset()
    for _ in range(60):
        platform.step(4)
        assert platform.count() >= 4 - compute_max_shortfall(4)
    assert platform.count(reclaimable=False) == 0


def test_steady_state_orders_nothing():
    platform = Platform({EndpointKind(zone, True): 4 for zone in ZONES})
    for _ in range(10):
        platform.step(4)
    assert not platform.orders


def test_idle_deployment_removes_on_demand_endpoints_while_others_start():
    """A new deployment must not pay for unneeded on-demand endpoints.

    It starts with the endpoints that it was created with, and has no load.
    """
    platform = Platform({EndpointKind(zone, False): 2 for zone in ZONES})
    platform.step(6, idle=True)
    platform.step(6, idle=True)
    assert platform.count(reclaimable=False) == MIN_ENDPOINTS
    for _ in range(2 * BOOT_STEPS + 2):
        platform.step(6, idle=True)
    assert platform.count(reclaimable=False) == 0
    assert platform.count(reclaimable=True) == 12


def test_idle_deployment_keeps_its_endpoints_while_no_others_are_available():
    platform = Platform({EndpointKind(zone, False): 2 for zone in ZONES})
    platform.unavailable = frozenset(ZONES)
    for _ in range(5):
        platform.step(6, idle=True)
    assert platform.count(reclaimable=False) == 6


def test_no_reclaimable_endpoint_is_removed_during_a_wave_of_reclaims():
    """Endpoints removed during a wave would be missing after its next reclaim.

    The need decreases just as the first zone is lost, and a second zone follows.
    """
    platform = Platform({EndpointKind(zone, True): 4 for zone in ZONES})
    platform.unavailable = frozenset(ZONES)
    platform.reclaim("c")
    platform.step(2)
    assert platform.count(reclaimable=True) == 8


@given(
    st.lists(st.floats(0.5, 2.0), min_size=1, max_size=6),
    st.integers(1, 12),
    st.integers(1, 40),
)
def test_enough_remain_after_the_worst_loss_at_the_least_price(prices, bound, needed):
    """The plan is compared with equal numbers in all zones, for any deployment."""
    zone_prices = {str(n): price for n, price in enumerate(prices)}
    traits = ScalingTraits(1, bound, 4.0, 0.2, zone_prices)
    plan = plan_fleet(traits, list(zone_prices), needed, FleetState({}, {}))
    counts = sorted(n for kind, n in plan.items() if kind.reclaimable)
    remaining = sum(counts[: max(1, len(counts) - MAX_LOST_ZONES)])
    lost_zones = min(MAX_LOST_ZONES, len(prices) - 1)
    surviving_zones = len(prices) - lost_zones
    assert max(counts) <= bound
    assert remaining >= min(needed, bound * surviving_zones)
    equal = min(bound, math.ceil(needed / surviving_zones))
    price = sum(
        n * zone_prices[kind.zone] for kind, n in plan.items() if kind.reclaimable
    )
    assert price <= equal * sum(prices) + 1e-9


def spread_by_trying_all_caps(traits, zones, needed):
    """Return the cheapest plan, by its definition."""
    lost_zones = min(MAX_LOST_ZONES, len(zones) - 1)
    plans = [
        _fill_zones(zones, needed + lost_zones * cap, cap)
        for cap in range(1, traits.max_endpoints + 1)
        if len(zones) * cap >= needed + lost_zones * cap
    ]
    return min(plans, key=lambda plan: _compute_price(traits, plan), default=None)


@given(
    st.lists(st.floats(0.1, 3.0), min_size=1, max_size=6).map(sorted),
    st.integers(0, 30),
    st.integers(0, 60),
)
# Guards against a plan that is not the cheapest, as only a few caps are tried.
def test_few_caps_hold_the_cheapest_plan(prices, max_endpoints, needed):
    zones = [f"z{n}" for n in range(len(prices))]
    zone_prices = dict(zip(zones, prices, strict=True))
    traits = ScalingTraits(1, max_endpoints, 4.0, 0.2, zone_prices)
    plan = _spread_reclaimable(traits, zones, needed)
    best = spread_by_trying_all_caps(traits, zones, needed)
    if best is None:
        assert plan == dict.fromkeys(zones, max_endpoints)
    else:
        price = _compute_price(traits, plan)
        assert price == pytest.approx(_compute_price(traits, best))


@pytest.mark.parametrize("max_endpoints", [2**31 - 1, 10**25])
@pytest.mark.parametrize("offered_load", [1.0, 1e30, math.inf])
@pytest.mark.timeout(5)
# Guards against a leader that plans for each number up to the bound of a zone.
def test_plan_takes_no_longer_with_a_high_bound(max_endpoints, offered_load):
    traits = msgspec.structs.replace(TRAITS, max_endpoints=max_endpoints)
    needed = compute_needed_endpoints(offered_load, FleetPolicy())
    plan = plan_fleet(traits, ZONES, needed, FleetState({}, {}))
    assert sum(plan.values()) >= needed
