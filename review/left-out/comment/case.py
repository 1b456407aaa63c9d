"""Clients take streams up again whose replicas send keep-alive comments."""

import asyncio
import os
import sys

sys.path.insert(0, __file__.rpartition("/review/")[0] + "/review/harness2")

from configuration import KEY, make_configuration, make_route
from replica import Replica
from web import Channel, read_head
from world import run_case

STREAMS, EVENTS, PAUSE_S = 16, 30, 0.1
COMMENT = b"" if os.environ.get("COMMENT") == "0" else b": keep-alive\n\n"


class Engine(Replica):
    """Answers with a stream, which begins with a comment as a sign of life."""

    async def work(self, request, writer, echo):
        """Answer a request that runs."""
        signed = [*echo, ("Tarragonway-Server-Signature", "3e1b.07")]
        await writer.start_stream(signed)
        if COMMENT:
            await writer.chunk(COMMENT)
        first = int(request.get("last-event-id") or "0") + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(PAUSE_S)
            await writer.chunk(f"id: {number}\ndata: token\n\n".encode())
        await writer.end_stream()


class Stream:
    """A client's stream over its attempts."""

    def __init__(self, world, name):
        self._world, self._name = world, name
        self.ids, self.status, self.whole = [], None, False

    async def ask(self, gateway, number):
        """Send one attempt and read its events until the end of the channel."""
        attempt = f"{self._name}-{number}"
        headers = [
            ("Host", "ficu95.example"),
            ("Tarragonway-Attempt-Id", attempt),
            ("Tarragonway-Deadline-Ms", "15000"),
            ("Tarragonway-Model", "m"),
            ("Tarragonway-Token-Usage", "1460,80"),
            ("Authorization", f"Bearer {KEY}"),
        ]
        if self.ids:
            headers.append(("Last-Event-Id", str(self.ids[-1])))
            headers.append(("Resumes", f"{self._name}-1"))
        before = len(self.ids)
        try:
            channel = await Channel.open(self._world.caller_address(gateway))
            channel.send("POST", f"/lohu930/{self._name}", headers)
            await self._read(channel.reader)
            channel.close()
        except (OSError, asyncio.IncompleteReadError):
            pass
        self._world.record.note(
            f"{attempt} at gateway-{gateway}: {self.status}, "
            f"{len(self.ids) - before} events up to {self.ids[-1:]}, whole {self.whole}"
        )

    async def _read(self, reader):
        self.status, self.whole = None, False
        head = await read_head(reader)
        if head is None:
            return
        self.status = int(head[0].split(" ")[1])
        if self.status != 200:
            return
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = (await reader.readexactly(size + 2))[:size]
            lines = data.split(b"\n")
            self.ids += [int(x[4:]) for x in lines if x.startswith(b"id: ")]
            if not size:
                self.whole = True
                return


async def case(world, trouble):
    """Play the case; return the lines that break the rule."""
    for number in range(1, 5):
        await Engine(world, number, work_s=0).start()
    configuration = make_configuration(1)
    configuration["routes"].append(
        make_route("draft", "/lohu930/", "streaming", timeout_ms=15000, slo_ms=1200,
                   max_attempts=2, sticky=True, resumable=True)
    )  # fmt: skip
    await world.start(configuration)
    await asyncio.sleep(3.0)
    streams = [Stream(world, f"s{n}") for n in range(STREAMS)]
    tasks = [asyncio.create_task(stream.ask(1, 1)) for stream in streams]
    await asyncio.sleep(1.5)
    if trouble:
        await world.gateways[1].kill()
    await asyncio.gather(*tasks)
    broken_off = [stream for stream in streams if stream.ids and not stream.whole]
    new = [Stream(world, f"n{n}") for n in range(STREAMS)]
    counts = [len(stream.ids) for stream in broken_off]
    await asyncio.gather(
        *(stream.ask(2, 2) for stream in broken_off),
        *(stream.ask(2, 1) for stream in new),
    )
    went_on = sum(len(s.ids) > c for s, c in zip(broken_off, counts, strict=True))
    began = sum(bool(stream.ids) for stream in new)
    world.record.note(
        f"{went_on} of {len(broken_off)} went on, {began} of {STREAMS} began"
    )
    if len(broken_off) >= 12 and went_on / len(broken_off) < 0.5 * began / STREAMS:
        return [
            f"{went_on} of {len(broken_off)} streams that were taken up went on, while "
            f"{began} of {STREAMS} new ones began"
        ]
    return []


run_case(__file__.rpartition("/")[0], case, gateways=2)
