"""Compares the decision algorithms with simple baselines in simulated time."""

import random

from bench.measurements import Comparison, compute_percentile_ms
from bench.simulation import (
    SLOTS_PER_SERVER,
    Job,
    Server,
    Simulation,
    SimulationResult,
    make_trace,
)
from tarragonway.capacity import (
    CapacityPolicy,
    Offer,
    plan_capacity,
    plan_cheapest_zone,
    plan_on_demand,
)
from tarragonway.capacity.plan import compute_cost, count_slots_after_zone_loss
from tarragonway.core.ids import AccountId, EndpointId, ProcessName, ZoneName
from tarragonway.limits import FairQueue, Limit, ShareLedger
from tarragonway.limits.messages import ShareRequest
from tarragonway.limits.queue import QueueEntry
from tarragonway.retries import RetryBudget
from tarragonway.routing import (
    Candidate,
    LoadTracker,
    RoutingPolicy,
    select_endpoint,
)

REPORT_INTERVAL_S = 1.0


def measure_routing(seed: int, quick: bool) -> list[Comparison]:
    """Compare routing policies on interactive requests while a batch runs.

    One of six replicas is slow. Load reports are sent every ``REPORT_INTERVAL_S`` and
    contain the load of one interval before.
    """
    seconds = 60 if quick else 240
    rows = []
    ours = _simulate_routing("ours", seed, seconds)
    for baseline in ("round robin", "least reported", "random two", "no affinity"):
        other = _simulate_routing(baseline, seed, seconds)
        for figure, percent in (("p50", 50), ("p95", 95), ("p99", 99)):
            rows.append(
                Comparison(
                    "routing",
                    f"quick question {figure}",
                    baseline,
                    compute_percentile_ms(other.quick_s, percent),
                    compute_percentile_ms(ours.quick_s, percent),
                    "ms",
                )
            )
        rows.append(
            Comparison(
                "routing",
                "prefix cache hits",
                baseline,
                100 * other.hits / other.total,
                100 * ours.hits / ours.total,
                "%",
            )
        )
    return rows


def _simulate_routing(name: str, seed: int, seconds: float) -> SimulationResult:
    source = random.Random(seed)
    jobs = make_trace(source, seconds, 1.0)
    servers = [Server(f"e{n}", "abc"[n % 3], waiting=[], cache=set()) for n in range(6)]
    servers[0].speed = 0.4
    tracker = LoadTracker()
    turns = iter(range(10**9))

    def choose(job: Job, available: list[Server]) -> Server:
        if name == "round robin":
            return available[next(turns) % len(available)]
        if name == "least reported":
            return min(available, key=lambda s: s.reported)
        if name == "random two":
            return min(source.sample(available, 2), key=lambda s: s.reported)
        ids = [EndpointId(s.name) for s in available]
        speeds = tracker.compute_speeds(ids)
        candidates = [
            Candidate(
                key,
                ZoneName(s.zone),
                tracker.get_expected(key),
                SLOTS_PER_SERVER,
                speed,
            )
            for key, s, speed in zip(ids, available, speeds, strict=True)
        ]
        prefix = "" if name == "no affinity" else job.prefix
        chosen = select_endpoint(
            candidates, prefix, ZoneName("a"), True, RoutingPolicy(), source
        )
        if chosen is None:
            chosen = min(candidates, key=lambda c: c.expected).id
        tracker.record_start(chosen)
        return next(s for s in available if s.name == chosen)

    def on_report(server: Server) -> None:
        tracker.record_report(EndpointId(server.name), server.reported)

    def on_end(server: Server, job: Job, work_s: float) -> None:
        if name in ("ours", "no affinity"):
            tracker.record_end(EndpointId(server.name), False, 0.0)
            # The inter-token latency does not depend on how much of the prefix is
            # cached, so it follows from the speed alone.
            tracker.record_latency(EndpointId(server.name), 1 / server.speed)

    return Simulation(servers, choose, on_report, on_end, REPORT_INTERVAL_S).run(jobs)


