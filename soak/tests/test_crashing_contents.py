"""One request that crashes endpoints, before and after losses of all processes."""

import asyncio
import itertools
import signal

import aiohttp
import pytest

from soak.clients import API_KEY, Operator
from soak.deployment import Deployment, reserve_base_port
from tarragonway.platform import names

# The users' ``contact_ms`` of a small deployment.
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
CRASHES_UNTIL_BOUND = 3
MODEL_ENDPOINTS = 6
SENDS = 24
SEND_INTERVAL_S = 0.25


async def send_repeatedly(session, addresses, numbers):
    """Send the same content with new attempts, to all gateways in turn."""
    for number in itertools.islice(numbers, SENDS):
        headers = {
            "Host": "soak",
            names.ATTEMPT.decode(): f"attempt-{number}",
            names.DEADLINE.decode(): "2000",
            # The last part of a prompt is not shared with other requests.
            names.PROMPT_TOKENS.decode(): "100,20",
            names.PROMPT_PARTS.decode(): "dd:100",
            "Authorization": f"Bearer {API_KEY}",
        }
        url = f"http://{addresses[number % len(addresses)]}/stream/harmful"
        try:
            async with session.post(url, headers=headers, data="harmful") as answer:
                await answer.read()
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(SEND_INTERVAL_S)


@pytest.mark.timeout(120)
# Guards against contents that crash endpoints again after all processes were lost.
async def test_quarantined_content_stays_so_after_a_kill_of_all(tmp_path):
    port = reserve_base_port()
    deployment = Deployment(tmp_path, port, 1, {"plain": 1, "model": MODEL_ENDPOINTS})
    loop = asyncio.get_running_loop()
    processes = [*deployment.coordinators, *deployment.gateways]
    engines = [e for e in deployment.endpoints if e.service == "model"]
    sends = []
    for engine in engines:
        engine.harmful_part = "dd"
        engine.on_harmful = lambda: sends.append(loop.time())
    numbers = itertools.count()
    addresses = deployment.client_addresses
    await deployment.start()
    try:
        async with asyncio.timeout(20.0):
            await Operator(deployment, 1).replace_configuration(0)
        await asyncio.sleep(2.0)
        async with aiohttp.ClientSession() as session:
            await send_repeatedly(session, addresses, numbers)
            for _ in range(2):
                for process in processes:
                    process.send(signal.SIGKILL)
                for process in processes:
                    await process.wait(5.0)
                    await process.start()
                await asyncio.sleep(CONTACT_S)
                await send_repeatedly(session, addresses, numbers)
    finally:
        await deployment.stop()
    crashes = sorted(time for engine in engines for time in engine.crashed_at)
    assert len(crashes) >= CRASHES_UNTIL_BOUND
    bound_from = crashes[CRASHES_UNTIL_BOUND - 1] + CONTACT_S
    assert sum(time > bound_from for time in sends) <= MAX_LATE_SENDS
