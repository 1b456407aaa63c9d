"""Stubs of the platform and the endpoints that record the requests they receive."""

import asyncio
import random

import msgspec

from tarragonway.http1 import HttpServer, Reply, Request
from tarragonway.platform import names
from tarragonway.routes import ChannelLimits

SIGNED = (names.SIGNATURE, b"soak")
EVENT_PAUSE_S = 0.02
EVENTS = 12
WORK_S = 0.02


class Execution(msgspec.Struct):
    """One execution of an attempt by an endpoint, recorded when it begins."""

    attempt: str
    endpoint: str
    path: str


class Observations:
    """Requests that reached endpoints and the platform, and violations found there.

    Attributes
    ----------
    runs : list of Execution
        Executions by endpoints.
    reports : dict of int to dict
        Counts of the first usage report of each window.
    fences : list of tuple
        Sender and fencing token of each call to the platform, in order of arrival.
    broken : list of str
        Violated guarantees, one line each.
    """

    def __init__(self) -> None:
        self.runs: list[Execution] = []
        self.reports: dict[int, dict[str, int]] = {}
        self.fences: list[tuple[str, int]] = []
        self.broken: list[str] = []


class StubEndpoint:
    """A replica of a service that refuses requests or resets connections at random.

    Parameters
    ----------
    name, service, address : str
        Its id, service and ``IP:port`` on the endpoint list.
    ledger : Observations
        Receives each execution.
    seed : int
        Seed of its failures.

    Attributes
    ----------
    draining : bool
        Whether the endpoint list shows it as draining.
    trouble : float
        Probability that a request fails during its execution; a third of it is the
        probability that the request is refused before.
    """

    def __init__(
        self, name: str, service: str, address: str, ledger: Observations, seed: int
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.draining = False
        self.trouble = 0.0
        self._ledger = ledger
        self._random = random.Random(seed)
        self._server = HttpServer(self._handle, ChannelLimits)

    async def start(self) -> None:
        """Accept connections."""
        await self._server.listen(self.address)

    def close(self) -> None:
        """Close the server and its connections."""
        self._server.close()

    def make_list_row(self) -> dict[str, object]:
        """Return this endpoint's row of the endpoint list."""
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

    async def _handle(self, request: Request, reply: Reply) -> None:
        attempt = (request.get(names.ATTEMPT) or b"").decode()
        echo = [(names.ATTEMPT, attempt.encode())]
        if self._random.random() < self.trouble / 3:
            await reply.send(503, [*echo, (names.NOT_RUN, b"1")])
            return
        path = request.target
        self._ledger.runs.append(Execution(attempt, self.name, path))
        if path.startswith("/stream/"):
            await self._stream(request, reply, echo)
            return
        await asyncio.sleep(WORK_S)
        if self._random.random() < self.trouble:
            reply.abort()
            return
        await reply.send(200, [*echo, SIGNED], f"done {attempt}".encode())

    async def _stream(
        self, request: Request, reply: Reply, echo: list[tuple[bytes, bytes]]
    ) -> None:
        first = int(request.get(names.LAST_EVENT) or b"0") + 1
        kind = (b"content-type", b"text/event-stream")
        await reply.start(200, [*echo, SIGNED, kind])
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = f"id: {number}\ndata: {number}\n\n".encode()
            if self._random.random() < self.trouble / EVENTS:
                await reply.write(event[: len(event) // 2])
                reply.abort()
                return
            await reply.write(event)
        reply.finish()


class StubPlatform:
    """The platform's interface: endpoint list, usage reports and orders.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    ledger : Observations
        Receives fencing tokens, usage reports and violations.

    Attributes
    ----------
    endpoints : list of StubEndpoint
        Rows of the endpoint list.
    down : bool
        Whether each request ends with a reset connection.
    """

    def __init__(self, address: str, ledger: Observations) -> None:
        self.address = address
        self.endpoints: list[StubEndpoint] = []
        self.down = False
        self._ledger = ledger
        self._server = HttpServer(self._handle, ChannelLimits)

    async def start(self) -> None:
        """Accept connections."""
        await self._server.listen(self.address)

    def close(self) -> None:
        """Close the server and its connections."""
        self._server.close()

    async def _handle(self, request: Request, reply: Reply) -> None:
        if self.down:
            reply.abort()
            return
        path = request.target.partition("?")[0]
        if path == names.LIST_PATH:
            rows = [endpoint.make_list_row() for endpoint in self.endpoints]
            body = msgspec.json.encode({"instances": rows, "next": None})
            await reply.send(200, [], body)
            return
        self._record_call(request, path)
        await reply.send(200, [], b"{}")

    def _record_call(self, request: Request, path: str) -> None:
        """Check that fencing tokens never decrease and no usage report is altered."""
        holder = (request.get(names.HOLDER) or b"").decode()
        fence = int(request.get(names.FENCE) or b"0")
        if self._ledger.fences and fence < self._ledger.fences[-1][1]:
            self._ledger.broken.append(
                f"fencing token {fence} of {holder} arrived after"
                f" {self._ledger.fences[-1]}"
            )
        self._ledger.fences.append((holder, fence))
        if path == names.USAGE_PATH:
            report = msgspec.json.decode(request.body)
            window, counts = report["window_id"], report["counts"]
            known = self._ledger.reports.setdefault(window, counts)
            if known != counts:
                self._ledger.broken.append(
                    f"usage window {window} was reported as {known}, then as {counts}"
                )
