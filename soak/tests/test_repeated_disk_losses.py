"""Coordinators that lose their disks again and again while they return."""

import asyncio
import contextlib
import itertools
import random
import signal

import pytest

from soak.clients import Client, Operator
from soak.deployment import Deployment, reserve_base_port

# Line that a coordinator logs once the group has sent it a first message.
ADMITTED = "member admitted to the group"
POLL_INTERVAL_S = 0.002
RETRY_INTERVAL_S = 0.1
# Times from its admission to the next loss; it takes part as a voter within 0.2 s.
LOSS_DELAYS_S = (0.0, 0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.12)
DOWN_S = 0.2
# Times of losses at drawn moments, and how often a machine loses its disk in a row.
DRAWN_DOWN_S = (0.1, 1.0)
DRAWN_DELAY_S = (0.0, 1.3)
MAX_LOSSES = 10
# Within this time a change is acknowledged while at most one disk is lost.
ACKNOWLEDGEMENT_TIMEOUT_S = 4.0
# Time within which a member that is back takes part, and the group serves again.
CATCH_UP_S = 4.0
RECOVERY_S = 12.0


async def lose_disk(deployment, process, down_s=DOWN_S):
    process.send(signal.SIGKILL)
    await process.wait(1.0)
    deployment.delete_data(process)
    await asyncio.sleep(down_s)
    await process.start()


async def await_admission(log, number):
    """Return whether a process logs its admission number ``number`` in time."""
    for _ in range(int(CATCH_UP_S / POLL_INTERVAL_S)):
        if log.read_text(encoding="utf-8").count(ADMITTED) >= number:
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
    return False


async def read_version(operator):
    """Return the version that the operator reads in time, or None."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RECOVERY_S):
            while (version := await operator.read_configuration()) is None:
                await asyncio.sleep(RETRY_INTERVAL_S)
            return version
    return None


async def serve_one(deployment):
    """Return whether a gateway that starts now serves a request in time."""
    gateway = deployment.gateways[0]
    gateway.send(signal.SIGKILL)
    await gateway.wait(1.0)
    await gateway.start()
    records = []
    client = asyncio.create_task(Client(deployment, 0, records).run())
    for _ in range(int(RECOVERY_S / RETRY_INTERVAL_S)):
        await asyncio.sleep(RETRY_INTERVAL_S)
        if any(record.status == 200 and record.complete for record in records):
            break
    client.cancel()
    return any(record.status == 200 and record.complete for record in records)


# Guards against a group that has no leader for good, as the promotion of a returning
# member can be committed only by that member, whose disk is lost again.
@pytest.mark.timeout(120)
async def test_configuration_outlives_repeated_losses_of_one_disk(tmp_path):
    deployment = Deployment(tmp_path, reserve_base_port(), 1)
    operator = Operator(deployment, 1)
    victim = deployment.coordinators[0]
    log = tmp_path / f"{victim.name}.log"
    await deployment.start()
    try:
        async with asyncio.timeout(RECOVERY_S):
            await operator.replace_configuration(1)
        deployment.disable_bootstrap()
        for number, delay_s in enumerate(LOSS_DELAYS_S, 1):
            await lose_disk(deployment, victim)
            if not await await_admission(log, number):
                break
            await asyncio.sleep(delay_s)
        await lose_disk(deployment, victim)
        await asyncio.sleep(CATCH_UP_S)
        assert await read_version(operator) == 1
        async with asyncio.timeout(RECOVERY_S):
            await operator.replace_configuration(2)
        assert await serve_one(deployment)
        # The member takes part again, as the group bears the loss of another disk.
        await lose_disk(deployment, deployment.coordinators[1])
        async with asyncio.timeout(RECOVERY_S):
            await operator.replace_configuration(3)
        assert await read_version(operator) == 3
    finally:
        await deployment.stop()
    assert not operator.violations


async def change_forever(operator, delays_s):
    """Replace the configuration again and again; record how long each took."""
    loop = asyncio.get_running_loop()
    for version in itertools.count(operator.acknowledged_version + 1):
        started = loop.time()
        await operator.replace_configuration(version)
        delays_s.append(loop.time() - started)
        await asyncio.sleep(RETRY_INTERVAL_S)


# Guards against the same fault at moments that nothing aims at, at every machine. Of
# seeds 1 to 6, seed 3 was the first one that ended the group.
@pytest.mark.timeout(240)
@pytest.mark.parametrize("seed", [3])
async def test_changes_are_acknowledged_while_disks_are_lost_in_turn(tmp_path, seed):
    source = random.Random(seed)
    deployment = Deployment(tmp_path, reserve_base_port(), seed)
    order = source.sample(deployment.coordinators, 3)
    operator, delays_s = Operator(deployment, seed), []
    await deployment.start()
    try:
        async with asyncio.timeout(RECOVERY_S):
            await operator.replace_configuration(1)
        deployment.disable_bootstrap()
        changes = asyncio.create_task(change_forever(operator, delays_s))
        for process in order:
            for _ in range(source.randint(2, MAX_LOSSES)):
                await lose_disk(deployment, process, source.uniform(*DRAWN_DOWN_S))
                await asyncio.sleep(source.uniform(*DRAWN_DELAY_S))
            # A machine counts as lost until it has been back for this time.
            await asyncio.sleep(CATCH_UP_S)
            done = len(delays_s)
            await asyncio.sleep(ACKNOWLEDGEMENT_TIMEOUT_S)
            assert len(delays_s) > done, f"no change is acknowledged; {process.name}"
        changes.cancel()
        assert await read_version(operator) >= operator.acknowledged_version
    finally:
        await deployment.stop()
    assert max(delays_s) <= ACKNOWLEDGEMENT_TIMEOUT_S
    assert not operator.violations