def measure_queue(seed: int, quick: bool) -> list[Comparison]:
    """Compare queue positions of ten accounts' requests behind 2,000 of another one."""
    queue: FairQueue[int] = FairQueue()
    fifo: list[str] = []
    for number in range(2000):
        queue.push(QueueEntry(AccountId("large"), 5, 1.0, 1e9, number))
        fifo.append("large")
    for number in range(10):
        queue.push(QueueEntry(AccountId(f"small-{number}"), 5, 1.0, 1e9, number))
        fifo.append(f"small-{number}")
    fair_positions = []
    for position in range(2010):
        entry = queue.pop(0.0)
        assert entry is not None
        if entry.account.startswith("small"):
            fair_positions.append(position)
    fifo_max = max(i for i, name in enumerate(fifo) if name != "large")
    return [
        Comparison(
            "queue",
            "places a small account waits",
            "FIFO",
            fifo_max,
            max(fair_positions),
            "",
        )
    ]


def measure_retries(seed: int, quick: bool) -> list[Comparison]:
    """Measure the attempts sent for each request while every endpoint fails."""
    budget = RetryBudget()
    sent = 0
    requests = 5000
    for _ in range(requests):
        budget.deposit()
        sent += 1
        while budget.withdraw():
            sent += 1
    return [
        Comparison(
            "retries", "sent per request", "3 tries at once", 3.0, sent / requests, ""
        )
    ]


def measure_shares(seed: int, quick: bool) -> list[Comparison]:
    """Measure a rate limit that 8 entry processes share with uneven demand.

    One process is lost from 75 s to 150 s of simulated time.
    """
    source = random.Random(seed)
    ledger = ShareLedger(3.0, entries=8)
    limit = Limit(100.0, 40)
    demands = [60.0, 20.0, 5.0, 5.0, 2.0, 2.0, 1.0, 0.0]
    held_rates: dict[int, tuple[float, float]] = {}
    max_rate_sum = 0.0
    admitted = 0.0
    admitted_static = 0.0
    steps = 400
    for step in range(steps):
        now = step * 0.75
        for entry, demand in enumerate(demands):
            if entry == 1 and 100 <= step < 200:
                continue
            wanted = demand * source.uniform(0.8, 1.2)
            request = ShareRequest(AccountId("a"), wanted, 0)
            name = ProcessName(f"entry-{entry}")
            grant = ledger.grant_shares(name, (request,), lambda _: limit, now)[0]
            held_rates[entry] = (grant.per_s, now + 3.0)
            admitted += min(wanted, grant.per_s)
            admitted_static += min(wanted, limit.per_s / 8)
        total = sum(rate for rate, end in held_rates.values() if end > now)
        max_rate_sum = max(max_rate_sum, total)
    return [
        Comparison(
            "shares",
            "admitted of the demand",
            "static parts",
            admitted_static,
            admitted,
            "req",
        ),
        Comparison(
            "shares",
            "largest sum of shares",
            "limit",
            limit.per_s,
            max_rate_sum,
            "req/s",
        ),
    ]


def measure_capacity(seed: int, quick: bool) -> list[Comparison]:
    """Compare costs of capacity plans, and slots left after the worst zone loss.

    The measured plan must keep the needed slots when any one zone is reclaimed; the
    baselines need not.
    """
    offers = make_offers()
    needed = 40
    policy = CapacityPolicy()
    ours = plan_capacity(offers, needed, policy)
    plans = {
        "on-demand only": plan_on_demand(offers, needed),
        "cheapest zone only": plan_cheapest_zone(offers, needed),
    }
    rows = []
    for name, plan in plans.items():
        rows += [
            Comparison(
                "capacity",
                "cost an hour",
                name,
                compute_cost(plan),
                compute_cost(ours),
                "",
            ),
            Comparison(
                "capacity",
                "slots left after the worst zone",
                name,
                count_slots_after_zone_loss(plan),
                count_slots_after_zone_loss(ours),
                "",
            ),
        ]
    return rows


def make_offers() -> list[Offer]:
    """Return reclaimable and on-demand offers in three zones at different prices."""
    offers = []
    for zone, price in (("a", 1.0), ("b", 1.3), ("c", 1.9)):
        offers.append(Offer(ZoneName(zone), "gpu-8", True, price, 8, 6))
        offers.append(Offer(ZoneName(zone), "gpu-8", False, price * 3.2, 8, 20))
    return offers
