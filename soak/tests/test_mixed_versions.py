"""Streams over two software versions and a kill of all gateways, on real programs.

In one of the two cases, all coordinators are killed at the same moment.
"""

import asyncio
import collections
import signal

import aiohttp
import pytest

from soak.clients import API_KEY, Operator
from soak.deployment import Deployment, reserve_base_port
from tarragonway.platform import names

STREAMS = 24
EVENT_INTERVAL_S = 0.15
# Events that each caller waits for before the gateways are killed.
EVENTS_BEFORE_KILL = 3
RETRY_TIMEOUT_S = 6.0


class Stream:
    """A stream that one caller reads and takes up until it is complete."""

    def __init__(self, number):
        self.attempt = f"stream-{number}"
        self.number = number
        self.tries = 0
        self.first_attempt = ""
        self.versions = []
        self.last_id = 0
        self.complete = False

    async def read(self, session, address):
        """Read events from one gateway until the answer ends or breaks off."""
        self.tries += 1
        attempt = f"{self.attempt}-{self.tries}"
        headers = {
            "Host": "soak",
            names.ATTEMPT.decode(): attempt,
            names.DEADLINE.decode(): "3000",
            "Authorization": f"Bearer {API_KEY}",
        }
        if self.last_id:
            headers[names.LAST_EVENT_ID.decode()] = str(self.last_id)
            headers[names.RESUMED_ATTEMPT.decode()] = self.first_attempt
        url = f"http://{address}/stream/{self.attempt}"
        try:
            async with session.post(url, headers=headers) as answer:
                if answer.status != 200:
                    return
                async for line in answer.content:
                    self._record(line.decode().strip(), attempt)
                self.complete = True
        except aiohttp.ClientError:
            return

    def _record(self, line, attempt):
        name, _, value = line.partition(": ")
        if name == "id":
            self.first_attempt = self.first_attempt or attempt
            self.last_id = int(value)
        elif name == "data":
            self.versions.append(value)


async def take_up(stream, session, addresses):
    for number in range(20):
        if stream.complete:
            return
        await stream.read(session, addresses[(stream.number + number) % len(addresses)])
        await asyncio.sleep(0.2)


@pytest.mark.timeout(90)
@pytest.mark.parametrize("are_coordinators_killed", [False, True])
# Guards against streams joined from two software versions after a kill of all gateways,
# and against refusals of streams whose records only the killed processes had.
async def test_streams_go_on_at_their_version_after_a_kill_of_all_gateways(
    tmp_path, are_coordinators_killed
):
    port = reserve_base_port()
    deployment = Deployment(tmp_path, port, 1, {"plain": 1, "model": 4})
    engines = [e for e in deployment.endpoints if e.service == "model"]
    for number, engine in enumerate(engines):
        engine.version = f"v{number % 2 + 1}"
        engine.event_interval_s = EVENT_INTERVAL_S
    streams = [Stream(number) for number in range(STREAMS)]
    addresses = deployment.client_addresses
    await deployment.start()
    try:
        async with asyncio.timeout(20.0):
            await Operator(deployment, 1).replace_configuration(0)
        await asyncio.sleep(4.0)
        async with aiohttp.ClientSession() as session:
            reads = [
                asyncio.create_task(s.read(session, addresses[s.number % 3]))
                for s in streams
            ]
            async with asyncio.timeout(5.0):
                while any(s.last_id < EVENTS_BEFORE_KILL for s in streams):
                    await asyncio.sleep(0.05)
            killed = list(deployment.gateways)
            if are_coordinators_killed:
                killed = [*deployment.coordinators, *killed]
            for process in killed:
                process.send(signal.SIGKILL)
            await asyncio.wait(reads)
            for process in killed:
                await process.wait(5.0)
                await process.start()
            async with asyncio.timeout(RETRY_TIMEOUT_S):
                await asyncio.gather(*(take_up(s, session, addresses) for s in streams))
    finally:
        await deployment.stop()
    mixed = {s.attempt: s.versions for s in streams if len(set(s.versions)) > 1}
    assert not mixed
    begun = collections.Counter(s.versions[0] for s in streams)
    assert len(begun) == 2
    assert sum(s.complete for s in streams) >= STREAMS / 2
