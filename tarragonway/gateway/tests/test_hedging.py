"""Late requests that are sent to a second endpoint."""

import asyncio
import contextlib

import pytest

from tarragonway.core.counters import Counters
from tarragonway.gateway.admission import make_fingerprint
from tarragonway.gateway.hedged_send import HedgedSender
from tarragonway.gateway.part_guard import Probe
from tarragonway.gateway.tests.harness import (
    NOT_RUN,
    SIGNED,
    GatewayHarness,
    chunk,
    make_answer,
)
from tarragonway.gateway.tests.test_rollouts import set_rollout
from tarragonway.http1 import HttpServer
from tarragonway.node.settings import HedgingSettings
from tarragonway.retries.budget import RetryBudget
from tarragonway.routes import ConnectionLimits

CLOSES = f"{SIGNED}Connection: close\r\n"
DELAY_MS = 60.0
STREAM_HEAD = (
    f"HTTP/1.1 200 OK\r\n{CLOSES}Content-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
).encode()
NEVER = 9.0
# A part that resets or closes the connection instead of an answer.
END = b""


def answer(pause_s, body, status=200, extra=CLOSES):
    return [(pause_s, make_answer(status, body, extra)[0])]


def refuse(pause_s):
    return answer(pause_s, "full", 503, NOT_RUN + "Connection: close\r\n")


def stream(pause_s, text, between_s=0.01):
    parts = [
        (between_s, chunk(f"id: {number}\ndata: {text}\n\n".encode()))
        for number in range(1, 6)
    ]
    return [(pause_s, STREAM_HEAD), *parts, (between_s, b"0\r\n\r\n")]


class Script:
    """Answers sends in the order of their arrival, at any endpoint.

    Each answer consists of parts with the pause before each. ``cut_after_s`` has the
    time after which each send's connection was closed by the gateway.
    """

    def __init__(self, *answers):
        self.answers = answers
        self.heads = []
        self.cut_after_s = {}
        self.cut_at = {}

    async def answer(self, reader, writer):
        number = len(self.heads)
        self.heads.append(None)
        self.heads[number] = await reader.readuntil(b"\r\n\r\n")
        loop = asyncio.get_running_loop()
        started = loop.time()
        for pause_s, part in self.answers[number]:
            with contextlib.suppress(TimeoutError, ConnectionError):
                await asyncio.wait_for(reader.read(), pause_s)
            if reader.at_eof() or reader.exception() or writer.is_closing():
                self.cut_at[number] = loop.time()
                self.cut_after_s[number] = loop.time() - started
                return
            writer.write(part)


class Hedging(GatewayHarness):
    """Harness whose gateway hedges, with measured times of all routes."""

    def __init__(self):
        super().__init__()
        self.counters = Counters()
        self.budget = RetryBudget(0.5, 5.0, 5.0)
        forwarder = self.forwarder
        forwarder._make_budget = lambda: self.budget
        self.hedged = forwarder._hedged_sender = HedgedSender(
            HedgingSettings(fraction=0.2), self.state, self.chooser,
            forwarder._selector, self.guard, self.limit_guard, forwarder._send,
            self.counters,
        )  # fmt: skip
        self.server = HttpServer(forwarder.handle, ConnectionLimits)

    def prepare(self):
        """Let past sends permit extra ones, and tell which requests are late."""
        now = asyncio.get_running_loop().time()
        for _ in range(100):
            self.hedged.budget.record_send("s", now)
        for route in self.state.table.configuration.routes:
            for _ in range(64):
                self.hedged.delays.record(route.name, 1.0, DELAY_MS, now)

    async def play(self, *answers, count=2):
        script = Script(*answers)
        for _ in range(count):
            endpoint = await self.add(self.ports())
            endpoint._answer = script.answer
        return script

    def count(self, name):
        return self.counters.snapshot().get(f"hedge.{name}", 0)

    def count_usage(self):
        return sum(sum(w.counts.values()) for w in self.usage.list_windows())


