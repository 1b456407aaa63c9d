"""Measures the processor time of one admission decision under overload."""

import random
import time

from bench.measurements import Comparison, compute_percentile_ms
from tarragonway.coordinator.quotas import QuotaBuckets, QuotaPolicy
from tarragonway.core.ids import AccountId, ServiceName
from tarragonway.exchange import Load
from tarragonway.links.messages import QuotaRequest
from tarragonway.overload import AdmittedRow, LoadKey, LoadShedder
from tarragonway.routes.model import Account

ACCOUNTS = 16
# Largest processor time of one decision (docs/HARD-LOAD.md).
MAX_DECISION_US = 50.0
REQUESTS_PER_S = 2000
PATTERN = [(0, 12_000.0), (2, 2_400.0), (2, 2_400.0), (2, 1_500.0), (1, 200.0)]


def measure_admission(seed: int, quick: bool) -> list[Comparison]:
    """Measure decisions on quotas that all accounts exceed, and on a full service.

    The divisions of the quotas are made between the requests, as the leader makes them.
    """
    source = random.Random(seed)
    number = 20_000 if quick else 100_000
    rows = []
    for name, taken_s in (
        ("quota", _measure_quotas(source, number)),
        ("shedding", _measure_shedding(source, number)),
    ):
        figures = {
            "median": compute_percentile_ms(taken_s, 50) * 1000,
            "mean": sum(taken_s) / len(taken_s) * 1e6,
            "p99": compute_percentile_ms(taken_s, 99) * 1000,
        }
        rows += [
            Comparison(
                "admission", f"{name} decision {f}", "bound", MAX_DECISION_US, us, "us"
            )
            for f, us in figures.items()
        ]
    return rows


def _measure_quotas(source: random.Random, number: int) -> list[float]:
    """Return the seconds that each of the leader's decisions takes."""
    accounts = {
        AccountId(f"a{n}"): Account(
            AccountId(f"a{n}"), (), counts_tokens=True, per_s=36_000.0, burst=36_000.0
        )
        for n in range(ACCOUNTS)
    }
    buckets = QuotaBuckets(QuotaPolicy(8.0, 0.1, 140_000.0))
    taken_s: list[float] = []
    for index in range(number):
        priority, units = source.choice(PATTERN)
        account = source.choice(list(accounts))
        request = QuotaRequest(index, account, units, priority, 2.5)
        if not index % (REQUESTS_PER_S // 20):
            buckets.update_divisions(accounts, index / REQUESTS_PER_S)
        started = time.perf_counter()
        buckets.handle_request(request, accounts, index / REQUESTS_PER_S)
        taken_s.append(time.perf_counter() - started)
    return taken_s


def _measure_shedding(source: random.Random, number: int) -> list[float]:
    """Return the seconds that each decision of a gateway takes."""
    service = ServiceName("s")
    keys = [
        LoadKey(rank, rank, AccountId(f"a{n}"))
        for n in range(ACCOUNTS)
        for rank in (0, 1, 2)
    ]
    rows = tuple(AdmittedRow(key.account, key.rank, key.priority, 50) for key in keys)
    shedder = LoadShedder(source)
    taken_s: list[float] = []
    for index in range(number):
        now = index / REQUESTS_PER_S
        shedder.set_admitted(1, {service: rows} if not index else None, now)
        shedder.record_load(service, Load(12, 3, 12), now)
        key = source.choice(keys)
        started = time.perf_counter()
        shedder.record_offered(service, key, 0.3, now)
        shedder.decide(service, key, 2.5, now)
        taken_s.append(time.perf_counter() - started)
    return taken_s
