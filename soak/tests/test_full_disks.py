"""Disks of the real coordinators that are full one after another."""

import asyncio
import random
import signal

import pytest

from soak.clients import Operator
from soak.deployment import Deployment, reserve_base_port

# Time within which a change is acknowledged, also while one disk is full.
ACKNOWLEDGEMENT_TIMEOUT_S = 4.0
FULL_S = 2.5
PAUSE_S = 0.7
# Time within which a member that has started takes part again.
CATCH_UP_S = 4.0


async def change_forever(operator, delays_s):
    """Replace the configuration again and again; record how long each took."""
    loop = asyncio.get_running_loop()
    version = operator.acknowledged_version
    while True:
        version += 1
        started = loop.time()
        await operator.replace_configuration(version)
        delays_s.append(loop.time() - started)


async def restart(process, is_disk_full):
    process.send(signal.SIGKILL)
    await process.wait(1.0)
    await process.start()
    process.set_disk_full(is_disk_full)


# Guards against changes that are refused, or not answered, once disks have been full in
# turn, also during elections and when a process starts.
@pytest.mark.timeout(120)
@pytest.mark.parametrize("seed", [1, 2])
async def test_changes_are_acknowledged_while_and_after_disks_are_full(tmp_path, seed):
    deployment = Deployment(tmp_path, reserve_base_port(), seed)
    order = random.Random(seed).sample(deployment.coordinators, 3)
    operator, delays_s = Operator(deployment, seed), []
    await deployment.start()
    try:
        await operator.replace_configuration(1)
        deployment.disable_bootstrap()
        changes = asyncio.create_task(change_forever(operator, delays_s))
        for process in [*order, order[0]]:
            process.set_disk_full(True)
            await asyncio.sleep(FULL_S)
            process.set_disk_full(False)
            await asyncio.sleep(PAUSE_S)
        await restart(order[1], True)
        await asyncio.sleep(FULL_S)
        order[1].set_disk_full(False)
        await asyncio.sleep(CATCH_UP_S)
        # Without another member, the group needs the one that started on a full disk.
        await restart(order[2], True)
        done = len(delays_s)
        await asyncio.sleep(ACKNOWLEDGEMENT_TIMEOUT_S)
        running = [process.name for process in order if process.is_running]
        assert len(delays_s) > done, f"no change is acknowledged; running: {running}"
        changes.cancel()
        version = await operator.read_configuration()
        assert version is not None
        assert version >= operator.acknowledged_version
        processes = [*deployment.coordinators, *deployment.gateways]
        assert all(process.is_running for process in processes)
    finally:
        await deployment.stop()
    assert max(delays_s) <= ACKNOWLEDGEMENT_TIMEOUT_S
    assert not operator.violations
