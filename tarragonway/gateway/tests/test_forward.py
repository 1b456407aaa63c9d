import asyncio
import contextlib
import random

import pytest

from tarragonway.core.counters import Counters
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.gateway.admission import Admission
from tarragonway.gateway.choice import EndpointChooser
from tarragonway.gateway.forward import Forwarder
from tarragonway.gateway.offered_load import OfferedLoadMeter
from tarragonway.gateway.state import GatewayState
from tarragonway.gateway.usage import UsageCounter
from tarragonway.http1 import HttpServer
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
    """Stub that sends one prepared answer per connection and records request heads."""

    def __init__(self) -> None:
        self.answers: list[list[bytes]] = []
        self.heads: list[bytes] = []
        self.disconnected = asyncio.Event()
        self.hang = False
        self.choose = lambda head: self.answers.pop(0) if self.answers else []

    async def serve(self, reader, writer):
        self.heads.append(await reader.readuntil(b"\r\n\r\n"))
        if self.hang:
            with contextlib.suppress(ConnectionResetError):
                await reader.read()
            self.disconnected.set()
        for part in self.choose(self.heads[-1]):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.close()


class UnlimitedQuota:
    def __init__(self) -> None:
        self.returned = 0.0

    async def admit(self, account, units, max_wait_s):
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
    make_route("stream", Repeatability.STREAM, attempts=2),
    make_route("short", Repeatability.SAFE, timeout_s=0.2),
)