@pytest.fixture
async def hedging(unused_tcp_port_factory):
    harness = Hedging()
    harness.address = f"127.0.0.1:{unused_tcp_port_factory()}"
    harness.ports = unused_tcp_port_factory
    await harness.server.listen(harness.address)
    harness.prepare()
    yield harness
    harness.server.close()


async def ask(hedging, path, *headers):
    return await hedging.ask(path, "Tarragonway-Attempt: a", *headers, wait_s=1.9)


# Guards against callers that wait for a slow endpoint although another has room, and
# against a slow endpoint that goes on with a request that is answered already.
async def test_second_endpoint_answers_for_one_that_is_slow_and_not_dead(hedging):
    script = await hedging.play(answer(0.8, "slow"), answer(0.0, "quick"))
    received = await ask(hedging, "/read/")
    assert received.endswith(b"quick")
    await asyncio.sleep(0.1)
    assert script.cut_after_s[0] < 0.5
    assert (hedging.count("sent"), hedging.count("won")) == (1, 1)
    assert hedging.count_usage() == 1
    assert not hedging.crashes
    loads = [hedging.chooser.get_load(key) for key in ("e1", "e2")]
    assert loads == [0.0, 0.0]


# Guards against a first answer that is dropped since a second send is under way.
async def test_first_endpoint_answers_after_the_second_was_asked(hedging):
    script = await hedging.play(answer(0.2, "first"), answer(0.9, "second"))
    received = await ask(hedging, "/read/")
    assert received.endswith(b"first")
    await asyncio.sleep(0.1)
    assert script.cut_after_s[1] < 0.5
    assert (hedging.count("sent"), hedging.count("lost")) == (1, 1)


# Guards against extra sends of requests that are not late.
async def test_request_in_time_is_sent_once(hedging):
    script = await hedging.play(answer(0.0, "quick"))
    assert (await ask(hedging, "/read/")).endswith(b"quick")
    await asyncio.sleep(0.1)
    assert len(script.heads) == 1
    assert hedging.count("sent") == 0


@pytest.mark.parametrize("shift_s", [-0.004, -0.002, 0.0, 0.002, 0.004])
# Guards against two answers to one caller, and against usage that counts both.
async def test_both_answers_at_once(hedging, shift_s):
    late_s = DELAY_MS / 1000 + 0.1 + shift_s
    script = await hedging.play(answer(late_s, "one"), answer(0.1, "two"))
    received = await ask(hedging, "/read/")
    assert received.count(b"HTTP/1.1") == 1
    assert received.endswith((b"one", b"two"))
    assert len(script.heads) == 2
    assert hedging.count_usage() == 1
    assert hedging.count("won") + hedging.count("lost") == 1


@pytest.mark.parametrize("shift_s", [-0.004, -0.002, 0.0, 0.002, 0.004])
# Guards against events of two answers in one stream.
async def test_events_of_two_streams_are_never_mixed(hedging, shift_s):
    late_s = DELAY_MS / 1000 + 0.1 + shift_s
    script = await hedging.play(stream(late_s, "one"), stream(0.1, "two"))
    received = await ask(hedging, "/resume/")
    assert len(script.heads) == 2
    texts = [b"data: one" in received, b"data: two" in received]
    assert sorted(texts) == [False, True]
    assert [received.count(f"id: {n}\n".encode()) for n in range(1, 6)] == [1] * 5
    assert received.endswith(b"0\r\n\r\n")
    assert hedging.count_usage() == 1


# Guards against a stream that is sent twice for longer than until its first event.
async def test_slow_stream_is_cut_at_the_first_event_of_the_other(hedging):
    script = await hedging.play(
        stream(0.9, "slow"), stream(0.0, "quick", between_s=0.12)
    )
    received = await ask(hedging, "/resume/")
    assert received.count(b"data: quick") == 5
    assert b"slow" not in received
    # The first send has 60 ms more, and the other one takes 0.7 s until its end.
    assert script.cut_after_s[0] < 0.35


