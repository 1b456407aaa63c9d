import collections
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tarragonway.capacity.fleet import (
    MAX_LOST_ZONES,
    MIN_ENDPOINTS,
    EndpointKind,
    FleetState,
    compute_max_shortfall,
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