class GatewayHarness:
    """Forwarder of a gateway with stub endpoints, quota and crash reports."""

    def __init__(self) -> None:
        self.state = GatewayState()
        self.crashes = []
        self.cleared = []
        configuration = Configuration(
            1, ROUTES, (Service("s", "/", 9),), ConnectionLimits(),
            (Account("acct", ("key",), per_s=5.0, burst=5.0),),
        )  # fmt: skip
        self.state.table = RouteTable(configuration)
        self.quota = UnlimitedQuota()
        self.usage = UsageCounter(5.0)
        self.forwarder = Forwarder(
            self.state,
            Admission(self.state, self.quota, Counters()),
            self.usage,
            OfferedLoadMeter(),
            EndpointChooser(LoadTracker(), random.Random(1)),
            lambda: RetryBudget(0.5, 5.0, 5.0),
            self,
            requests,
            Counters(),
        )
        self.server = HttpServer(self.forwarder.handle, ConnectionLimits)
        self.endpoints: list[StubEndpoint] = []

    def report_crash(self, crash):
        self.crashes.append(crash)

    def report_cleared(self, fingerprint):
        self.cleared.append(fingerprint)

    async def add(self, port, *, listens=True) -> StubEndpoint:
        endpoint = StubEndpoint()
        if listens:
            await asyncio.start_server(endpoint.serve, "127.0.0.1", port)
        self.endpoints.append(endpoint)
        name = f"e{len(self.endpoints)}"
        row = ListedEndpoint(name, name, "s", f"127.0.0.1:{port}", "a", 4, False)
        self.state.endpoints.apply_delta([row], [])
        return endpoint

    async def ask(self, path, *headers, key="key", wait_s=1.5) -> bytes:
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [
            f"POST {path} HTTP/1.1",
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


@pytest.fixture
async def harness(unused_tcp_port_factory):
    harness = GatewayHarness()
    harness.address = f"127.0.0.1:{unused_tcp_port_factory()}"
    harness.ports = unused_tcp_port_factory
    await harness.server.listen(harness.address)
    yield harness
    harness.server.close()


async def test_unrepeatable_request_that_may_have_run_is_not_sent_again(harness):
    one, two = await harness.add(harness.ports()), await harness.add(harness.ports())
    received = await harness.ask("/once/")
    assert received.startswith(b"HTTP/1.1 502")
    assert len(one.heads) + len(two.heads) == 1
    assert harness.usage.list_windows() == ()


async def test_endpoints_refusal_is_passed_on_as_not_run(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [make_answer(503, "", NOT_RUN)]
    received = await harness.ask("/single/")
    assert received.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in received.lower()
    assert harness.quota.returned


async def test_refused_request_is_offered_to_another_endpoint(harness):
    refusal = make_answer(503, "", NOT_RUN)
    for _ in range(2):
        (await harness.add(harness.ports())).answers = [refusal]
    harness.endpoints[0].answers = [refusal]
    harness.endpoints[1].answers = [make_answer()]
    statuses = set()
    for _ in range(2):
        statuses.add((await harness.ask("/once/"))[9:12])
        harness.endpoints[0].answers = [refusal]
        harness.endpoints[1].answers = [make_answer()]
    assert statuses == {b"200"}


async def test_failed_read_is_tried_elsewhere_and_failures_come_through(harness):
    one, two = await harness.add(harness.ports()), await harness.add(harness.ports())
    one.answers = [make_answer(500, "bad")]
    two.answers = [make_answer(500, "bad")]
    received = await harness.ask("/read/")
    assert received.startswith(b"HTTP/1.1 500")
    assert b"server-signature" in received
    assert len(one.heads) == len(two.heads) == 1


async def test_unreachable_endpoint_is_left_out(harness):
    await harness.add(harness.ports(), listens=False)
    good = await harness.add(harness.ports())
    good.answers = [make_answer() for _ in range(4)]
    for _ in range(4):
        assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 200")


async def test_broken_stream_resumes_at_another_endpoint_without_repeated_events(
    harness,
):
    first, second = (
        await harness.add(harness.ports()),
        await harness.add(harness.ports()),
    )
    broken = make_events(1, 2, end=False, cut=b"id: 3\nda")

    def choose(head):
        return make_events(3, 4) if b"last-event-id" in head.lower() else broken

    first.choose = second.choose = choose
    received = await harness.ask("/resume/")
    ids = [line for line in received.split(b"\n") if line.startswith(b"id:")]
    assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
    assert received.endswith(b"0\r\n\r\n")
    heads = first.heads + second.heads
    assert sum(b"last-event-id: 2" in head.lower() for head in heads) == 1
    assert sum(sum(w.counts.values()) for w in harness.usage.list_windows()) == 1


async def test_broken_stream_that_cannot_go_on_does_not_look_complete(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [make_events(1, end=False)]
    received = await harness.ask("/stream/")
    assert b"id: 1" in received
    assert not received.endswith(b"0\r\n\r\n")


async def test_success_without_signature_is_not_passed_on(harness):
    (await harness.add(harness.ports())).answers = [make_answer(extra="")]
    assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 502")


async def test_connection_to_endpoint_ends_when_the_caller_disconnects(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.hang = True
    await harness.ask("/single/", wait_s=0.1)
    async with asyncio.timeout(0.5):
        await endpoint.disconnected.wait()


async def test_endpoint_receives_the_remaining_time_and_deadline_ends_the_request(
    harness,
):
    endpoint = await harness.add(harness.ports())
    endpoint.hang = True
    received = await harness.ask("/short/", f"{names.DEADLINE.decode()}: 900")
    assert received.startswith(b"HTTP/1.1 504")
    line = next(
        line for line in endpoint.heads[0].split(b"\r\n") if b"deadline" in line.lower()
    )
    assert 100 <= int(line.split(b":")[1]) <= 200


async def test_content_that_crashes_an_endpoint_is_reported_and_quarantined(harness):
    endpoint = await harness.add(harness.ports())
    await harness.ask("/single/poison")
    (crash,) = harness.crashes
    assert crash.endpoint == "e1"
    harness.state.quarantined = frozenset([crash.fingerprint])
    assert (await harness.ask("/single/poison")).startswith(b"HTTP/1.1 503")
    endpoint.answers = [make_answer()]
    assert (await harness.ask("/single/other")).startswith(b"HTTP/1.1 200")
    assert len(endpoint.heads) == 2


async def test_suspect_that_runs_to_its_end_is_cleared(harness):
    endpoint = await harness.add(harness.ports())
    await harness.ask("/single/odd")
    fingerprint = harness.crashes[0].fingerprint
    harness.state.suspects = frozenset([fingerprint])
    endpoint.answers = [make_answer(), make_answer()]
    await harness.ask("/single/else")
    assert not harness.cleared
    await harness.ask("/single/odd")
    assert harness.cleared == [fingerprint]


async def test_request_waits_for_the_first_configuration(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [make_answer()]
    table, harness.state.table = harness.state.table, None
    asking = asyncio.create_task(harness.ask("/single/"))
    await asyncio.sleep(0.1)
    harness.state.table = table
    harness.state.notify_if_complete()
    assert (await asking).startswith(b"HTTP/1.1 200")


async def test_unknown_routes_and_keys_are_refused(harness):
    await harness.add(harness.ports())
    assert (await harness.ask("/none/")).startswith(b"HTTP/1.1 404")
    assert (await harness.ask("/read/", key="odd")).startswith(b"HTTP/1.1 401")
    harness.state.table = None
    assert (await harness.ask("/read/")).startswith(b"HTTP/1.1 503")
