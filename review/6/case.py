"""One machine with a disk loses it, and loses it again soon after it is back."""

import asyncio
import shutil
import sys
import time

sys.path.insert(0, __file__.rpartition("/review/")[0] + "/review/harness2")

from configuration import make_configuration
from replica import Replica
from web import Answer, fetch
from world import run_case

CATCH_UP_S = 4.0
RECOVERY_S = 12.0
DOWN_S = 0.5
# From the first answer of the returned process until its machine is lost again.
SECOND_LOSS_DELAY_S = 0.02


async def lose_disk(world, process):
    """End the process at once; it starts again with an empty data folder."""
    await process.kill()
    shutil.rmtree(world.folder / f"{process.name}.data", ignore_errors=True)
    world.record.note(f"the disk of {process.name} is lost")
    await asyncio.sleep(DOWN_S)
    await process.start()


async def await_first_redirect(world, number):
    """Return once the process names its leader to the operator."""
    calls = set()
    end = time.monotonic() + 10.0
    while time.monotonic() < end:
        address = world.operator_address(number)
        calls.add(asyncio.create_task(fetch(address, "GET", "/v1/Config.Read")))
        done, calls = await asyncio.wait(calls, timeout=0.01)
        answers = [task.result() for task in done]
        if any(isinstance(a, Answer) and a.status == 307 for a in answers):
            world.record.note(f"coordinator-{number} answers the operator with 307")
            break
    for call in calls:
        call.cancel()


async def case(world, trouble):
    """Play the case; return the lines that break the rule."""
    replica = Replica(world, 1)
    await replica.start()
    await world.start(make_configuration(1))
    await world.put(make_configuration(2))
    await asyncio.sleep(1.0)
    if trouble:
        process = world.coordinators[1]
        await lose_disk(world, process)
        await await_first_redirect(world, 1)
        await asyncio.sleep(SECOND_LOSS_DELAY_S)
        await lose_disk(world, process)
        world.record.note("from here on all three processes run, with all links up")
    await asyncio.sleep(CATCH_UP_S + RECOVERY_S)
    broken = []
    version = await world.read(20.0)
    if version is None:
        broken.append(
            "the acknowledged configuration doesn't come when it is read back"
        )
    elif version != 2:
        broken.append(f"version {version} was read back, version 2 was acknowledged")
    status = await world.put(make_configuration(3), 20.0)
    if status != 200:
        broken.append(f"a valid change is not acknowledged in 20 s (status {status})")
    return broken


run_case(__file__.rpartition("/")[0], case, gateways=1)
