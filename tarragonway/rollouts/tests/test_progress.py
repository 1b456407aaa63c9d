from tarragonway.rollouts import RolloutCounts, RolloutOrder
from tarragonway.rollouts.decision import Decision, RolloutPolicy, Verdict
from tarragonway.rollouts.model import Rollout
from tarragonway.rollouts.progress import RolloutProgress

LIVE = {"g1"}


def make_progress():
    """Return a rollout of 12 s at a share of 1, of which g1 and g2 were told."""
    rollout = Rollout(1, RolloutOrder("s", "v2", 12.0), 0.0)
    progress = RolloutProgress(rollout, RolloutPolicy(0.1, 50.0), 0.0, 0.0)
    progress.decision = Decision(Verdict.READY, 1.0, "requests are ending")
    progress._may_raise = True
    for name in ("g1", "g2"):
        progress.record(name, RolloutCounts(1, {}, 0, 0.3), 6.0)
        progress.make_reply(name)
    return progress


def confirm(progress, name, now):
    progress.record(name, RolloutCounts(1, {}, 0, 1.0), now)


# Guards against old endpoints that are stopped while a gateway which is cut off from
# the leader has requests there.
def test_gateway_that_is_cut_off_is_awaited_until_the_deadline_is_near():
    progress = make_progress()
    confirm(progress, "g1", 7.0)
    assert progress.list_unconfirmed(LIVE, 7.0) == ["g2"]
    confirm(progress, "g1", 10.9)
    assert progress.list_unconfirmed(LIVE, 10.9) == []
    confirm(progress, "g2", 7.5)
    confirm(progress, "g1", 7.5)
    assert progress.list_unconfirmed(LIVE, 7.5) == []


# Guards against a gateway that has confirmed, was cut off, and uses the old version
# again since its share has expired.
def test_confirmation_expires_before_the_share_does():
    progress = make_progress()
    confirm(progress, "g1", 7.0)
    confirm(progress, "g2", 7.0)
    assert progress.list_unconfirmed(LIVE, 7.5) == []
    confirm(progress, "g1", 8.5)
    assert progress.list_unconfirmed(LIVE, 8.5) == ["g2"]
