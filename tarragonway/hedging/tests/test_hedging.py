"""Limit, delay and decision of hedged requests."""

import random

import pytest

from tarragonway.core.errors import SettingsError
from tarragonway.hedging import (
    EndpointFigures,
    HedgeBudget,
    HedgeDelays,
    HedgeDenial,
    HedgedRequest,
    may_hedge,
)
from tarragonway.hedging.delays import MAX_ROUTES, MIN_SAMPLES, PERIOD_S
from tarragonway.node.settings import load_node_settings

GATEWAYS = 40
FRACTION = 0.05
WINDOW_S = 10.0
STEP_S = 0.01
SETTINGS = """
name = "g"
zone = "a"
zones = ["a"]
seeds = ["127.0.0.1:1"]
[listen]
peers = "127.0.0.1:2"
[platform]
address = "127.0.0.1:3"
"""


def play(rate_at, seconds, seed):
    """Return the times of all sends and of all extra sends, by gateway.

    Each send tries to send an extra one some time later.
    """
    source = random.Random(seed)
    budgets = [HedgeBudget(FRACTION, WINDOW_S) for _ in range(GATEWAYS)]
    sends = [[] for _ in budgets]
    extra = [[] for _ in budgets]
    due = [[] for _ in budgets]
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        for number, budget in enumerate(budgets):
            if source.random() < rate_at(number, now) * STEP_S:
                budget.record_send("s", now)
                sends[number].append(now)
                due[number].append(now + source.random())
            for at in [at for at in due[number] if at <= now]:
                due[number].remove(at)
                if budget.may_send_extra("s", now):
                    budget.record_extra_send("s", now)
                    extra[number].append(now)
    return sends, extra


def count(lists, start, end):
    """Return how many times of all lists are after start and until end."""
    return sum(start < at <= end for times in lists for at in times)


@pytest.mark.parametrize("seed", [1, 2])
# Guards against gateways that keep to the limit each, but not all together: bursts and
# pauses at different times, and gateways whose load ends.
def test_limit_holds_over_many_gateways(seed):
    def rate_at(number, now):
        is_burst = int(now / 7 + number) % 3 == 0
        return (25.0 if is_burst else 2.0) if now < 30 + number else 0.0

    sends, extra = play(rate_at, 60.0, seed)
    assert count(extra, -1, 60) > 100
    for own_sends, own_extra in zip(sends, extra, strict=True):
        for at in own_extra:
            permitted = FRACTION * count([own_sends], at - WINDOW_S, at)
            assert count([own_extra], at - WINDOW_S, at) <= permitted + 1e-9
    for end in range(1, 61):
        assert count(extra, -1, end) <= FRACTION * count(sends, -1, end)
        in_window = count(extra, end - WINDOW_S, end)
        assert in_window <= FRACTION * count(sends, end - 2 * WINDOW_S, end)


# Guards against a limit that is exceeded over a window at a steady load.
def test_limit_holds_in_each_window_at_a_steady_load():
    sends, extra = play(lambda number, now: 10.0, 40.0, 3)
    for end in range(10, 41):
        permitted = FRACTION * count(sends, end - WINDOW_S, end)
        assert 0.5 * permitted < count(extra, end - WINDOW_S, end) <= permitted


# Guards against sends of long ago, or of another service, that permit extra ones.
def test_only_sends_of_the_service_in_the_window_count():
    budget = HedgeBudget(0.1, 10.0)
    for _ in range(100):
        budget.record_send("s", 0.0)
    assert budget.may_send_extra("s", 9.0)
    assert not budget.may_send_extra("s", 10.5)
    assert not budget.may_send_extra("other", 1.0)


# Guards against memory that grows with the rate or the time.
def test_counts_are_kept_for_a_window_only():
    budget = HedgeBudget(0.1, 10.0)
    for number in range(20_000):
        budget.record_send("s", number * 0.01)
    assert len(budget._services["s"]) <= 22


# Guards against hedges on a few samples, whose quantile says nothing.
def test_too_few_samples_give_no_delay():
    delays = HedgeDelays(0.95)
    for _ in range(MIN_SAMPLES - 1):
        delays.record("r", 10.0, 10.0, 0.0)
    assert delays.find_delay_ms("r", 10.0, 0.0) is None
    for _ in range(20):
        delays.record("r", 10.0, 10.0, 0.0)
    assert delays.find_delay_ms("r", 10.0, 0.0) == pytest.approx(10.0, rel=0.07)


# Guards against a delay that is a constant instead of the quantile of the route.
def test_delay_is_the_quantile_of_the_route_relative_to_the_estimate():
    delays = HedgeDelays(0.9)
    for number in range(640):
        delays.record("r", 20.0, 20.0 if number % 8 else 200.0, 0.0)
        delays.record("steady", 20.0, 20.0, 0.0)
    assert delays.find_delay_ms("r", 50.0, 0.0) == pytest.approx(500.0, rel=0.07)
    assert delays.find_delay_ms("steady", 50.0, 0.0) == pytest.approx(50.0, rel=0.07)


