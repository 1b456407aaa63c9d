"""Endpoints that leave, pause or refuse at once, with the real programs."""

import asyncio
import time

import pytest

from soak.clients import API_KEY, Operator
from soak.deployment import Deployment, reserve_base_port
from tarragonway.platform import names

CLIENTS = 10
LOAD_S = 8.0
PAUSE_S = 5.0
# The users' ``drain_ms``, which is the default of the settings.
DRAIN_S = 3.0
MIN_SERVED = 0.97
MAX_REQUESTS_IN_PAUSE = 2


async def send_requests(address, until, statuses):
    """Send requests of a safe route one after the other on kept connections."""
    host, _, port = address.rpartition(":")
    number = 0
    while time.monotonic() < until:
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            while time.monotonic() < until:
                number += 1
                lines = [
                    f"GET /read/{number} HTTP/1.1",
                    "Host: soak",
                    f"{names.ATTEMPT.decode()}: {id(writer):x}-{number}",
                    f"{names.DEADLINE.decode()}: 2000",
                    f"Authorization: Bearer {API_KEY}",
                ]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = int(head.split(b"content-length:")[1].split()[0])
                await reader.readexactly(length)
                statuses.append(int(head.split()[1]))
                await asyncio.sleep(0.02)
        except (OSError, asyncio.IncompleteReadError):
            statuses.append(0)
        finally:
            writer.close()


async def run_load(tmp_path, change):
    """Load two gateways, and change two of four endpoints after two seconds.

    Returns
    -------
    tuple
        The statuses that callers got, the deployment, and the time of the change.
    """
    port = reserve_base_port()
    deployment = Deployment(tmp_path, port, 1, {"plain": 4, "model": 1})
    statuses = []
    await deployment.start()
    try:
        async with asyncio.timeout(20.0):
            await Operator(deployment, 1).replace_configuration(1)
        await asyncio.sleep(4.0)
        until = time.monotonic() + LOAD_S
        load = [
            asyncio.create_task(
                send_requests(deployment.client_addresses[n % 2], until, statuses)
            )
            for n in range(CLIENTS)
        ]
        await asyncio.sleep(2.0)
        changed_at = asyncio.get_running_loop().time()
        for endpoint in deployment.endpoints[:2]:
            change(endpoint)
        await asyncio.gather(*load)
    finally:
        await deployment.stop()
    return statuses, deployment, changed_at


def compute_served(statuses):
    return sum(status == 200 for status in statuses) / len(statuses)


@pytest.mark.timeout(60)
# Guards against requests to endpoints that leave, which the list never shows.
async def test_leaving_endpoints_get_nothing_after_the_drain_time(tmp_path):
    def leave(endpoint):
        endpoint.leaving = True

    statuses, deployment, changed_at = await run_load(tmp_path, leave)
    for endpoint in deployment.endpoints[:2]:
        late = [at for at in endpoint.arrived_at if at > changed_at + DRAIN_S]
        assert not late
    assert compute_served(statuses) >= MIN_SERVED


@pytest.mark.timeout(60)
# Guards against requests to endpoints that want a pause, and against refusals while
# others have room.
async def test_paused_endpoints_are_spared_and_callers_served(tmp_path):
    def pause(endpoint):
        endpoint.pause_s = str(PAUSE_S)

    statuses, deployment, changed_at = await run_load(tmp_path, pause)
    for endpoint in deployment.endpoints[:2]:
        arrived = [at for at in endpoint.arrived_at if at > changed_at]
        window = [at for at in arrived if 0.5 < at - arrived[0] < PAUSE_S]
        assert len(window) <= MAX_REQUESTS_IN_PAUSE * 2
    assert compute_served(statuses) >= MIN_SERVED


@pytest.mark.timeout(60)
# Guards against an endpoint that refuses at once, looks idle and draws the load.
async def test_endpoints_that_refuse_at_once_do_not_draw_the_load(tmp_path):
    def refuse(endpoint):
        endpoint.failure_probability = 3.0

    statuses, _, _ = await run_load(tmp_path, refuse)
    assert compute_served(statuses) >= MIN_SERVED
