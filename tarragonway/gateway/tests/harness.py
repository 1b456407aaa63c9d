"""Forwarder with stub endpoints, for tests of the gateway."""

import asyncio
import contextlib
import random

from tarragonway.core.counters import Counters
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.gateway.admission import Admission
from tarragonway.gateway.choice import EndpointChooser
from tarragonway.gateway.forward import Forwarder
from tarragonway.gateway.limit_guard import LimitGuard
from tarragonway.gateway.offered_load import OfferedLoadMeter
from tarragonway.gateway.origin_guard import OriginGuard
from tarragonway.gateway.part_guard import PartGuard
from tarragonway.gateway.state import GatewayState
from tarragonway.gateway.usage import UsageCounter
from tarragonway.http1 import HttpServer
from tarragonway.links.messages import HeldParts, VersionsInService, VersionsReply
from tarragonway.platform import names, requests
from tarragonway.retries.budget import RetryBudget
from tarragonway.routes import (
    Account,
    Configuration,
    ConnectionLimits,
    Repeatability,
    Route,
    RouteTable,
    Service,
    WeightedService,
)
from tarragonway.routing.engine_speed import EngineSpeeds
from tarragonway.routing.loads import LoadTracker

SIGNED = f"{names.SIGNATURE.decode()}: s\r\n"
NOT_RUN = f"{names.NOT_RUN.decode()}: 1\r\n"


def make_answer(status=200, body="ok", extra=SIGNED):
    head = f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    return [(head + body).encode()]


def make_events(*ids, end=True, cut=b""):
    """Return a chunked event stream; without ``end`` it breaks off after ``cut``."""
    head = f"HTTP/1.1 200 OK\r\n{SIGNED}Content-Type: text/event-stream\r\n"
    parts = [(head + "Transfer-Encoding: chunked\r\n\r\n").encode()]
    for number in ids:
        parts.append(chunk(f"id: {number}\ndata: x\n\n".encode()))
    if cut:
        parts.append(chunk(cut))
    if end:
        parts.append(b"0\r\n\r\n")
    return parts


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class StubEndpoint:
    """Stub that sends one prepared answer per connection and records request heads.

    It pauses for ``pause_s`` seconds after each part of an answer.
    """

    def __init__(self) -> None:
        self.answers: list[list[bytes]] = []
        self.heads: list[bytes] = []
        self.disconnected = asyncio.Event()
        self.hang = False
        self.pause_s = 0.01
        self.choose = lambda head: self.answers.pop(0) if self.answers else []

    async def serve(self, reader, writer):
        try:
            await self._answer(reader, writer)
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        self.heads.append(await reader.readuntil(b"\r\n\r\n"))
        if self.hang:
            with contextlib.suppress(ConnectionResetError):
                await reader.read()
            self.disconnected.set()
        with contextlib.suppress(ConnectionError):
            for part in self.choose(self.heads[-1]):
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
            return
        self.disconnected.set()


class UnlimitedQuota:
    def __init__(self) -> None:
        self.returned = 0.0

    async def admit(self, account, units, max_wait_s, priority, time_left_s):
        return 0.0

    def refund(self, account, units):
        self.returned += units


def make_route(name, kind, *, attempts=1, resumable=False, timeout_s=2.0):
    share = (WeightedService("s", 1.0),)
    return Route(
        name, "h", f"/{name}/", kind, timeout_s, 0.5, 1, attempts, share, False, False,
        resumable,
    )  # fmt: skip


ROUTES = (
    make_route("once", Repeatability.UNSAFE, attempts=2),
    make_route("single", Repeatability.UNSAFE),
    make_route("read", Repeatability.SAFE, attempts=2),
    make_route("resume", Repeatability.STREAM, attempts=2, resumable=True),
    make_route("patient", Repeatability.STREAM, attempts=3, resumable=True),
    make_route("stream", Repeatability.STREAM, attempts=2),
    make_route("short", Repeatability.SAFE, timeout_s=0.2),
)


