"""Requests that share a part which crashes engines, played on the real programs."""

import asyncio
import itertools

import aiohttp
import pytest

from soak.clients import API_KEY, Operator
from soak.deployment import Deployment, reserve_base_port
from tarragonway.platform import names

# The users' ``contact_ms`` of a small deployment.
CONTACT_S = 3.0
RUN_S = 16.0
MAX_LATE_SENDS = 3
CRASHES_UNTIL_BOUND = 5
MODEL_ENDPOINTS = 6


class Traffic:
    """Sound and harmful requests to all gateways in turn."""

    def __init__(self, deployment, session):
        self.deployment = deployment
        self.session = session
        self.served = []
        self.numbers = itertools.count()

    async def send(self, kind, parts):
        number = next(self.numbers)
        address = self.deployment.client_addresses[number % 3]
        attempt = f"{kind}-{number}"
        headers = {
            "Host": "soak",
            names.ATTEMPT.decode(): attempt,
            names.DEADLINE.decode(): "3000",
            names.PROMPT_TOKENS.decode(): "800,20",
            names.PROMPT_PARTS.decode(): f"{parts},{number:x}:10",
            "Authorization": f"Bearer {API_KEY}",
        }
        sent_at = asyncio.get_running_loop().time()
        url = f"http://{address}/stream/{attempt}"
        try:
            async with self.session.post(url, headers=headers, data=attempt) as answer:
                body = await answer.read()
                is_served = answer.status == 200 and b"id: 12" in body
        except aiohttp.ClientError:
            is_served = False
        if kind == "sound":
            self.served.append((sent_at, is_served))

    async def send_periodically(self, kind, parts, interval_s):
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self.send(kind, parts))
                await asyncio.sleep(interval_s)


def compute_served_fraction(served, start, end):
    outcomes = [is_served for sent_at, is_served in served if start <= sent_at < end]
    assert len(outcomes) >= 20
    return sum(outcomes) / len(outcomes)


@pytest.mark.timeout(90)
# Guards against requests of one kind that crash one engine after the other, before the
# first event of an answer or after some.
@pytest.mark.parametrize("events", [0, 1, 3, 10])
async def test_part_that_crashes_engines_is_contained(tmp_path, events):
    port = reserve_base_port()
    deployment = Deployment(tmp_path, port, 1, {"plain": 1, "model": MODEL_ENDPOINTS})
    loop = asyncio.get_running_loop()
    await deployment.start()
    try:
        async with asyncio.timeout(20.0):
            await Operator(deployment, 1).replace_configuration(0)
        engines = [e for e in deployment.endpoints if e.service == "model"]
        sends = []
        async with aiohttp.ClientSession() as session:
            traffic = Traffic(deployment, session)
            sound = asyncio.create_task(
                traffic.send_periodically("sound", "aa:500,bb:200", 0.05)
            )
            await asyncio.sleep(4.0)
            for engine in engines:
                engine.harmful_part, engine.harmful_events = "dd", events
                engine.on_harmful = lambda: sends.append(loop.time())
            started = loop.time()
            harmful = asyncio.create_task(
                traffic.send_periodically("harmful", "aa:500,bb:200,dd:90", 0.2)
            )
            await asyncio.sleep(RUN_S)
            ended = loop.time()
            for task in (sound, harmful):
                task.cancel()
            await asyncio.wait([sound, harmful])
    finally:
        await deployment.stop()
    crashes = sorted(time for engine in engines for time in engine.crashed_at)
    assert crashes
    bound_from = crashes[:CRASHES_UNTIL_BOUND][-1]
    if len(crashes) >= CRASHES_UNTIL_BOUND:
        late_sends = [time for time in sends if time > bound_from + CONTACT_S]
        assert len(late_sends) <= MAX_LATE_SENDS
    before = compute_served_fraction(traffic.served, started - 3.0, started)
    after = compute_served_fraction(
        traffic.served, bound_from + 2 * CONTACT_S, ended - 1.0
    )
    assert after >= before / 2