# Guards against measurements of a load that is long over.
def test_old_samples_fade():
    delays = HedgeDelays(0.95)
    for _ in range(200):
        delays.record("r", 1.0, 100.0, 0.0)
    later = PERIOD_S * 1.5
    assert delays.find_delay_ms("r", 1.0, later) == pytest.approx(100, rel=0.07)
    for _ in range(200):
        delays.record("r", 1.0, 2.0, later)
    assert delays.find_delay_ms("r", 1.0, later) == pytest.approx(100, rel=0.07)
    assert delays.find_delay_ms("r", 1.0, later + PERIOD_S) == pytest.approx(
        2, rel=0.07
    )
    assert delays.find_delay_ms("r", 1.0, later + 4 * PERIOD_S) is None


# Guards against memory that grows with the routes of a configuration.
def test_number_of_routes_is_bounded():
    delays = HedgeDelays(0.95)
    for number in range(MAX_ROUTES + 10):
        delays.record(str(number), 1.0, 1.0, float(number))
    assert set(delays.make_dump()) == {str(n) for n in range(10, MAX_ROUTES + 10)}


@pytest.mark.parametrize("taken_ms", [0.0, 1e12])
# Guards against times out of the histogram's range, which it does not count.
def test_extreme_times_count(taken_ms):
    delays = HedgeDelays(0.95)
    for _ in range(100):
        delays.record("r", 0.0, taken_ms, 0.0)
    assert delays.find_delay_ms("r", 0.0, 0.0) > 0


REQUEST = dict(is_repeatable=True, sends=1, max_attempts=2)
FIRST = EndpointFigures(100.0, 3.0, 4, 1.0)


def decide(second=FIRST, objective_ms=500.0, time_left_ms=900.0, budget=True, **facts):
    request = HedgedRequest(**{**REQUEST, **facts})
    return may_hedge(request, FIRST, second, objective_ms, time_left_ms, budget)


# Guards against a decision that denies everything.
def test_equal_endpoint_is_allowed():
    assert decide() is None
    assert decide(EndpointFigures(20.0, 0.0, 4, 0.8)) is None


@pytest.mark.parametrize(
    ("facts", "denial"),
    [
        ({"is_repeatable": False}, HedgeDenial.AT_MOST_ONCE),
        ({"sends": 2}, HedgeDenial.MAX_ATTEMPTS),
        ({"is_resumed": True}, HedgeDenial.RESUMED),
        ({"is_probe": True}, HedgeDenial.PROBE),
        ({"is_suspect": True}, HedgeDenial.SUSPECT),
        ({"in_rollout": True}, HedgeDenial.ROLLOUT),
        ({"is_limited": True}, HedgeDenial.LIMITED),
        ({"budget": False}, HedgeDenial.FRACTION),
        ({"time_left_ms": 0.0}, HedgeDenial.DEADLINE),
        ({"time_left_ms": 99.0}, HedgeDenial.DEADLINE),
        ({"second": None}, HedgeDenial.NO_ENDPOINT),
        # The slot is needed by the request itself.
        ({"second": EndpointFigures(1.0, 4.0, 4)}, HedgeDenial.OVERLOAD),
        ({"second": EndpointFigures(1.0, 3.5, 4)}, HedgeDenial.OVERLOAD),
        ({"second": EndpointFigures(1.0, 0.0, 0)}, HedgeDenial.OVERLOAD),
        ({"objective_ms": 90.0}, HedgeDenial.OVERLOAD),
        ({"second": EndpointFigures(100.0, 8.0, 9)}, HedgeDenial.FULLER),
        ({"second": EndpointFigures(100.0, 3.0, 4, 1.1)}, HedgeDenial.SLOWER),
        ({"second": EndpointFigures(101.0, 3.0, 4)}, HedgeDenial.SLOWER),
    ],
)
# Guards against an extra send that the rules forbid, or that adds to an overload.
def test_each_rule_denies(facts, denial):
    assert decide(**facts) is denial


# Guards against hedging without an operator's limit, and limits out of the range.
def test_settings(tmp_path):
    path = tmp_path / "gateway.toml"
    path.write_text(SETTINGS)
    assert load_node_settings(path).hedging.fraction == 0
    path.write_text(SETTINGS + "[hedging]\nfraction = 0.2\n")
    hedging = load_node_settings(path).hedging
    assert (hedging.fraction, hedging.window_s, hedging.quantile) == (0.2, 10.0, 0.95)
    for line in ("fraction = 0.21", "fraction = -0.1", "window_s = 0", "quantile = 1"):
        path.write_text(SETTINGS + f"[hedging]\n{line}\n")
        with pytest.raises(SettingsError):
            load_node_settings(path)