# Guards against a stream that began in time and is sent again while it goes on.
async def test_stream_that_has_begun_is_not_late(hedging):
    script = await hedging.play(stream(0.0, "one", between_s=0.05))
    assert (await ask(hedging, "/resume/")).count(b"data: one") == 5
    assert len(script.heads) == 1


# Guards against a winner's stream that breaks off and goes on at another version.
async def test_broken_stream_goes_on_at_the_version_of_the_winner(hedging):
    quick = stream(0.0, "quick")[:3]
    script = Script(stream(0.9, "slow"), quick, stream(0.0, "rest"))
    for version in ("v1", "v2", "v1", "v2"):
        endpoint = await hedging.add(hedging.ports(), version=version)
        endpoint._answer = script.answer
    await ask(hedging, "/patient/")
    origins = [row.version for row in hedging.state.endpoints.rows.values()]
    assert origins == ["v1", "v2", "v1", "v2"]
    names = {row.platform_id: row.version for row in
             hedging.state.endpoints.rows.values()}  # fmt: skip
    targets = [_find_target(head, names) for head in script.heads]
    assert targets[2] == targets[1]


def _find_target(head, names):
    text = head.decode()
    return next(version for name, version in names.items() if f": {name}\r\n" in text)


# Guards against a caller who gets the failure of the extra send.
async def test_failed_second_send_changes_nothing(hedging):
    script = await hedging.play(answer(0.3, "first"), [(0.0, END)])
    assert (await ask(hedging, "/read/")).endswith(b"first")
    assert len(script.heads) == 2


@pytest.mark.parametrize(
    "failure",
    [
        [(0.15, END)],
        answer(0.15, "bad", 500),
        refuse(0.15),
        answer(0.15, "busy", 429),
    ],
)
# Guards against a caller who gets a failure of the first send although the second one
# is about to answer.
async def test_failed_first_send_waits_for_the_second(hedging, failure):
    script = await hedging.play(failure, answer(0.3, "second"), count=3)
    assert (await ask(hedging, "/read/")).endswith(b"second")
    assert len(script.heads) == 2
    assert hedging.count_usage() == 1


@pytest.mark.parametrize(
    ("first", "second", "status"),
    [
        (refuse(0.15), refuse(0.0), b"503"),
        # The other send may have run, so that no promise is true.
        (refuse(0.15), [(0.05, END)], b"502"),
        ([(0.15, END)], refuse(0.0), b"502"),
        (answer(0.15, "x", 503), refuse(0.0), b"502"),
        (answer(0.15, "x", 429), [(0.05, END)], b"502"),
        (answer(0.15, "bad", 500), [(0.0, END)], b"500"),
        ([(0.15, END)], answer(0.0, "bad", 500), b"500"),
    ],
)
# Guards against a promise that a request has not run which may have run elsewhere, and
# against a worse failure than one of the sends had.
async def test_both_fail(hedging, first, second, status):
    script = await hedging.play(first, second)
    received = await ask(hedging, "/read/")
    assert len(script.heads) == 2
    assert received.split()[1] == status
    assert hedging.quota.returned == (1.0 if status == b"503" else 0.0)


# Guards against a single request that counts as two crashes.
async def test_two_broken_sends_are_one_crash(hedging):
    script = await hedging.play([(0.2, END)], [(0.2, END)])
    await ask(hedging, "/read/")
    assert len(script.heads) == 2
    assert len(hedging.crashes) == 1


# Guards against a request that runs on at two endpoints after its caller has left.
async def test_caller_that_leaves_cancels_both(hedging):
    script = await hedging.play(answer(NEVER, "one"), answer(NEVER, "two"))
    loop = asyncio.get_running_loop()
    await hedging.ask("/read/", wait_s=0.25)
    left_at = loop.time()
    assert len(script.heads) == 2
    await asyncio.sleep(0.4)
    assert all(script.cut_at[number] - left_at < 0.5 for number in (0, 1))
    assert [hedging.chooser.get_load(key) for key in ("e1", "e2")] == [0.0, 0.0]


