"""The decision code against plain baselines, replayed on a virtual clock."""

import random

from bench.model import SLOTS, Job, Replay, Result, Server, make_trace
from bench.tables import Row, compute_percentile_ms
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

REPORT_LAG_S = 1.0


def measure_routing(seed: int, quick: bool) -> list[Row]:
    """Quick questions while a batch runs, one replica slow, reports lagging."""
    seconds = 60 if quick else 240
    rows = []
    ours = _replay_routing("ours", seed, seconds)
    for baseline in ("round robin", "least reported", "random two", "no affinity"):
        other = _replay_routing(baseline, seed, seconds)
        for figure, percent in (("p50", 50), ("p95", 95), ("p99", 99)):
            rows.append(
                Row(
                    "routing",
                    f"quick question {figure}",
                    baseline,
                    compute_percentile_ms(other.quick_s, percent),
                    compute_percentile_ms(ours.quick_s, percent),
                    "ms",
                )
            )
        rows.append(
            Row(
                "routing",
                "prefix cache hits",
                baseline,
                100 * other.hits / other.total,
                100 * ours.hits / ours.total,
                "%",
            )
        )
    return rows


def _replay_routing(name: str, seed: int, seconds: float) -> Result:
    source = random.Random(seed)
    jobs = make_trace(source, seconds, 1.0)
    servers = [Server(f"e{n}", "abc"[n % 3], waiting=[], cache=set()) for n in range(6)]
    servers[0].speed = 0.4
    tracker = LoadTracker()
    turn = iter(range(10**9))

    def choose(job: Job, live: list[Server]) -> Server:
        if name == "round robin":
            return live[next(turn) % len(live)]
        if name == "least reported":
            return min(live, key=lambda s: s.reported)
        if name == "random two":
            return min(source.sample(live, 2), key=lambda s: s.reported)
        ids = [EndpointId(s.name) for s in live]
        speeds = tracker.compute_speeds(ids)
        candidates = [
            Candidate(key, ZoneName(s.zone), tracker.get_expected(key), SLOTS, speed)
            for key, s, speed in zip(ids, live, speeds, strict=True)
        ]
        prefix = "" if name == "no affinity" else job.prefix
        chosen = select_endpoint(
            candidates, prefix, ZoneName("a"), True, RoutingPolicy(), source
        )
        if chosen is None:
            chosen = min(candidates, key=lambda c: c.expected).id
        tracker.record_start(chosen)
        return next(s for s in live if s.name == chosen)

    def on_report(server: Server) -> None:
        tracker.record_report(EndpointId(server.name), server.reported)

    def on_end(server: Server, job: Job, work_s: float) -> None:
        if name in ("ours", "no affinity"):
            tracker.record_end(EndpointId(server.name), False, 0.0)
            # A token's pace does not depend on how much of the prefix was cached.
            tracker.record_latency(EndpointId(server.name), 1 / server.speed)

    return Replay(servers, choose, on_report, on_end, REPORT_LAG_S).run(jobs)


def measure_queue(seed: int, quick: bool) -> list[Row]:
    """One account hands in 2,000 requests; ten others one each after it."""
    queue: FairQueue[int] = FairQueue()
    fifo: list[str] = []
    for number in range(2000):
        queue.push(QueueEntry(AccountId("large"), 5, 1.0, 1e9, number))
        fifo.append("large")
    for number in range(10):
        queue.push(QueueEntry(AccountId(f"small-{number}"), 5, 1.0, 1e9, number))
        fifo.append(f"small-{number}")
    waits = []
    for position in range(2010):
        entry = queue.pop(0.0)
        assert entry is not None
        if entry.account.startswith("small"):
            waits.append(position)
    before = max(i for i, name in enumerate(fifo) if name != "large")
    return [
        Row("queue", "places a small account waits", "FIFO", before, max(waits), "")
    ]


def measure_retries(seed: int, quick: bool) -> list[Row]:
    """Count requests sent per request while every endpoint fails."""
    budget = RetryBudget()
    sent = 0
    requests = 5000
    for _ in range(requests):
        budget.deposit()
        sent += 1
        while budget.withdraw():
            sent += 1
    return [
        Row("retries", "sent per request", "3 tries at once", 3.0, sent / requests, "")
    ]


def measure_shares(seed: int, quick: bool) -> list[Row]:
    """One limit over 8 entry processes with uneven demand, one of them lost."""
    source = random.Random(seed)
    ledger = ShareLedger(3.0, entries=8)
    limit = Limit(100.0, 40)
    demands = [60.0, 20.0, 5.0, 5.0, 2.0, 2.0, 1.0, 0.0]
    held: dict[int, tuple[float, float]] = {}
    worst = 0.0
    admitted = 0.0
    static = 0.0
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
            held[entry] = (grant.per_s, now + 3.0)
            admitted += min(wanted, grant.per_s)
            static += min(wanted, limit.per_s / 8)
        total = sum(rate for rate, end in held.values() if end > now)
        worst = max(worst, total)
    return [
        Row(
            "shares", "admitted of the demand", "static parts", static, admitted, "req"
        ),
        Row("shares", "largest sum of shares", "limit", limit.per_s, worst, "req/s"),
    ]


def measure_capacity(seed: int, quick: bool) -> list[Row]:
    """Cost of a plan that keeps the target when its worst zone is lost."""
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
            Row(
                "capacity",
                "cost an hour",
                name,
                compute_cost(plan),
                compute_cost(ours),
                "",
            ),
            Row(
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
    """Return three zones with differing prices, reclaimable and on-demand."""
    offers = []
    for zone, price in (("a", 1.0), ("b", 1.3), ("c", 1.9)):
        offers.append(Offer(ZoneName(zone), "gpu-8", True, price, 8, 6))
        offers.append(Offer(ZoneName(zone), "gpu-8", False, price * 3.2, 8, 20))
    return offers
