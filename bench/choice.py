"""Processor time of the choice of an endpoint for one request."""

import random
import time
from collections.abc import Callable

from bench.measurements import Slope, fit_slope
from tarragonway.core.addresses import EndpointAddress
from tarragonway.core.ids import PartId, ServiceName, ZoneName
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import Load, Prompt, PromptPart
from tarragonway.gateway.choice import EndpointChooser
from tarragonway.routing.engine_speed import EngineSpeeds
from tarragonway.routing.loads import LoadTracker

ENDPOINTS = (15, 30, 60, 120)
SLOTS = 64
# Prompts that recur, so that their rankings are kept.
PROMPTS = 16
CONNECTED = 8
# Short batches, of which the fastest counts, as other processes disturb the others.
BATCH = 50
SERVICE = ServiceName("s")
ZONE = ZoneName("a")
ADDRESS = EndpointAddress("127.0.0.1:1")


def measure_choice(seed: int, quick: bool) -> list[Slope]:
    """Measure one choice over numbers of endpoints, with and without paces."""
    batches = 40 if quick else 200
    rows = []
    for figure, slowdown, connected in (
        ("three figures", None, 0),
        ("with paces", 1.3, 0),
        ("with paces and open connections", 1.3, CONNECTED),
    ):
        costs_us = [
            _measure(_make_choose(seed, count, slowdown, connected), batches)
            for count in ENDPOINTS
        ]
        rows.append(fit_slope("choice", figure, "us/endpoint", ENDPOINTS, costs_us))
    return rows


def _make_choose(
    seed: int, count: int, slowdown: float | None, connected: int
) -> Callable[[int], object]:
    source = random.Random(seed)
    chooser = EndpointChooser(LoadTracker(), EngineSpeeds(), source)
    endpoints = [
        ListedEndpoint(
            f"replica-{n}@1", f"replica-{n}", SERVICE, ADDRESS, ZONE, SLOTS, False
        )
        for n in range(count)
    ]
    for row in endpoints:
        if slowdown is not None:
            stated = slowdown * source.uniform(0.5, 2.0)
            chooser.paces.record_statement(SERVICE, row.key, stated, 0.0)
        load = Load(source.randrange(SLOTS // 2), 0, SLOTS, slowdown)
        chooser.record_load(row, load, 0.0)
    prompts = [
        Prompt(
            2400,
            200,
            (PromptPart(PartId(f"part-{n}"), 1000), PromptPart(PartId("own"), 1400)),
        )
        for n in range(PROMPTS)
    ]
    keys = [row.key for row in source.sample(endpoints, connected)]

    def choose(number: int) -> object:
        prompt = prompts[number % PROMPTS]
        now = 0.5 + number * 0.001
        return chooser.choose(endpoints, SERVICE, prompt, now, 630.0, keys)

    return choose


def _measure(choose: Callable[[int], object], batches: int) -> float:
    """Return the time of one choice in microseconds."""
    best_s = float("inf")
    for _ in range(batches):
        started = time.perf_counter()
        for number in range(BATCH):
            choose(number)
        best_s = min(best_s, time.perf_counter() - started)
    return best_s / BATCH * 1e6
