"""Measures CPU time and traffic of a deployment that receives no requests."""

import asyncio
import os
import pathlib
import tempfile

import msgspec

from bench.measurements import Slope, fit_slope
from standins.deployment import Deployment

ENTRY_COUNTS = (4, 8, 16)
QUICK_ENTRY_COUNTS = (2, 4, 8)
CONTROL_COUNT = 3
STARTUP_DELAY_S = 1.0


class ResourceUse(msgspec.Struct):
    """Average use of a process: CPU in percent of a core, bytes sent per second."""

    core_percent: float
    sent_bytes: float


def measure_idle(seed: int, quick: bool) -> list[Slope]:
    """Measure the use by each role, by the number of entry processes."""
    window_s = 2.0 if quick else 10.0
    counts = QUICK_ENTRY_COUNTS if quick else ENTRY_COUNTS
    uses = [asyncio.run(_measure_roles(count, window_s)) for count in counts]
    slopes = []
    for role in ("leader", "follower", "entry"):
        for field, unit in (("core_percent", "%"), ("sent_bytes", "B/s")):
            costs = [getattr(use[role], field) for use in uses]
            title = f"{role}: {field.replace('_', ' ')} an entry process"
            slopes.append(fit_slope("idle", title, unit, counts, costs))
    return slopes


async def _measure_roles(entries: int, window_s: float) -> dict[str, ResourceUse]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="tarragonway-bench-"))
    deployment = Deployment("vardveislusjodur", folder, CONTROL_COUNT, entries)
    try:
        await deployment.start()
        leader = await deployment.find_leader()
        await asyncio.sleep(STARTUP_DELAY_S)
        before = await _read_totals(deployment)
        await asyncio.sleep(window_s)
        after = await _read_totals(deployment)
    finally:
        deployment.stop()
    roles: dict[str, list[ResourceUse]] = {"leader": [], "follower": [], "entry": []}
    for name, (cpu_s, sent) in after.items():
        use = ResourceUse(
            100 * (cpu_s - before[name][0]) / window_s,
            (sent - before[name][1]) / window_s,
        )
        kind = "entry" if name.startswith("entry") else "follower"
        roles["leader" if name == leader else kind].append(use)
    return {role: _average(uses) for role, uses in roles.items()}


def read_cpu_s(deployment: Deployment, name: str) -> float:
    """Return the CPU time that a process has used, in seconds."""
    pid = deployment.processes[name].pid
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    parts = fields.split()
    return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")


async def _read_totals(deployment: Deployment) -> dict[str, tuple[float, float]]:
    result = {}
    for peer in [*deployment.cluster.control, *deployment.cluster.entry]:
        dump = await deployment.read_dump(peer.name)
        cpu_s = read_cpu_s(deployment, peer.name)
        sent = dump.get("counters", {}).get("mailbox.sent_bytes", 0)
        result[peer.name] = (cpu_s, float(sent))
    return result


def _average(uses: list[ResourceUse]) -> ResourceUse:
    return ResourceUse(
        sum(use.core_percent for use in uses) / len(uses),
        sum(use.sent_bytes for use in uses) / len(uses),
    )