@pytest.mark.parametrize("path", ["/once/", "/stream/", "/single/"])
# Guards against a second run of a request that may run once only.
async def test_at_most_once_requests_are_never_hedged(hedging, path):
    script = await hedging.play(answer(0.3, "one"), answer(0.0, "two"))
    assert (await ask(hedging, path)).endswith(b"one")
    assert len(script.heads) == 1
    assert hedging.count("denied.at_most_once") == 1


# Guards against more sends than the route allows.
async def test_hedge_counts_against_max_attempts(hedging):
    script = await hedging.play(
        [(0.15, END)], [(0.15, END)], answer(0.0, "third"), count=3
    )
    assert (await ask(hedging, "/read/")).split()[1] == b"502"
    assert len(script.heads) == 2
    script = await hedging.play(answer(0.1, "only"), answer(0.0, "two"))
    for endpoint in hedging.endpoints:
        endpoint._answer = script.answer
    assert (await ask(hedging, "/short/")).endswith(b"only")
    assert hedging.count("denied.max_attempts") == 1


# Guards against extra sends that do not withdraw from the retry budget.
async def test_hedge_withdraws_from_the_retry_budget(hedging):
    hedging.budget = RetryBudget(0.0, 1.0, 1.0)
    await hedging.play(answer(0.2, "one"), answer(0.0, "two"))
    assert (await ask(hedging, "/read/")).endswith(b"two")
    assert not hedging.budget.withdraw()


# Guards against extra sends that the retry budget does not carry.
async def test_no_hedge_beyond_the_retry_budget(hedging):
    hedging.budget = RetryBudget(0.0, 1.0, 0.0)
    script = await hedging.play(answer(0.2, "one"), answer(0.0, "two"))
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert len(script.heads) == 1
    assert hedging.count("denied.retry_budget") == 1


# Guards against extra sends beyond the operator's fraction.
async def test_hedges_keep_to_the_fraction(hedging):
    now = asyncio.get_running_loop().time()
    for _ in range(20):
        hedging.hedged.budget.record_extra_send("s", now)
    script = await hedging.play(answer(0.2, "one"), answer(0.0, "two"))
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert len(script.heads) == 1
    assert hedging.count("denied.fraction") == 1


# Guards against extra sends that add to an overload.
async def test_full_endpoints_get_no_extra_send(hedging):
    script = await hedging.play(answer(0.2, "one"), answer(0.0, "two"))

    def fill():
        # The first one runs the request itself.
        hedging.chooser._load_tracker.record_report("e1", 5.0)
        hedging.chooser._load_tracker.record_report("e2", 4.0)

    asyncio.get_running_loop().call_later(DELAY_MS / 2000, fill)
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert len(script.heads) == 1
    assert hedging.count("denied.no_endpoint") == 1


# Guards against an extra send to an endpoint that is fuller than the first.
async def test_fuller_endpoint_gets_no_extra_send(hedging):
    script = await hedging.play(answer(0.2, "one"), answer(0.0, "two"))
    hedging.chooser._load_tracker.record_report("e2", 2.0)
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert len(script.heads) == 1
    assert hedging.count("denied.no_endpoint") == 1


# Guards against a second endpoint that a request kills too, when its content is
# suspected of crashing endpoints.
async def test_suspected_content_is_not_hedged(hedging, monkeypatch):
    script = await hedging.play(answer(0.2, "one"), answer(0.0, "two"))
    requests = []
    describe = hedging.hedged._describe

    def suspect(attempt, *arguments, **options):
        fingerprint = make_fingerprint(attempt.request, attempt.account)
        hedging.state.suspects = frozenset({fingerprint})
        requests.append(attempt)
        return describe(attempt, *arguments, **options)

    monkeypatch.setattr(hedging.hedged, "_describe", suspect)
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert len(script.heads) == 1
    assert requests
    assert hedging.count("denied.suspect") == 1


