"""Processor time of the decisions on hedged requests."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from bench.measurements import Slope, fit_slope
from tarragonway.core.addresses import EndpointAddress
from tarragonway.core.counters import Counters
from tarragonway.core.ids import AttemptId, PartId, ServiceName, ZoneName
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import CallerRequest, Load, Prompt, PromptPart
from tarragonway.gateway.attempt import Attempt
from tarragonway.gateway.choice import EndpointChooser
from tarragonway.gateway.estimates import Choice
from tarragonway.gateway.hedged_send import HedgedSender
from tarragonway.gateway.limit_guard import LimitGuard
from tarragonway.gateway.offered_load import OfferedLoadMeter
from tarragonway.gateway.part_guard import PartGuard
from tarragonway.gateway.selection import EndpointSelector
from tarragonway.gateway.state import GatewayState
from tarragonway.http1 import ConnectionPool, Request, ResponseWriter
from tarragonway.node.settings import HedgingSettings
from tarragonway.retries.budget import RetryBudget
from tarragonway.routes import Repeatability, Route, WeightedService
from tarragonway.routing.engine_speed import EngineSpeeds
from tarragonway.routing.loads import LoadTracker
from tarragonway.routing.notices import EndpointNotices

ENDPOINTS = (15, 30, 60, 120)
SLOTS = 64
# Short batches, of which the fastest counts, as other processes disturb the others.
BATCH = 50
SERVICE = ServiceName("s")
ROUTE = Route(
    "r", "h", "/", Repeatability.SAFE, 60.0, 0.63, 1, 2,
    (WeightedService(SERVICE, 1.0),),
    False, False,
)  # fmt: skip


def measure_hedging(seed: int, quick: bool) -> list[Slope]:
    """Measure the decision at a send, and that for a late request, over endpoints."""
    return asyncio.run(_measure_all(seed, 40 if quick else 200))


async def _measure_all(seed: int, batches: int) -> list[Slope]:
    rows = []
    for figure, slowdown in (("three figures", None), ("with paces", 1.3)):
        at_send, late = [], []
        for count in ENDPOINTS:
            sender, attempt, choice = _make_late(seed, count, slowdown)

            async def decide_at_send(
                sender: HedgedSender = sender,
                attempt: Attempt = attempt,
                choice: Choice = choice,
            ) -> object:
                return sender.find_delay_ms(attempt, choice)

            async def decide_late(
                sender: HedgedSender = sender,
                attempt: Attempt = attempt,
                choice: Choice = choice,
            ) -> object:
                budget = RetryBudget(0.0, 1.0, 1.0)
                return sender.find_second(attempt, choice, 0, budget)

            at_send.append(await _measure(decide_at_send, batches))
            late.append(await _measure(decide_late, batches))
        for name, costs_us in (("at the send", at_send), ("late", late)):
            unit = "us/endpoint"
            row = fit_slope("hedging", f"{name}, {figure}", unit, ENDPOINTS, costs_us)
            rows.append(row)
    return rows


def _make_late(
    seed: int, count: int, slowdown: float | None
) -> tuple[HedgedSender, Attempt, Choice]:
    """Return a late request at a slow endpoint, while half of the others are faster."""
    source = random.Random(seed)
    now = asyncio.get_running_loop().time()
    state, counters, speeds = GatewayState(), Counters(), EngineSpeeds()
    chooser = EndpointChooser(LoadTracker(), speeds, source)
    address, zone = EndpointAddress("127.0.0.1:1"), ZoneName("a")
    endpoints = [
        ListedEndpoint(f"e{n}@1", f"e{n}", SERVICE, address, zone, SLOTS, False)
        for n in range(count)
    ]
    state.endpoints.apply_delta(endpoints, [])
    for row in endpoints:
        if slowdown is not None:
            stated = slowdown * source.uniform(0.5, 2.0)
            chooser.paces.record_statement(SERVICE, row.key, stated, now)
        load = Load(source.randrange(SLOTS // 2), 0, SLOTS, slowdown)
        chooser.record_load(row, load, now)
    if slowdown is not None:
        chooser.paces.record_statement(SERVICE, endpoints[0].key, 1.6, now)
    chooser.record_load(endpoints[0], Load(SLOTS // 4, 0, SLOTS, 1.6), now)
    guard = PartGuard(lambda message: False, counters)
    limit_guard = LimitGuard(state, lambda message: False, counters)
    selector = EndpointSelector(
        state, chooser, ConnectionPool(counters), limit_guard, EndpointNotices(),
        OfferedLoadMeter(speeds), lambda rows, account, attempt: rows, counters,
    )  # fmt: skip

    async def send(attempt: Attempt, choice: Choice) -> object:
        raise NotImplementedError

    settings = HedgingSettings(fraction=0.05)
    sender = HedgedSender(
        settings, state, chooser, selector, guard, limit_guard, send, counters,  # type: ignore[arg-type]
    )  # fmt: skip
    parts = (PromptPart(PartId("shared"), 1000), PromptPart(PartId("own"), 1400))
    facts = CallerRequest(
        host="h", path="/", timeout_s=60.0, api_key="", last_event_id="",
        attempt=AttemptId("a"), prompt=Prompt(2400, 200, parts),
    )  # fmt: skip
    request = Request("POST", "/", [], b"", now)
    attempt = Attempt(
        request, facts, ResponseWriter(None), ROUTE, None, SERVICE, now + 60.0,  # type: ignore[arg-type]
        {endpoints[0].key},
    )  # fmt: skip
    choice = Choice(endpoints[0], 400.0, 200.0)
    attempt.choice, attempt.sent_at = choice, now
    for _ in range(1000):
        sender.record_first_event(attempt)
    for number in range(1000):
        sender.budget.record_send(SERVICE, now - (1000 - number) * 0.01)
    chooser.record_send(choice)
    return sender, attempt, choice


async def _measure(decide: Callable[[], Awaitable[object]], batches: int) -> float:
    """Return the time of one decision in microseconds."""
    best_s = float("inf")
    for _ in range(batches):
        started = time.perf_counter()
        for _ in range(BATCH):
            await decide()
        best_s = min(best_s, time.perf_counter() - started)
    return best_s / BATCH * 1e6
