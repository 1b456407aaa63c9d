"""Gateway that hedges, with endpoints that answer in the order of arrival."""

import asyncio
import contextlib

from tarragonway.core.counters import Counters
from tarragonway.gateway.hedged_send import HedgedSender
from tarragonway.gateway.tests.harness import (
    NOT_RUN,
    SIGNED,
    GatewayHarness,
    chunk,
    make_answer,
)
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


async def ask(hedging, path, *headers):
    return await hedging.ask(path, *headers, wait_s=1.9)
