"""Stand-in for a replica of a plain service."""

import asyncio
import time

from web import WebServer

ATTEMPT = "tarragonway-attempt-id"
SLOTS = 64


class Replica:
    """Runs each request once for ``work_s`` and records it.

    ``runs`` holds the time, the attempt, the target, the headers and the length of the
    body of each request that began to run.
    """

    def __init__(
        self, world, number, service="wuno96b", work_s=0.03, version="v1", host=None
    ):
        self.id, self.service, self.version = f"i-{service}-{number}", service, version
        self.address = world.at(world.host("replica", host or number), 5)
        self.work_s, self.runs, self.running = work_s, [], 0
        self._record = world.record
        self._server = WebServer(self._handle)
        self.state = "ready"
        self.born = int(time.time() * 1000)
        world.platform.rows[self.id] = self.make_row()
        world.closers.append(self.close)

    def make_row(self):
        """Return the entry of the platform's list."""
        return {
            "id": self.id, "service": self.service, "address": self.address,
            "zone": "z1", "version": self.version, "slots": SLOTS, "state": self.state,
            "cold_left_ms": 0, "born": self.born,
        }  # fmt: skip

    async def start(self):
        """Start it."""
        await self._server.listen(self.address)

    def close(self):
        """Close it."""
        self._server.close()

    @property
    def channels(self):
        """Open channels of callers."""
        return self._server.channels

    async def _handle(self, request, writer):
        attempt = request.get(ATTEMPT) or ""
        echo = [("Tarragonway-Attempt-Id", attempt)]
        if request.get("tarragonway-expected-instance") not in (None, self.id):
            await writer.answer(421, echo)
            return
        if request.target == "/healthz":
            await writer.answer(200, [("Tarragonway-Instance-Id", self.id)])
            return
        run = (
            time.monotonic(),
            attempt,
            request.target,
            dict(request.headers),
            len(request.body),
        )
        self.runs.append(run)
        self._record.note(f"{self.id} runs {attempt} {request.target}")
        self.running += 1
        try:
            await self.work(request, writer, echo)
        finally:
            self.running -= 1

    async def work(self, request, writer, echo):
        """Answer a request that runs."""
        await asyncio.sleep(self.work_s)
        signed = [
            *echo,
            ("Tarragonway-Server-Signature", "3e1b.07"),
            ("Tarragonway-Server-Load", f"{self.running},0,{SLOTS}"),
        ]
        await writer.answer(200, signed, b"done " + echo[0][1].encode())
