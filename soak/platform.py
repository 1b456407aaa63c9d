"""Stand-ins for the platform and the endpoints, with what they see written down."""

import asyncio
import random

import msgspec

from tarragonway.http1 import HttpServer, Request, ResponseWriter
from tarragonway.platform import names
from tarragonway.routes import ConnectionLimits

SIGNED = (names.SIGNATURE, b"soak")
EVENT_PAUSE_S = 0.02
EVENTS = 12
WORK_S = 0.02


class Run(msgspec.Struct):
    """One request that an endpoint began to work on."""

    attempt: str
    endpoint: str
    path: str


class Ledger:
    """Everything that endpoints and the platform have seen."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.reports: dict[int, dict[str, int]] = {}
        self.fences: list[tuple[str, int]] = []
        self.broken: list[str] = []


class StubEndpoint:
    """A replica of a service: answers, refuses, breaks off or keeps silent by lot."""

    def __init__(
        self, name: str, service: str, address: str, ledger: Ledger, seed: int
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.draining = False
        self.trouble = 0.0
        self._ledger = ledger
        self._random = random.Random(seed)
        self._server = HttpServer(self._handle, ConnectionLimits)

    async def start(self) -> None:
        """Listen."""
        await self._server.listen(self.address)

    def close(self) -> None:
        """Stop at once."""
        self._server.close()

    def make_row(self) -> dict[str, object]:
        """Return this endpoint's entry on the platform's list."""
        return {
            "id": self.name,
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "slots": 16,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
            "born": 1,
        }

    async def _handle(self, request: Request, writer: ResponseWriter) -> None:
        attempt = (request.get(names.ATTEMPT) or b"").decode()
        echo = [(names.ATTEMPT, attempt.encode())]
        if self._random.random() < self.trouble / 3:
            await writer.send(503, [*echo, (names.NOT_RUN, b"1")])
            return
        path = request.target
        self._ledger.runs.append(Run(attempt, self.name, path))
        if path.startswith("/stream/"):
            await self._stream(request, writer, echo)
            return
        await asyncio.sleep(WORK_S)
        if self._random.random() < self.trouble:
            writer.abort()
            return
        await writer.send(200, [*echo, SIGNED], f"done {attempt}".encode())

    async def _stream(
        self, request: Request, writer: ResponseWriter, echo: list[tuple[bytes, bytes]]
    ) -> None:
        first = int(request.get(names.LAST_EVENT_ID) or b"0") + 1
        kind = (b"content-type", b"text/event-stream")
        await writer.start(200, [*echo, SIGNED, kind])
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = f"id: {number}\ndata: {number}\n\n".encode()
            if self._random.random() < self.trouble / EVENTS:
                await writer.write(event[: len(event) // 2])
                writer.abort()
                return
            await writer.write(event)
        writer.finish()


class StubPlatform:
    """The platform's interface: the list of endpoints, usage reports, orders."""

    def __init__(self, address: str, ledger: Ledger) -> None:
        self.address = address
        self.endpoints: list[StubEndpoint] = []
        self.down = False
        self._ledger = ledger
        self._server = HttpServer(self._handle, ConnectionLimits)

    async def start(self) -> None:
        """Listen."""
        await self._server.listen(self.address)

    def close(self) -> None:
        """Stop."""
        self._server.close()

    async def _handle(self, request: Request, writer: ResponseWriter) -> None:
        if self.down:
            writer.abort()
            return
        path = request.target.partition("?")[0]
        if path == names.LIST_PATH:
            rows = [endpoint.make_row() for endpoint in self.endpoints]
            body = msgspec.json.encode({"instances": rows, "next": None})
            await writer.send(200, [], body)
            return
        self._take_duty(request, path)
        await writer.send(200, [], b"{}")

    def _take_duty(self, request: Request, path: str) -> None:
        holder = (request.get(names.DUTY_HOLDER) or b"").decode()
        fence = int(request.get(names.FENCING_TOKEN) or b"0")
        if self._ledger.fences and fence < self._ledger.fences[-1][1]:
            self._ledger.broken.append(f"fence {fence} after {self._ledger.fences[-1]}")
        self._ledger.fences.append((holder, fence))
        if path == names.USAGE_PATH:
            report = msgspec.json.decode(request.body)
            window, counts = report["window_id"], report["counts"]
            known = self._ledger.reports.setdefault(window, counts)
            if known != counts:
                self._ledger.broken.append(f"window {window}: {known}, then {counts}")
