"""State dump of a coordinator."""

from collections.abc import Iterable
from typing import Any

from tarragonway.coordinator.gateways import GatewayReports
from tarragonway.coordinator.machine import CoordinatorMachine
from tarragonway.core.counters import Counters
from tarragonway.core.ids import ProcessName
from tarragonway.replication import LogDriver
from tarragonway.replication.membership_reports import make_membership_dump


def make_state_dump(
    name: str,
    driver: LogDriver,
    machine: CoordinatorMachine,
    gateways: Iterable[ProcessName],
    gateway_reports: GatewayReports,
    counters: Counters,
) -> dict[str, Any]:
    """Return a coordinator's state for the state dump."""
    replica = driver.replica
    return {
        "process": name,
        "member": replica.own_id,
        "role": replica.role.value,
        "term": replica.term,
        "leader": replica.leader,
        "commit": replica.commit,
        "applied": driver.applied,
        "disk_refusal_s": driver.disk_refusal_s,
        **make_membership_dump(replica),
        "revision": machine.revision,
        "windows": sorted(machine.usage)[-4:],
        "gateways": list(gateways),
        "held_parts": machine.held,
        "held_contents": machine.held_contents,
        "versions": machine.versions,
        "rollouts": machine.rollouts.rollouts,
        "request_limits": gateway_reports.limits.stated,
        "counters": counters.snapshot(),
    }
