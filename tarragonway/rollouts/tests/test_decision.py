import pytest

from tarragonway.rollouts.decision import (
    MAX_CANARY_SHARE,
    MAX_RARE_ROUTE_SHARE,
    RolloutEndpoints,
    RolloutPolicy,
    Situation,
    Verdict,
    decide,
)
from tarragonway.rollouts.messages import RouteCounts, VersionCounts
from tarragonway.rollouts.tests.stepwise import (
    POLICY,
    StepwiseRollout,
    draw_good,
    make_bad,
)

SEEDS = range(4)
LOW_RATES = {"a": (2.0, 1.0), "b": (0.5, 1.0)}
HIGH_RATES = {
    "long": (93.0, 1.5),
    "short": (247.0, 0.4),
    "call": (85.0, 0.2),
    "safe": (34.0, 0.2),
}


# Guards against a good version that isn't completed by its deadline, or is rolled back
# for the bad responses that the old one has as well.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "options",
    [
        {},
        {"deadline_s": 30.0},
        {"deadline_s": 60.0},
        {"routes": HIGH_RATES},
        {"routes": LOW_RATES},
    ],
    ids=str,
)
def test_good_version_is_completed_by_its_deadline(options, seed):
    rollout = StepwiseRollout(draw_good, seed, **options).run()
    assert rollout.completed
    assert rollout.time_s < rollout.deadline_s


# Guards against endpoints that come late: fewer seconds are left for each step.
@pytest.mark.parametrize("seed", SEEDS)
def test_good_version_with_late_endpoints_is_not_rolled_back(seed):
    assert StepwiseRollout(draw_good, seed, listed_s=6.0).run().completed


# Guards against a bad version that gets more than its part of the requests, or is
# found only after its 50th bad response.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("deadline_s", [12.0, 30.0, 60.0])
@pytest.mark.parametrize(
    "draw",
    [
        make_bad(1.0),
        make_bad(0.3),
        make_bad(0.3, kind="slow"),
        make_bad(0.3, after=60),
        make_bad(0.5, after=100),
        make_bad(0.5, after=100, kind="slow"),
        make_bad(0.4, route="long"),
        make_bad(0.4, route="call"),
        make_bad(0.8, route="rare", kind="slow"),
    ],
    ids=[
        "all",
        "some",
        "slow",
        "late",
        "late-half",
        "late-slow",
        "long",
        "call",
        "rare",
    ],
)
def test_bad_version_is_rolled_back_within_its_exposure(draw, deadline_s, seed):
    rollout = StepwiseRollout(draw, seed, deadline_s=deadline_s).run()
    assert rollout.rolled_back
    assert rollout.exposed <= rollout.allowed
    assert rollout.bad < 50


# Guards against a fault under load that shows at share 1 only: each new endpoint that
# is used has the load of an old one from the first request on.
def test_few_endpoints_get_the_load_of_old_ones():
    rollout = StepwiseRollout(draw_good)
    while rollout.time_s < 6.0:
        rollout.step()
        decision = rollout.progress.decision
        if decision.share > 0.0:
            assert decision.endpoint_fraction == pytest.approx(
                max(decision.share, 1 / 36), abs=1e-3
            )
    assert 0 < decision.endpoint_fraction < 0.5


# Guards against a rare route whose faults aren't seen among many other responses.
def test_rare_route_gets_a_larger_share():
    rollout = StepwiseRollout(draw_good)
    while rollout.time_s < 5.0:
        rollout.step()
    shares = rollout.progress.decision.route_shares
    assert rollout.progress.decision.share < shares["rare"] <= MAX_RARE_ROUTE_SHARE
    assert "short" not in shares


# Guards against a rollout without traffic that never ends.
def test_version_without_any_request_is_completed_near_the_deadline():
    rollout = StepwiseRollout(draw_good, routes={}).run()
    assert rollout.completed
    assert 6.0 < rollout.time_s < 12.0


# Guards against a version without endpoints that stays in progress.
def test_version_without_endpoints_is_rolled_back_at_the_deadline():
    rollout = StepwiseRollout(draw_good, listed_s=99.0).run()
    assert rollout.rolled_back
    assert rollout.time_s == pytest.approx(12.0, abs=0.1)
    assert rollout.exposed == 0


