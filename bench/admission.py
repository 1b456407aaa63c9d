"""Measures the processor time of one admission decision under overload."""

import random
import time

from bench.measurements import Comparison, compute_percentile_ms
from tarragonway.coordinator.quotas import QuotaBuckets, QuotaPolicy
from tarragonway.core.ids import AccountId
from tarragonway.links.messages import QuotaRequest
from tarragonway.routes.model import Account

ACCOUNTS = 16
# Largest processor time of one decision (docs/HARD-LOAD.md).
MAX_DECISION_US = 50.0
REQUESTS_PER_S = 2000
PATTERN = [(0, 12_000.0), (2, 2_400.0), (2, 2_400.0), (2, 1_500.0), (1, 200.0)]


def measure_admission(seed: int, quick: bool) -> list[Comparison]:
    """Measure decisions of the leader on quotas that all accounts exceed.

    The mean and the p99 include the divisions of the quotas, which are made ten times a
    second for each account, by the request that finds the last one too old.
    """
    source = random.Random(seed)
    accounts = {
        AccountId(f"a{n}"): Account(
            AccountId(f"a{n}"), (), counts_tokens=True, per_s=36_000.0, burst=36_000.0
        )
        for n in range(ACCOUNTS)
    }
    buckets = QuotaBuckets(QuotaPolicy(8.0, 0.1, 140_000.0))
    requests = []
    for number in range(20_000 if quick else 100_000):
        priority, units = source.choice(PATTERN)
        account = source.choice(list(accounts))
        requests.append(QuotaRequest(number, account, units, priority, 2.5))
    taken_s: list[float] = []
    for number, request in enumerate(requests):
        started = time.perf_counter()
        buckets.handle_request(request, accounts, number / REQUESTS_PER_S)
        taken_s.append(time.perf_counter() - started)
    figures = {
        "median": compute_percentile_ms(taken_s, 50) * 1000,
        "mean": sum(taken_s) / len(taken_s) * 1e6,
        "p99": compute_percentile_ms(taken_s, 99) * 1000,
    }
    return [
        Comparison(
            "admission", f"quota decision {figure}", "bound", MAX_DECISION_US, us, "us"
        )
        for figure, us in figures.items()
    ]