# Guards against requests of a bad version that count twice, and an exposure beyond it.
async def test_no_hedge_during_a_rollout(hedging):
    script = await hedging.play(answer(0.2, "one"), answer(0.0, "two"))
    set_rollout(hedging, 1)
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert len(script.heads) == 1
    assert hedging.count("denied.rollout") == 1


# Guards against a rest of a stream from two endpoints, for which the origin's version
# has few endpoints left.
async def test_resumed_stream_is_not_hedged(hedging):
    rest = [stream(0.2, "one")[0], *stream(0.2, "one")[3:]]
    script = await hedging.play(stream(0.0, "one")[:3], rest, count=3)
    assert (await ask(hedging, "/patient/")).count(b"data: one") == 5
    assert len(script.heads) == 2
    assert hedging.count("denied.resumed") == 1


# Guards against a probe of held parts that runs at two endpoints.
async def test_probe_is_not_hedged(hedging, monkeypatch):
    script = await hedging.play(answer(0.2, "one"), answer(0.0, "two"))
    admit = hedging.forwarder._admission.admit

    async def admit_probe(*arguments):
        attempt = await admit(*arguments)
        attempt.probe = Probe(1)
        return attempt

    monkeypatch.setattr(hedging.forwarder._admission, "admit", admit_probe)
    monkeypatch.setattr(hedging.guard, "end_probe", lambda probe: None)
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert len(script.heads) == 1
    assert hedging.count("denied.probe") == 1


# Guards against a resumable stream that begins at a version no leader has recorded.
async def test_second_endpoint_has_a_recorded_version(hedging):
    script = Script(stream(0.2, "one"), stream(0.0, "two"))
    for version, registers in (("v1", True), ("v2", False)):
        endpoint = await hedging.add(
            hedging.ports(), version=version, registers=registers
        )
        endpoint._answer = script.answer
    received = await ask(hedging, "/resume/")
    assert b"data: one" in received
    assert len(script.heads) == 1
    assert hedging.count("denied.no_endpoint") == 1


# Guards against an extra send whose answer would come too late, and against hedging
# without measurements.
async def test_no_hedge_after_the_deadline_or_without_samples(hedging):
    now = asyncio.get_running_loop().time()
    for _ in range(500):
        hedging.hedged.delays.record("read", 1.0, 5000.0, now)
    hedging.hedged.delays._routes.pop("resume")
    await hedging.play(answer(0.2, "one"), stream(0.2, "two"))
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert b"data: two" in await ask(hedging, "/resume/")
    assert hedging.count("denied.deadline") == 1
    assert hedging.count("denied.no_samples") == 1


# Guards against a quantile that falls since the slowest sends are cancelled.
async def test_cancelled_send_is_measured(hedging):
    await hedging.play(answer(0.8, "slow"), answer(0.1, "quick"))
    before = hedging.hedged.delays.make_dump()["read"]["samples"]
    await ask(hedging, "/read/")
    assert hedging.hedged.delays.make_dump()["read"]["samples"] == before + 1


# Guards against the next requests going to the endpoint whose late sends are cancelled,
# since nothing shows how slow it is.
async def test_endpoint_of_a_cancelled_send_counts_as_late(hedging):
    script = await hedging.play(answer(0.8, "slow"), *[answer(0.0, "quick")] * 3)
    await ask(hedging, "/read/")
    slow = next(iter(hedging.state.endpoints.rows.values())).platform_id
    slow = slow if f": {slow}\r\n" in script.heads[0].decode() else "e2"
    for _ in range(2):
        await ask(hedging, "/read/")
        assert f": {slow}\r\n" not in script.heads[-1].decode()


# Guards against another path for requests while hedging is off.
async def test_off_by_default(harness):
    assert harness.forwarder._hedged_sender is None
    assert harness.forwarder.make_hedging_dump() == {}
