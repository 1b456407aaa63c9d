"""What a leader knows of one rollout in progress, and its present decision.

Load pattern: gateways that are cut off from the leader go on with the old version,
while those that are connected have moved all their requests to the new one.
"""

import math

import msgspec

from tarragonway.core.ids import ProcessName
from tarragonway.rollouts.decision import (
    FULL,
    WHOLE_WINDOW,
    Decision,
    RolloutEndpoints,
    RolloutPolicy,
    Situation,
    Verdict,
    decide,
)
from tarragonway.rollouts.evidence import RolloutEvidence, RouteSums, subtract
from tarragonway.rollouts.judgement import compute_slow_ms
from tarragonway.rollouts.messages import RolloutCounts, RolloutShare, RouteCounts
from tarragonway.rollouts.model import Rollout

# A gateway that does not hear from the leader uses its share for 1.5 s, and the old
# version from then on. Its confirmation ends before, by the time of a commit.
CONFIRMATION_S = 1.0
# Until this part of the deadline, a rollout is not completed without the gateways that
# have reported and are silent. They may be cut off and have requests at old endpoints,
# or be gone, so the rest is for the commit.
AWAITED_DEADLINE_PART = 0.85


class _Gateway(msgspec.Struct):
    """Last report, and whether share 1 was sent in reply to a report before it."""

    counts: RolloutCounts
    was_sent_full: bool = False
    confirmed_at: float = -math.inf


class RolloutProgress:
    """Evidence, share and confirmations of one rollout, as one leader has them.

    Once a version is judged bad, it stays so.

    Parameters
    ----------
    rollout : Rollout
        The rollout in progress.
    policy : RolloutPolicy
        Bounds of the exposure.
    now : float
        The event loop's time in seconds.
    time_s : float
        Time since the order, in seconds.
    """

    def __init__(
        self, rollout: Rollout, policy: RolloutPolicy, now: float, time_s: float
    ) -> None:
        self.rollout = rollout
        self.evidence = RolloutEvidence()
        self.decision = Decision(Verdict.CONTINUE, 0.0, "begun")
        self._policy = policy
        self._begun_at = now - time_s
        self._gateways: dict[ProcessName, _Gateway] = {}
        self._may_raise = False
        self._slow_ms: dict[str, float] = {}
        self._share_since = now
        self._at_step: RouteSums = {}
        self._canary_began_s: float | None = None
        self._at_canary: RouteSums = {}

    def record(self, gateway: ProcessName, counts: RolloutCounts, now: float) -> None:
        """Record the counts of a gateway's report, in loop time (s)."""
        state = self._gateways.setdefault(gateway, _Gateway(counts))
        state.counts = counts
        has_confirmed = (
            state.was_sent_full and counts.share >= FULL and not counts.old_in_flight
        )
        state.confirmed_at = now if has_confirmed else -math.inf
        self.evidence.record(gateway, counts, now)

    def make_reply(self, gateway: ProcessName) -> RolloutShare:
        """Return the decision for the reply to a gateway's report.

        Until the gateways have reported to this leader, each keeps the share that it
        uses, unless the version is bad.
        """
        decision, share = self.decision, self.decision.share
        state = self._gateways.get(gateway)
        if not self._may_raise and decision.verdict is not Verdict.ROLL_BACK:
            share = state.counts.share if state is not None else 0.0
        elif state is not None and share >= FULL:
            state.was_sent_full = True
        return RolloutShare(
            self.rollout.number,
            share,
            decision.endpoint_fraction,
            self._slow_ms,
            decision.route_shares,
        )

    def decide(
        self,
        endpoints: RolloutEndpoints,
        may_raise: bool,
        now: float,
        has_gateways: bool = True,
    ) -> Decision:
        """Make the decision anew, and return it.

        Parameters
        ----------
        endpoints : RolloutEndpoints
            Usable endpoints of the service.
        may_raise : bool
            Whether the gateways have had time to report to this leader.
        now : float
            The event loop's time in seconds.
        has_gateways : bool
            Whether any gateway reports now.
        """
        if self.decision.verdict is Verdict.ROLL_BACK:
            return self.decision
        self._slow_ms = compute_slow_ms(self.evidence.totals)
        if may_raise and not self._may_raise:
            self._take_over_share(now)
        time_s = self.measure_age(now)
        if endpoints.new > 0 and self._canary_began_s is None:
            self._canary_began_s = time_s
            self._at_canary = _keep_old(self.evidence.totals)
        totals = dict(self.evidence.totals)
        situation = Situation(
            time_s,
            self.rollout.order.deadline_s,
            endpoints,
            totals,
            {
                "recent": self.evidence.sum_recent(now),
                WHOLE_WINDOW: subtract(totals, self._at_canary),
            },
            self.evidence.measure_rates(now),
            self._canary_began_s,
            self.decision.share,
            now - self._share_since,
            self._at_step,
            may_raise,
            has_gateways,
        )
        decision = decide(situation, self._policy)
        if decision.share != self.decision.share:
            self._share_since = now
            self._at_step = totals
        if decision.share < FULL:
            for state in self._gateways.values():
                state.was_sent_full, state.confirmed_at = False, -math.inf
        self.decision = decision
        return decision

    def measure_age(self, now: float) -> float:
        """Return the time since the order, in seconds."""
        return now - self._begun_at

    def list_unconfirmed(
        self, gateways: set[ProcessName], now: float
    ) -> list[ProcessName]:
        """Return which gateways may still have requests at old endpoints.

        A gateway confirms that it has none in a report that it sends after a reply with
        share 1 of this leader.

        Parameters
        ----------
        gateways : set of ProcessName
            The gateways that are connected or have reported lately.
        now : float
            The event loop's time in seconds.
        """
        deadline_s = self.rollout.order.deadline_s
        awaited = {*gateways}
        if self.measure_age(now) < AWAITED_DEADLINE_PART * deadline_s:
            awaited.update(self._gateways)
        return sorted(
            name
            for name in awaited
            if name not in self._gateways
            or now - self._gateways[name].confirmed_at > CONFIRMATION_S
        )

    def _take_over_share(self, now: float) -> None:
        """Continue with the share of the leader before, which gateways still use."""
        self._may_raise = True
        shares = [state.counts.share for state in self._gateways.values()]
        share = max(shares, default=0.0)
        if share > 0:
            self.decision = Decision(Verdict.CONTINUE, share, "taken over from reports")
            self._share_since = now
            self._at_step = dict(self.evidence.totals)


def _keep_old(totals: RouteSums) -> RouteSums:
    """Return the counts of the old side only."""
    return {
        route: RouteCounts(row.old, type(row.new)()) for route, row in totals.items()
    }
