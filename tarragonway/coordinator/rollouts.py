"""Rollouts: the leader decides, the log keeps orders and ends, all members publish."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

import structlog

from tarragonway.coordinator.gateways import GatewayReports
from tarragonway.coordinator.lease import DutyLease
from tarragonway.coordinator.machine import CoordinatorMachine
from tarragonway.coordinator.usage_windows import NEW_LEADER_GRACE_S
from tarragonway.core.clock import WallClock
from tarragonway.core.counters import Counters
from tarragonway.core.errors import InvariantError
from tarragonway.core.ids import ProcessName, SoftwareVersion
from tarragonway.endpoints.endpoint_list import EndpointView, ListedEndpoint
from tarragonway.links import Link
from tarragonway.links.link import encode_message
from tarragonway.links.messages import GatewayReport
from tarragonway.replication import LogDriver, NotLeader
from tarragonway.rollouts import Rollout, RolloutOrders, RolloutShare, RolloutState
from tarragonway.rollouts.decision import (
    Decision,
    RolloutEndpoints,
    RolloutPolicy,
    Verdict,
)
from tarragonway.rollouts.evidence import sum_versions
from tarragonway.rollouts.progress import RolloutProgress
from tarragonway.rollouts.store import EndRollout

# A judgement takes effect within half a second at all gateways, of which their report
# interval is a quarter of a second.
DECISION_INTERVAL_S = 0.1
# A new leader that cannot read the endpoint list for so long decides without endpoints,
# so that an order ends at its deadline.
LIST_GRACE_S = 5.0
FAILED = "the decision failed"

_log = structlog.get_logger()


class RolloutCoordinator:
    """Connects the decisions on rollouts to the log and the gateways.

    Parameters
    ----------
    policy : RolloutPolicy
        Bounds of the deployment; without a share, nothing is sent to gateways.
    driver, machine, lease, clock
        The replicated log, its state machine, the source of the time for which this
        process has been leader, and the wall clock.
    gateway_reports : GatewayReports
        Tells which gateways are live.
    view : EndpointView
        The endpoint list.
    has_current_list : callable
        Returns whether the endpoint list was read in the present leadership.
    gateways : mapping of Link to ProcessName
        The links of the gateways.
    counters : Counters
        Receives ``rollouts.*`` counters.
    """

    def __init__(
        self,
        policy: RolloutPolicy,
        driver: LogDriver,
        machine: CoordinatorMachine,
        lease: DutyLease,
        clock: WallClock,
        gateway_reports: GatewayReports,
        view: EndpointView,
        has_current_list: Callable[[], bool],
        gateways: Mapping[Link, ProcessName],
        counters: Counters,
    ) -> None:
        self._policy = policy
        self._driver = driver
        self._machine = machine
        self._lease = lease
        self._clock = clock
        self._gateway_reports = gateway_reports
        self._view = view
        self._has_current_list = has_current_list
        self._gateways = gateways
        self._counters = counters
        self._term = -1
        self._progress: dict[int, RolloutProgress] = {}
        self._seen_versions: dict[int, set[SoftwareVersion]] = {}
        self._proposals: dict[int, asyncio.Task] = {}
        self._published_revision = 0

    @property
    def is_enabled(self) -> bool:
        """Whether the deployment has rollouts."""
        return self._policy.exposure_share > 0

    async def run(self) -> None:
        """Publish orders, and decide as the leader, until cancelled."""
        try:
            while True:
                await asyncio.sleep(DECISION_INTERVAL_S)
                self.update()
        finally:
            for proposal in self._proposals.values():
                proposal.cancel()

    def update(self) -> None:
        """Publish changed orders, and make the decisions that are due."""
        if not self.is_enabled:
            return
        self._publish_changes()
        now = asyncio.get_running_loop().time()
        self._refresh(now)
        for progress in list(self._progress.values()):
            self._decide_safely(progress, now)

    def send_orders(self, link: Link) -> None:
        """Send the orders to a gateway, if this process knows all that it has stored.

        A process without a configuration has applied nothing yet and knows of none.
        """
        if self._knows_orders:
            link.send(self._make_message())

    def handle_report(
        self, gateway_report: GatewayReport, now: float
    ) -> tuple[RolloutShare, ...]:
        """Record a gateway's counts as the leader; return the shares for the reply."""
        if not self.is_enabled:
            return ()
        self._refresh(now)
        for counts in gateway_report.rollouts:
            if counts.number in self._progress:
                self._progress[counts.number].record(gateway_report.name, counts, now)
        return tuple(
            progress.make_reply(gateway_report.name)
            for progress in self._progress.values()
        )

    # Decisions

    def _refresh(self, now: float) -> None:
        """Track the rollouts in progress; forget those of a former leadership."""
        term = self._driver.replica.term if self._driver.is_leader else -1
        is_same_term = term == self._term
        if not is_same_term:
            self._term = term
            self._progress.clear()
            self._seen_versions.clear()
        if term < 0:
            return
        rollouts = {
            rollout.number: rollout
            for rollout in self._machine.rollouts.rollouts.values()
            if rollout.is_in_progress
        }
        for number in self._progress.keys() - rollouts.keys():
            del self._progress[number]
            self._seen_versions.pop(number, None)
        for number, rollout in rollouts.items():
            if number not in self._progress:
                # The clock of a former leader may differ, but not this one's own.
                age_s = 0.0 if is_same_term else self._clock.now() - rollout.begun_s
                self._progress[number] = RolloutProgress(
                    rollout, self._policy, now, max(0.0, age_s)
                )

    def _decide_safely(self, progress: RolloutProgress, now: float) -> None:
        """Decide on a rollout; an unexpected error sets its share to 0."""
        try:
            self._decide(progress, now)
        except InvariantError:
            raise
        except Exception:
            self._counters.increment("rollouts.undecided")
            if progress.decision.reason != FAILED:
                _log.exception(
                    "rollout cannot be decided on",
                    service=progress.rollout.order.service,
                    number=progress.rollout.number,
                )
            progress.decision = Decision(Verdict.CONTINUE, 0.0, FAILED)

    def _decide(self, progress: RolloutProgress, now: float) -> None:
        rollout = progress.rollout
        proposal = self._proposals.get(rollout.number)
        if proposal is not None and not proposal.done():
            # The end may be committed already, so the share stays as it is.
            return
        has_list = self._has_current_list()
        grace_s = NEW_LEADER_GRACE_S if has_list else LIST_GRACE_S
        may_raise = self._lease.leadership_age_s >= grace_s
        live = set(self._gateway_reports.list_live(now))
        rows = [
            row
            for row in self._view.rows.values()
            if has_list and row.service == rollout.order.service
        ]
        seen = self._seen_versions.setdefault(rollout.number, set())
        seen.update(row.version for row in rows)
        endpoints = self._count_endpoints(rollout, rows)
        former = progress.decision
        decision = progress.decide(endpoints, may_raise, now, bool(live))
        if _is_change(former, decision):
            self._counters.increment("rollouts.decisions")
            self._log_decision(progress, decision, endpoints, now)
        if decision.verdict is Verdict.ROLL_BACK:
            self._propose_end(rollout, RolloutState.ROLLED_BACK)
            return
        live |= {*self._gateways.values()}
        is_ready = decision.verdict is Verdict.READY and may_raise
        if is_ready and live and not progress.list_unconfirmed(live, now):
            self._propose_end(rollout, RolloutState.COMPLETED)

    def _count_endpoints(
        self, rollout: Rollout, rows: Iterable[ListedEndpoint]
    ) -> RolloutEndpoints:
        version = rollout.order.version
        unusable = {version, *rollout.excluded}
        usable = [row for row in rows if not row.leaving]
        new = sum(row.version == version for row in usable)
        old = sum(row.version not in unusable for row in usable)
        known = {
            *self._machine.versions.get(rollout.order.service, ()),
            *self._seen_versions.get(rollout.number, ()),
        }
        return RolloutEndpoints(old, new, not known - unusable)

    def _propose_end(self, rollout: Rollout, state: RolloutState) -> None:
        replaced: tuple[SoftwareVersion, ...] = ()
        if state is RolloutState.COMPLETED:
            replaced = self._list_replaced(rollout)
        command = EndRollout(rollout.number, state, self._clock.now(), replaced)
        proposal = asyncio.create_task(self._commit_end(rollout, command))
        self._proposals[rollout.number] = proposal
        proposal.add_done_callback(lambda _: self._proposals.pop(rollout.number, None))

    def _list_replaced(self, rollout: Rollout) -> tuple[SoftwareVersion, ...]:
        """Return the other versions of the service, also those not listed just now.

        Their endpoints may only be missing from the list for a moment.
        """
        versions = {
            *self._machine.versions.get(rollout.order.service, ()),
            *self._seen_versions.get(rollout.number, ()),
        }
        return tuple(sorted(versions - {rollout.order.version, *rollout.excluded}))

    async def _commit_end(self, rollout: Rollout, command: EndRollout) -> None:
        result = await self._driver.propose(command)
        if isinstance(result, NotLeader):
            self._counters.increment("rollouts.uncommitted")
            _log.info(
                "end of a rollout not committed",
                service=rollout.order.service,
                number=rollout.number,
                state=command.state.value,
                reason=result.reason,
            )
            return
        self._counters.increment(f"rollouts.{command.state.value}")
        _log.info(
            "rollout ended",
            service=rollout.order.service,
            version=rollout.order.version,
            number=rollout.number,
            state=command.state.value,
            after_s=round(command.ended_s - rollout.begun_s, 2),
            replaced=command.replaced,
        )
        self._publish_changes()

    def _log_decision(
        self,
        progress: RolloutProgress,
        decision: Decision,
        endpoints: RolloutEndpoints,
        now: float,
    ) -> None:
        totals = progress.evidence.totals.values()
        _log.info(
            "rollout decision changed",
            service=progress.rollout.order.service,
            version=progress.rollout.order.version,
            number=progress.rollout.number,
            verdict=decision.verdict.value,
            share=decision.share,
            endpoint_fraction=decision.endpoint_fraction,
            reason=decision.reason,
            evidence=decision.evidence and repr(decision.evidence),
            after_s=round(progress.measure_age(now), 2),
            deadline_s=progress.rollout.order.deadline_s,
            endpoints=repr(endpoints),
            old=repr(sum_versions(row.old for row in totals)),
            new=repr(sum_versions(row.new for row in totals)),
        )

    # Messages

    @property
    def _knows_orders(self) -> bool:
        """Whether the committed orders of before the start are applied."""
        has_applied = self._driver.has_applied_restored_log
        return self.is_enabled and has_applied and self._machine.revision >= 0

    def _publish_changes(self) -> None:
        revision = self._machine.rollouts.revision
        if not self._knows_orders or revision == self._published_revision:
            return
        self._published_revision = revision
        frame = encode_message(self._make_message())
        for link in list(self._gateways):
            link.send_encoded(frame)

    def _make_message(self) -> RolloutOrders:
        store = self._machine.rollouts
        return RolloutOrders(store.revision, tuple(store.rollouts.values()))


def _is_change(former: Decision, decision: Decision) -> bool:
    """Return whether a decision is worth a log line: not each small change of share."""
    return (
        former.reason != decision.reason
        or former.verdict is not decision.verdict
        or (former.share > 0) != (decision.share > 0)
    )