def make_situation(**options):
    good = VersionCounts(2000, 2000, 0, 20, 2000 * 5.0)
    new = VersionCounts(200, 200, 0, 2, 200 * 5.0)
    totals = {"r": RouteCounts(good, new)}
    values = {
        "time_s": 7.5,
        "deadline_s": 12.0,
        "endpoints": RolloutEndpoints(10, 10),
        "totals": totals,
        "windows": {"all": totals},
        "rates": {"r": 300.0},
        "canary_began_s": 4.0,
        "share": 0.3,
        "share_age_s": 1.0,
        **options,
    }
    return Situation(**values)


def test_share_rises_to_one_after_the_middle_step():
    decision = decide(make_situation(), POLICY)
    assert (decision.verdict, decision.share) == (Verdict.READY, 1.0)


# Guards against a step without evidence of its own.
@pytest.mark.parametrize(
    "options",
    [
        {"share_age_s": 0.2},
        {"may_raise": False},
        {"at_step": {"r": RouteCounts(VersionCounts(), VersionCounts(100, 200, 0, 2))}},
    ],
    ids=["too early", "no reports yet", "no answers since"],
)
def test_share_does_not_rise_without_evidence(options):
    assert decide(make_situation(**options), POLICY).share <= 0.3


# Guards against a version that goes on after its deadline though nothing shows that it
# is good, and against the rollback of one whose last old requests are ending.
def test_deadline_ends_a_rollout_unless_its_share_is_one():
    late = make_situation(time_s=12.1, share=0.3, share_age_s=0.1)
    assert decide(late, POLICY).verdict is Verdict.ROLL_BACK
    ending = make_situation(time_s=40.0, share=1.0)
    assert decide(ending, POLICY).verdict is Verdict.READY


# Guards against a bad version that is not rolled back after its deadline.
def test_bad_version_is_rolled_back_also_after_the_deadline():
    bad = RouteCounts(VersionCounts(2000, 2000), VersionCounts(900, 800, 40))
    totals = {"r": bad}
    situation = make_situation(
        time_s=20.0, share=1.0, totals=totals, windows={"all": totals}
    )
    assert decide(situation, POLICY).verdict is Verdict.ROLL_BACK


# Guards against the completion of a version that no request has reached, at a rate at
# which no single route needs evidence.
def test_version_without_responses_does_not_rise():
    totals = {"r": RouteCounts(VersionCounts(5, 5), VersionCounts())}
    situation = make_situation(
        share=0.3, totals=totals, windows={"all": totals}, rates={"r": 1.0}
    )
    decision = decide(situation, POLICY)
    assert decision.share <= MAX_CANARY_SHARE
    assert decision.reason == "responses are missing"


# Guards against the completion of a version that a few more responses show to be bad.
def test_suspected_version_is_not_completed():
    suspected = RouteCounts(VersionCounts(2000, 2000), VersionCounts(20, 20, 3))
    totals = {"r": suspected}
    situation = make_situation(share=1.0, totals=totals, windows={"all": totals})
    decision = decide(situation, POLICY)
    assert (decision.verdict, decision.share) == (Verdict.CONTINUE, 1.0)


# Guards against a new leader that rolls back, or goes on, before it has reports.
def test_new_leader_judges_before_it_may_raise():
    bad = {"r": RouteCounts(VersionCounts(2000, 2000), VersionCounts(30, 30, 12))}
    known = make_situation(totals=bad, windows={"all": bad}, may_raise=False)
    assert decide(known, POLICY).verdict is Verdict.ROLL_BACK
    nothing = make_situation(
        time_s=13.0, totals={}, windows={}, may_raise=False, share=0.0
    )
    assert decide(nothing, POLICY).verdict is Verdict.CONTINUE


# Guards against a rollback to no version at all.
def test_version_that_is_the_only_one_in_service_takes_all_requests():
    situation = make_situation(
        endpoints=RolloutEndpoints(0, 4, moves_nothing=True), share=0.0
    )
    assert decide(situation, RolloutPolicy(0.1, 0.0)).share == 1.0


# Guards against a share of 1 after a few responses, when all gateways but one are cut
# off: 2 responses, one of them failed, completed a bad version.
def test_few_responses_of_many_requests_are_no_evidence():
    def make_sums(old, new):
        return {
            route: RouteCounts(VersionCounts(old, old), VersionCounts(new, new, bad))
            for route, bad in (("once", 1), ("read", 0))
        }

    sums, since = make_sums(15, 1), make_sums(6, 1)
    situation = Situation(
        7.0,
        12.0,
        RolloutEndpoints(3, 3),
        sums,
        {"recent": since, "all": since},
        {"once": 20.0, "read": 20.0},
        4.6,
        0.5,
        2.0,
        make_sums(10, 0),
    )
    assert decide(situation, POLICY).verdict is Verdict.CONTINUE
