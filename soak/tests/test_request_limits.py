"""Endpoints that state how many requests a second they take, on the real programs."""

import asyncio

import aiohttp
import pytest

from soak.clients import Operator
from soak.deployment import Deployment, reserve_base_port
from soak.tests.test_crashing_parts import Traffic, compute_served_fraction

# The users' ``contact_ms`` of a small deployment, and their bound on a limit: in any
# window, one and a half times what the limit allows, and five requests.
CONTACT_S = 3.0
WINDOW_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
LIMIT_PER_S = 1.0
LIMITED_S = 14.0
MODEL_ENDPOINTS = 5


def count_most_arrivals(arrived_at, start, end):
    """Return the largest number of arrivals in any window between start and end."""
    times = [time for time in arrived_at if start <= time < end]
    return max(
        (sum(first <= time < first + WINDOW_S for time in times) for first in times),
        default=0,
    )


@pytest.mark.timeout(90)
# Guards against gateways that together send an endpoint more than the limit it states.
async def test_endpoints_get_no_more_requests_than_they_state(tmp_path):
    port = reserve_base_port()
    deployment = Deployment(tmp_path, port, 1, {"plain": 1, "model": MODEL_ENDPOINTS})
    loop = asyncio.get_running_loop()
    await deployment.start()
    try:
        async with asyncio.timeout(20.0):
            await Operator(deployment, 1).replace_configuration(0)
        engines = [e for e in deployment.endpoints if e.service == "model"]
        limited = engines[: MODEL_ENDPOINTS - 1]
        async with aiohttp.ClientSession() as session:
            traffic = Traffic(deployment, session)
            sending = asyncio.create_task(
                traffic.send_periodically("sound", "aa:500,bb:200", 0.02)
            )
            await asyncio.sleep(4.0)
            for engine in limited:
                engine.request_limit = str(LIMIT_PER_S)
            limited_from = loop.time()
            await asyncio.sleep(LIMITED_S)
            limited_to = loop.time()
            for engine in limited:
                engine.request_limit = ""
            await asyncio.sleep(6.0)
            ended = loop.time()
            sending.cancel()
            await asyncio.wait([sending])
    finally:
        await deployment.stop()
    allowed = TOLERATED_FACTOR * LIMIT_PER_S * WINDOW_S + TOLERATED_REQUESTS
    for engine in limited:
        bound_from = limited_from + CONTACT_S
        most = count_most_arrivals(engine.arrived_at, bound_from, limited_to)
        assert most <= allowed
    assert compute_served_fraction(traffic.served, limited_from, ended - 1.0) >= 0.9
    # The limit ends once an answer no longer states it.
    for engine in limited:
        last_arrivals = [at for at in engine.arrived_at if at > ended - WINDOW_S]
        assert len(last_arrivals) > allowed
