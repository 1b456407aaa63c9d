"""Demand while requests are refused and come back, and true bursts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tarragonway.capacity.confirmed_need import (
    CONFIRMATION_S,
    ConfirmedLoads,
    estimate_demand,
)


# Guards against a need that counts returns: the load pattern is that of too few
# endpoints, with callers that retry once.
@given(st.floats(0.1, 100.0), st.floats(0.0, 1.0))
def test_demand_is_independent_of_refusals(demand, refused_fraction):
    offered = demand * (1 + refused_fraction)
    estimate = estimate_demand(offered, offered * refused_fraction)
    assert estimate == pytest.approx(demand)


# Guards against a bound that keeps the plan from following a true burst: the load
# pattern is that of a burst of 2.5 times on endpoints that use 0.8 of their time, with
# callers that retry once or not at all.
@pytest.mark.parametrize("returns", [True, False])
def test_true_burst_is_followed(returns):
    loads, before, burst = ConfirmedLoads(), 24.0, 60.0
    assert loads.limit("s", before, 0.0, 0.0) == before
    capacity = before / 0.8
    planned = []
    for boot in range(8):
        served = min(1.0, capacity / burst)
        if returns:
            served = min(1.0, capacity / (burst * (2 - served)))
        offered = burst * (2 - served) if returns else burst
        refused = offered * (1 - served)
        planned.append(loads.limit("s", offered, refused, 1.0 + 5 * boot))
        capacity = max(capacity, planned[-1] / 0.8)
    assert planned[0] >= 1.5 * before
    assert planned[-1] >= 0.95 * burst


# Guards against a burst that needs confirmation although no request is refused.
def test_burst_within_the_capacity_is_planned_for_at_once():
    loads = ConfirmedLoads()
    loads.limit("s", 10.0, 0.0, 0.0)
    assert loads.limit("s", 25.0, 0.0, 0.4) == 25.0


# Guards against a bound by a load that endpoints took long ago.
def test_bound_ends_when_nothing_confirms_it():
    loads = ConfirmedLoads()
    loads.limit("s", 1.0, 0.0, 0.0)
    assert loads.limit("s", 50.0, 50.0, 1.0) == 2.0
    assert loads.limit("s", 50.0, 50.0, CONFIRMATION_S + 1.0) == 25.0
