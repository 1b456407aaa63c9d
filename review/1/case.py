"""A voter that was frozen while a core machine was replaced never comes back."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from harness import CONTROL, CORE_NET, CannotRun, Case, run
from plain import make_config

FREEZE_S = 5.0
CATCH_UP_S = 4.0
RECOVERY_S = 12.0
GRACE_S = 8.0


async def play(case: Case) -> bool:
    """Replace a core machine as planned; meanwhile another one freezes."""
    say, operator = case.record, case.operator
    await case.start(case.core)
    await asyncio.sleep(3.0)
    if await operator.replace(make_config(7, "safe", 2), 10.0) != 200:
        raise CannotRun("the first configuration was not acknowledged")
    leader = case.find_core(operator.leader)
    leaving, frozen = (m for m in case.core if m is not leader)

    say("planned work: the new core machine starts, before the old one is stopped")
    new = case.add("coordinator", CORE_NET, 4)
    await new.start()
    case.core.append(new)
    operator.nodes.append(new.address(CONTROL))
    await asyncio.sleep(CATCH_UP_S + 2.0)

    say(f"the core follower {frozen.name} freezes for {FREEZE_S} s")
    if case.trouble:
        frozen.send(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    if case.trouble:
        frozen.send(signal.SIGCONT)
    await asyncio.sleep(CATCH_UP_S + 2.0)

    say(f"planned work: the old core machine {leaving.name} is stopped for good")
    operator.nodes.remove(leaving.address(CONTROL))
    await leaving.terminate()
    await asyncio.sleep(GRACE_S + CATCH_UP_S + 1.0)

    if await operator.replace(make_config(9, "safe", 2), 10.0) != 200:
        say("version 9 was not acknowledged")
        raise CannotRun("no acknowledgement before the disk was lost")
    say("version 9 is acknowledged")
    wiped = case.find_core(operator.leader)
    await wiped.kill()
    wiped.lose_disk()
    await asyncio.sleep(1.0)
    await wiped.start()
    await asyncio.sleep(CATCH_UP_S + RECOVERY_S)

    version = await operator.read(12.0)
    say(f"read back at the end: version {version}")
    return version is not None and version >= 9


if __name__ == "__main__":
    run(__file__, 3, 0, play)
