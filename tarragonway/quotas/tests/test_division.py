import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tarragonway.quotas import ClassDemand, RequestClass, divide
from tarragonway.quotas.demand import DemandMeter

LONG, SHORT, CALL = RequestClass(0, 7), RequestClass(2, 6), RequestClass(1, 4)
DEMANDS = [
    ClassDemand(LONG, 600_000.0, 50.0),
    ClassDemand(SHORT, 720_000.0, 300.0),
    ClassDemand(CALL, 24_000.0, 120.0),
]

demands_strategy = st.lists(
    st.tuples(
        st.integers(0, 9),
        st.integers(0, 12),
        st.floats(0.1, 1000.0),
        st.floats(1.0, 3.99),
    ),
    min_size=1,
    max_size=12,
    unique_by=lambda row: row[:2],
).map(
    lambda rows: [
        ClassDemand(RequestClass(p, size), n * scale * 4.0**size, n)
        for p, size, n, scale in rows
    ]
)


def compute_served(demands, fractions):
    requests = sum(each.requests_per_s for each in demands)
    served = (each.requests_per_s * fractions[each.request_class] for each in demands)
    return sum(served) / requests


def test_calls_and_urgent_streams_go_before_short_streams():
    fractions = divide(400_000.0, DEMANDS)
    assert fractions[CALL] == 1.0
    assert fractions[LONG] > 0.4
    assert fractions[SHORT] < 0.2


# Guards against classes that are starved by more urgent or by smaller ones.
@given(demands=demands_strategy, part=st.floats(0.01, 0.99))
def test_no_class_falls_below_its_floor(demands, part):
    rate = part * sum(demand.units_per_s for demand in demands)
    fractions = divide(rate, demands)
    used = sum(each.units_per_s * fractions[each.request_class] for each in demands)
    assert used <= rate * (1 + 1e-6)
    assert min(fractions.values()) >= compute_served(demands, fractions) / 4 * 0.999
    assert all(0 <= fraction <= 1 for fraction in fractions.values())


# Guards against large requests that lose against smaller ones of their own kind.
@given(part=st.floats(0.01, 0.99), numbers=st.tuples(*[st.floats(1.0, 50.0)] * 3))
def test_large_requests_of_a_priority_are_served_half_as_often_as_all(part, numbers):
    demands = [
        ClassDemand(RequestClass(0, size), 4.0**size * number, number)
        for size, number in zip((6, 7, 8), numbers, strict=True)
    ]
    # A part of them may count as small, which is served before any priority.
    fractions = divide(part * sum(each.units_per_s for each in demands), demands)
    largest = fractions[RequestClass(0, 8)]
    others = [each for each in demands if each.units_per_s / each.requests_per_s > 4**6]
    assert largest >= compute_served(others, fractions) / 2


@pytest.mark.parametrize("rate", [1_344_000.0, 2e6])
def test_demand_within_the_rate_is_served_whole(rate):
    assert set(divide(rate, DEMANDS).values()) == {1.0}


def test_more_rate_serves_no_class_less():
    previous = divide(1000.0, DEMANDS)
    for rate in itertools.takewhile(
        lambda n: n < 1.4e6, itertools.count(20_000, 20_000)
    ):
        fractions = divide(rate, DEMANDS)
        assert all(fractions[key] >= previous[key] - 0.01 for key in fractions)
        previous = fractions


# Guards against a class whose refused callers return and so seem to be a larger demand.
def test_returns_of_refused_callers_do_not_count_as_demand():
    meter = DemandMeter()
    for step in range(400):
        now = step / 100
        meter.record(LONG, 12_000.0, now)
        meter.expect_return(LONG, now + 0.2)
        if now >= 0.2:
            meter.record(LONG, 12_000.0, now + 0.002)
    (demand,) = meter.measure(4.0)
    assert demand.requests_per_s == pytest.approx(100.0, rel=0.1)


# Guards against a demand of nothing if refused callers do not return.
def test_at_most_every_second_request_counts_as_a_return():
    meter = DemandMeter()
    for step in range(400):
        now = step / 100
        meter.record(SHORT, 2_400.0, now)
        for _ in range(3):
            meter.expect_return(SHORT, now + 0.02)
    (demand,) = meter.measure(4.0)
    assert demand.requests_per_s >= 45.0
