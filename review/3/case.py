"""Streams that a new software version began go on at the old one."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from harness import CannotRun, Case, run
from model import Replica, StreamClient, make_config

FREEZE_S = 7.0
# For so long a crashed replica stays on the list.
LISTED_AFTER_CRASH_S = 2.0
EVENTS, PAUSE_S = 40, 0.1
BEGUN_BEFORE_CRASH = 8


async def send_streams(case: Case, clients: list[StreamClient], until: float) -> None:
    """Start a client's stream every 25 ms."""
    fronts = [machine.address(2) for machine in case.edge]
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < until:
            clients.append(StreamClient(case, fronts))
            group.create_task(clients[-1].run())
            await asyncio.sleep(0.025)


async def crash_after_first_streams(case: Case, new: Replica, until: float) -> None:
    """Lose the replica for good as soon as some streams have begun there."""
    while new.begun < BEGUN_BEFORE_CRASH and time.monotonic() < until:
        await asyncio.sleep(0.01)
    new.crash()
    await asyncio.sleep(LISTED_AFTER_CRASH_S)
    case.record(f"the list shows {new.id} no more")
    case.platform.entries.remove(new.entry)


async def play(case: Case) -> bool:
    """Add a replica of a new version while the core is frozen, and lose it again."""
    say = case.record
    old = [Replica(case, n, "v1", EVENTS, PAUSE_S) for n in range(1, 6)]
    new = Replica(case, 6, "v2", EVENTS, PAUSE_S)
    for replica in (*old, new):
        await replica.start()
    case.platform.entries = [replica.entry for replica in old]
    await case.start([*case.core, *case.edge])
    await asyncio.sleep(3.0)
    if await case.operator.replace(make_config(7), 10.0) != 200:
        raise CannotRun("the first configuration was not acknowledged")
    await asyncio.sleep(4.0)

    clients: list[StreamClient] = []
    now = time.monotonic()
    traffic = asyncio.create_task(send_streams(case, clients, now + 12.0))
    await asyncio.sleep(2.0)
    if case.trouble:
        say(f"the core machines freeze for {FREEZE_S} s")
        for machine in case.core:
            machine.send(signal.SIGSTOP)
    await asyncio.sleep(0.3)
    say(f"the list shows a new replica {new.id} of version v2")
    case.platform.entries.append(new.entry)
    crash = asyncio.create_task(crash_after_first_streams(case, new, now + 6.0))
    await asyncio.sleep(FREEZE_S - 0.3)
    if case.trouble:
        for machine in case.core:
            machine.send(signal.SIGCONT)
    await crash
    await traffic
    if not new.begun:
        raise CannotRun("no stream began at the new version")
    mixed = [client for client in clients if len(client.versions) > 1]
    for client in mixed:
        say(f"client {client.id}: {client.describe()}")
    say(f"{len(clients)} streams, {new.begun} begun at v2, {len(mixed)} mixed")
    return len(mixed) <= 2


if __name__ == "__main__":
    run(__file__, 3, 4, play)