class GatewayHarness:
    """Forwarder of a gateway with stub endpoints, quota and crash reports."""

    def __init__(self) -> None:
        self.state = GatewayState()
        self.crashes = []
        self.cleared = []
        self.leaving = []
        configuration = Configuration(
            1, ROUTES, (Service("s", "/", 9),), ConnectionLimits(),
            (Account("acct", ("key",), per_s=5.0, burst=5.0),),
        )  # fmt: skip
        self.state.table = RouteTable(configuration)
        self.quota = UnlimitedQuota()
        self.probe_messages = []
        self.guard = PartGuard(self.send_to_leader, Counters())
        self.guard.set_held(HeldParts(0, ()))
        self.limit_guard = LimitGuard(self.state, self.send_to_leader, Counters())
        self.state.knows_held_parts = True
        # Coordinators by address; each takes the messages that are sent to it.
        self.coordinators = {}
        self.origins = OriginGuard(
            "gateway",
            self.state,
            lambda: list(self.coordinators),
            lambda address, message: self.coordinators[address](address, message),
            self.answer_versions_request,
            Counters(),
        )
        # What the leader knows; None if it does not answer.
        self.versions = {}
        self.versions_revision = 0
        self.leader_versions = self.versions
        self.usage = UsageCounter(5.0)
        speeds = EngineSpeeds()
        self.chooser = EndpointChooser(LoadTracker(), speeds, random.Random(1))
        self.forwarder = Forwarder(
            self.state,
            Admission(self.state, self.guard, self.quota, Counters()),
            self.usage,
            OfferedLoadMeter(speeds),
            speeds,
            self.chooser,
            lambda: RetryBudget(0.5, 5.0, 5.0),
            self,
            self.guard,
            self.limit_guard,
            self.origins,
            requests,
            Counters(),
        )
        self.server = HttpServer(self.forwarder.handle, ConnectionLimits)
        self.endpoints: list[StubEndpoint] = []

    def send_to_leader(self, message):
        self.probe_messages.append(message)
        return False

    def set_versions(self, versions):
        """Let a coordinator send the versions in service, which the leader confirms."""
        self.versions = self.leader_versions = versions
        self.versions_revision += 1
        message = VersionsInService(self.versions_revision, versions)
        self.origins.handle("c1", message)

    def answer_versions_request(self, request):
        if self.leader_versions is not None:
            reply = VersionsReply(request.sequence, self.leader_versions)
            loop = asyncio.get_running_loop()
            loop.call_soon(self.origins.handle, "c1", reply)
        return True

    def report_crash(self, crash):
        self.crashes.append(crash)

    def report_leaving(self, endpoint):
        self.leaving.append(endpoint)

    def report_cleared(self, fingerprint):
        self.cleared.append(fingerprint)

    async def add(
        self, port, *, listens=True, version="", registers=True
    ) -> StubEndpoint:
        endpoint = StubEndpoint()
        if listens:
            await asyncio.start_server(endpoint.serve, "127.0.0.1", port)
        self.endpoints.append(endpoint)
        name = f"e{len(self.endpoints)}"
        row = ListedEndpoint(
            name, name, "s", f"127.0.0.1:{port}", "a", 4, False, version=version
        )
        self.state.endpoints.apply_delta([row], [])
        if registers:
            names = {*self.versions.get("s", ()), version}
            self.set_versions({"s": tuple(sorted(names))})
        return endpoint

    async def ask(self, path, *headers, key="key", wait_s=1.5, version="1.1") -> bytes:
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [
            f"POST {path} HTTP/{version}",
            "Host: h",
            "Content-Length: 0",
            f"Authorization: Bearer {key}",
            *headers,
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        received = b""
        try:
            async with asyncio.timeout(wait_s):
                while b"0\r\n\r\n" not in received:
                    data = await reader.read(65536)
                    received += data
                    if not data or _is_complete(received):
                        break
        except (TimeoutError, ConnectionResetError):
            received += b"<reset>" if received else b""
        writer.close()
        return received


def _is_complete(received):
    head, split, body = received.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if split and line.startswith(b"content-length:"):
            return len(body) >= int(line.split(b":")[1])
    return False
