"""The leader's decision which part of a service's load gateways admit.

It addresses services that are offered more work than their endpoints can do for some
seconds. The figures of gateways are up to two seconds old.
"""

from collections.abc import Callable, Mapping

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.ids import ProcessName, ServiceName
from tarragonway.overload.messages import (
    MAX_ROWS,
    AdmittedRow,
    AdmittedRows,
    OfferedService,
)
from tarragonway.overload.shares import LoadKey, OfferedLoad, admit

# A service is overloaded from the first fraction of its capacity on, until its offered
# load falls below the second one.
BEGIN_FRACTION = 1.0
END_FRACTION = 0.9
# Fraction of the capacity that is divided while a service is overloaded. Gateways
# choose endpoints by old figures, so queues form before all slots are taken. Nothing is
# lost: gateways refuse only while they find the service full.
USABLE_FRACTION = 0.9
# Part of that which is kept for requests that wait already, if one waits for each slot:
# the queue that grows until the fractions arrive is served first.
QUEUE_WEIGHT = 0.9
# Shortest time between two plans.
PLAN_INTERVAL_S = 0.25
# Shortest time between two versions that are sent, which bounds the messages' size.
VERSION_INTERVAL_S = 1.0
# Gateways report every 2 s; the load of one that does not is forgotten.
MAX_REPORT_AGE_S = 5.0
# Smaller changes of all fractions are not sent.
MIN_CHANGE_PERCENT = 5

_log = structlog.get_logger()

Offered = Mapping[ServiceName, OfferedService]
Admitted = dict[ServiceName, AdmittedRows]


class _Report(msgspec.Struct):
    at: float
    offered: Offered


class SheddingPlanner:
    """Admitted fractions by service, from the offered loads of all gateways.

    Parameters
    ----------
    list_capacities : callable
        Returns the work that the endpoints of each service can do, in seconds per
        second. Load is shed only from these services.
    counters : Counters
        Receives ``shedding.*`` counters.

    Attributes
    ----------
    version : int
        Version of the fractions, -1 while no service is overloaded.
    """

    def __init__(
        self,
        list_capacities: Callable[[], dict[ServiceName, float]],
        counters: Counters,
    ) -> None:
        self._list_capacities = list_capacities
        self._counters = counters
        self._reports: dict[ProcessName, _Report] = {}
        self._admitted: Admitted = {}
        self._overloaded: set[ServiceName] = set()
        self._planned_at = float("-inf")
        self._changed_at = float("-inf")
        self._versions = 0
        self.version = -1

    def clear(self) -> None:
        """Forget all loads; called while this process is not the leader."""
        self._reports.clear()
        self._overloaded.clear()
        self._admitted = {}
        self.version = -1

    def record(self, gateway: ProcessName, offered: Offered, now: float) -> None:
        """Record the loads that one gateway offers, instead of those before."""
        self._reports[gateway] = _Report(now, offered)

    def list_admitted(self, known_version: int, now: float) -> Admitted | None:
        """Return the fractions in force, None if the gateway has this version."""
        if now - self._planned_at >= PLAN_INTERVAL_S:
            self._planned_at = now
            self._plan(now)
        if self.version == known_version or self.version < 0:
            return None
        return self._admitted

    def _plan(self, now: float) -> None:
        for name, report in list(self._reports.items()):
            if now - report.at > MAX_REPORT_AGE_S:
                del self._reports[name]
        if not self._reports:
            self._replace({}, now)
            return
        capacities = self._list_capacities()
        admitted: Admitted = {}
        loads = self._sum_loads()
        summary: dict[str, object] = {}
        for service, load in loads.items():
            capacity = capacities.get(service, 0.0)
            work = sum(row.work for row in load.values())
            limit = END_FRACTION if service in self._overloaded else BEGIN_FRACTION
            if capacity <= 0 or work <= limit * capacity:
                self._overloaded.discard(service)
                continue
            self._overloaded.add(service)
            queue = self._compute_queue(service)
            usable = USABLE_FRACTION * capacity * (1 - QUEUE_WEIGHT * queue)
            rows = _make_rows(admit(usable, list(load.items())), load)
            if rows:
                admitted[service] = rows
                summary[service] = {
                    "offered": round(work, 2),
                    "capacity": round(capacity, 2),
                    "queue": round(queue, 2),
                    "percents": _summarize(rows),
                }
        if self._replace(admitted, now):
            _log.info("admitted fractions changed", services=summary)

    def _compute_queue(self, service: ServiceName) -> float:
        """Return the mean of the waiting requests per slot that gateways report."""
        queues = [
            report.offered[service].queue_percent / 100
            for report in self._reports.values()
            if service in report.offered
        ]
        return sum(queues) / len(queues) if queues else 0.0

    def _sum_loads(self) -> dict[ServiceName, dict[LoadKey, OfferedLoad]]:
        loads: dict[ServiceName, dict[LoadKey, OfferedLoad]] = {}
        for report in self._reports.values():
            for service, offered in report.offered.items():
                load = loads.setdefault(service, {})
                for row in offered.rows:
                    key = LoadKey(row.rank, row.priority, row.account)
                    total = load.setdefault(key, OfferedLoad())
                    total.work += row.work_ms_per_s / 1000
                    total.requests += row.requests_per_100_s / 100
        return loads

    def _replace(self, admitted: Admitted, now: float) -> bool:
        """Put fractions into force if they differ notably; return whether they do."""
        if not _differ(self._admitted, admitted):
            return False
        if admitted and now - self._changed_at < VERSION_INTERVAL_S:
            return False
        self._changed_at = now
        self._admitted = admitted
        self._versions += 1
        self.version = self._versions if admitted else -1
        self._counters.increment("shedding.changed")
        return True


def _make_rows(
    fractions: dict[LoadKey, float], load: dict[LoadKey, OfferedLoad]
) -> AdmittedRows:
    """Return the rows of the largest loads that are cut."""
    cut = [key for key, fraction in fractions.items() if fraction < 0.995]
    cut.sort(key=lambda key: -load[key].work)
    return tuple(
        AdmittedRow(key.account, key.rank, key.priority, round(100 * fractions[key]))
        for key in sorted(cut[:MAX_ROWS])
    )


def _differ(before: Admitted, after: Admitted) -> bool:
    if before.keys() != after.keys():
        return True
    return any(_differ_in_rows(before[name], after[name]) for name in after)


def _differ_in_rows(before: AdmittedRows, after: AdmittedRows) -> bool:
    known = {(row.account, row.rank, row.priority): row.percent for row in before}
    percents = {(row.account, row.rank, row.priority): row.percent for row in after}
    return any(
        abs(known.get(key, 100) - percents.get(key, 100)) >= MIN_CHANGE_PERCENT
        for key in {*known, *percents}
    )


def _summarize(rows: AdmittedRows) -> dict[str, str]:
    """Return the range of the percents of each rank, for the log."""
    ranks: dict[str, list[int]] = {}
    for row in rows:
        ranks.setdefault(f"{row.rank}.{row.priority}", []).append(row.percent)
    return {rank: f"{min(found)}-{max(found)}" for rank, found in ranks.items()}
