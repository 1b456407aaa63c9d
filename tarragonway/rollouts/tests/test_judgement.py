import math

import pytest

from tarragonway.rollouts.evidence import RolloutEvidence
from tarragonway.rollouts.judgement import compute_slow_ms, find_bad
from tarragonway.rollouts.messages import RolloutCounts, RouteCounts, VersionCounts

GOOD = VersionCounts(1000, 1000, 5, 10, 995 * math.log(100))


def judge(new, old=GOOD, other=None):
    sums = {"r": RouteCounts(old, new)}
    if other is not None:
        sums["other"] = RouteCounts(GOOD, other)
    return find_bad({"all": sums}, sums)


# Guards against a judgement from a few responses, such as those of one connection.
@pytest.mark.parametrize("bad", [1, 2, 4])
def test_few_bad_responses_do_not_decide(bad):
    assert judge(VersionCounts(bad, bad, bad)) is None


# Guards against a bad version that is found late: tens of bad responses must do.
@pytest.mark.parametrize(
    "new",
    [
        VersionCounts(20, 20, 6),
        VersionCounts(20, 20, 0, 6),
        VersionCounts(20, 20, 3, 3),
        VersionCounts(150, 150, 15),
        VersionCounts(600, 600, 36),
    ],
    ids=str,
)
def test_bad_version_is_found(new):
    evidence = judge(new)
    assert evidence is not None
    assert evidence.route == "r"


# Guards against the rollback of a good version when both sides have bad responses.
def test_same_fraction_as_the_old_side_is_no_evidence():
    assert judge(VersionCounts(300, 300, 30), VersionCounts(900, 900, 90)) is None


# Guards against a fault on one route that many good responses on another one hide.
def test_each_route_has_its_own_evidence():
    evidence = judge(VersionCounts(16, 16, 8), other=VersionCounts(900, 900))
    assert evidence.route == "r"


# Guards against faults that are too few on each route.
def test_all_routes_together_are_judged_as_well():
    sums = {f"r{n}": RouteCounts(GOOD, VersionCounts(10, 10, 3)) for n in range(4)}
    assert find_bad({"all": sums}, sums).route == ""


# Guards against an unbounded number of bad responses of a version that is only a little
# worse: its 50th bad response starts the time until no request may reach it.
def test_many_bad_responses_decide_at_a_smaller_ratio():
    old = VersionCounts(9000, 9000, 180)
    assert judge(VersionCounts(600, 600, 24), old) is None
    assert judge(VersionCounts(1000, 1000, 45), old) is not None


# Guards against a version that stays suspected at share 1 for a hundred bad responses.
def test_suspicion_suffices_after_the_last_bad_response():
    old = VersionCounts(2000, 2000, 40)
    assert judge(VersionCounts(1000, 1000, 43), old) is None
    assert judge(VersionCounts(1000, 1000, 46), old) is not None


# Guards against a fault that begins after many good responses: they would hide it.
def test_recent_responses_are_judged_alone():
    evidence = RolloutEvidence()
    good = VersionCounts(5000, 5000, 10)
    before = {"r": RouteCounts(good, VersionCounts(2000, 2000, 4))}
    after = {"r": RouteCounts(good, VersionCounts(2020, 2020, 14))}
    evidence.record("g", RolloutCounts(1, before, 0, 0.1), 0.0)
    evidence.record("g", RolloutCounts(1, after, 0, 0.1), 0.5)
    assert find_bad({"all": evidence.totals}, evidence.totals) is None
    windows = {"recent": evidence.sum_recent(0.5)}
    assert find_bad(windows, evidence.totals).window == "recent"
    assert evidence.sum_recent(9.0) == {}


# Guards against a new leader that takes the history of a gateway for recent responses.
def test_first_report_of_a_gateway_is_not_recent():
    evidence = RolloutEvidence()
    counts = {"r": RouteCounts(GOOD, VersionCounts(100, 100, 5))}
    evidence.record("g", RolloutCounts(1, counts, 0, 0.1), 0.0)
    assert evidence.sum_recent(0.0) == {}
    assert evidence.totals == counts


# Guards against the loss of bad responses that a gateway reported before it stopped,
# and against counting a repeated report twice.
def test_gateways_that_stopped_remain_in_the_sums():
    evidence = RolloutEvidence()
    counts = {"r": RouteCounts(GOOD, VersionCounts(10, 10, 5))}
    for name, now in (("g1", 0.0), ("g1", 0.2), ("g2", 100.0)):
        evidence.record(name, RolloutCounts(1, counts, 0, 0.1), now)
    assert evidence.totals["r"].new.failures == 10


def test_slow_time_needs_enough_old_responses():
    few = VersionCounts(20, 20, 0, 0, 20 * math.log(100))
    assert compute_slow_ms({"r": RouteCounts(few, few)}) == {}
    slow_ms = compute_slow_ms({"r": RouteCounts(GOOD, few)})
    assert slow_ms["r"] == pytest.approx(300, rel=0.02)


# Guards against a report of a gateway with odd values that ends the leader's task.
def test_odd_counts_are_judged_without_an_error():
    odd = VersionCounts(0, 1, 2**53, 2**53, 1e15)
    sums = {"r": RouteCounts(VersionCounts(0, 2**53, 0, 0, 1e15), odd)}
    assert find_bad({"all": sums}, sums) is not None
    assert compute_slow_ms({"r": RouteCounts(VersionCounts(9, 99, 0, 0, 1e15), odd)})


# Guards against a bad version that is taken for good while old endpoints crash too
# (soak seed 3003: it was completed with 19 % of its responses failed).
def test_failures_of_the_old_version_do_not_clear_the_new_one():
    row = RouteCounts(VersionCounts(116, 110, 16), VersionCounts(36, 33, 6))
    sums = {"stream": row}
    assert find_bad({"all": sums}, sums) is None
    assert find_bad({"all": sums}, sums, suspicion=True) is not None
