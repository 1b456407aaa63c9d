"""A burst at 36 engines and 68 gateways whose figures are old, without a network."""

import collections
import heapq
import itertools
import random

from tarragonway.core.counters import Counters
from tarragonway.exchange import Load
from tarragonway.overload import LoadKey, LoadShedder, SheddingPlanner

ENGINES, SLOTS, GATEWAYS = 36, 12, 68
BURST_START, BURST_END, END = 4.0, 10.0, 14.0
# Requests per second, work in seconds, deadline, latency objective, by rank.
KINDS = {0: (46.3, 0.2, 12.68, 0.845), 2: (279.0, 0.04, 2.537, 1.522)}
ACCOUNTS = [f"a{n}" for n in range(16)]
DELAY_S = 0.03


class Engine:
    def __init__(self):
        self.running = 0
        self.waiting = collections.deque()


class Burst:
    """Requests arrive at gateways, which send them to the engine that seems free."""

    def __init__(self, seed, sheds, factor):
        self.random = random.Random(seed)
        self.sheds = sheds
        self.engines = [Engine() for _ in range(ENGINES)]
        self.known = [[0.0] * ENGINES for _ in range(GATEWAYS)]
        self.shedders = [LoadShedder(self.random) for _ in range(GATEWAYS)]
        self.planner = SheddingPlanner(lambda: {"s": float(ENGINES)}, Counters())
        self.numbers = itertools.count()
        self.queue = []
        self.results = []
        self.harmful = 0
        for number in range(GATEWAYS):
            self.add(number / GATEWAYS / 4, self.tick, number, 0)
        for rank, (rate, *_) in KINDS.items():
            at = 0.0
            while at < END:
                in_burst = BURST_START <= at < BURST_END
                at += self.random.expovariate(rate * (factor if in_burst else 1.0))
                account = self.random.choice(ACCOUNTS)
                self.add(at, self.arrive, rank, account, at, at)
        while self.queue:
            now, _, action, arguments = heapq.heappop(self.queue)
            action(now, *arguments)

    def add(self, at, action, *arguments):
        heapq.heappush(self.queue, (at, next(self.numbers), action, arguments))

    def tick(self, now, gateway, sequence):
        """Report to the leader, which replies after the delay of the network."""
        if now > END:
            return
        shedder = self.shedders[gateway]
        offered = shedder.list_offered(sequence % 8 == gateway % 8, now)
        if offered is not None:
            self.planner.record(f"g{gateway}", offered, now)
        admitted = self.planner.list_admitted(shedder.version, now)
        reply = (self.planner.version, admitted)
        self.add(now + DELAY_S, lambda at: shedder.set_admitted(*reply, at))
        self.add(now + 0.25, self.tick, gateway, sequence + 1)

    def arrive(self, now, rank, account, first_at, arrived):
        gateway = self.random.randrange(GATEWAYS)
        shedder, known = self.shedders[gateway], self.known[gateway]
        key = LoadKey(rank, rank, account)
        _, work_s, deadline_s, _ = KINDS[rank]
        shedder.record_offered("s", key, work_s, now)
        left_s = first_at + deadline_s - now
        return_s = shedder.decide("s", key, left_s, now) if self.sheds else 0.0
        if return_s > 0:
            taken = sum(engine.running for engine in self.engines)
            waits = any(engine.waiting for engine in self.engines)
            self.harmful += taken < ENGINES * SLOTS / 2 and not waits
            if arrived == first_at and return_s < left_s:
                back = now + return_s
                self.add(back, self.arrive, rank, account, first_at, back)
            else:
                self.results.append((rank, account, first_at, None))
            return
        least = min(known)
        chosen = self.random.choice([n for n, x in enumerate(known) if x <= least + 1])
        known[chosen] += 1
        self.add(
            now + DELAY_S, self.reach, chosen, gateway, rank, account, first_at, now
        )

    def reach(self, now, number, *request):
        engine = self.engines[number]
        if engine.running < SLOTS:
            self.start(now, number, *request)
        else:
            engine.waiting.append(request)

    def start(self, now, number, gateway, rank, account, first_at, sent_at):
        """Start a request; its gateway hears of the load with the first event."""
        engine = self.engines[number]
        engine.running += 1
        load = Load(engine.running, len(engine.waiting), SLOTS)
        self.add(now + DELAY_S, self.hear, gateway, number, load)
        self.results.append((rank, account, first_at, now - sent_at))
        self.add(now + SLOTS * KINDS[rank][1], self.end, number)

    def hear(self, now, gateway, number, load):
        self.known[gateway][number] = load.running + load.waiting
        self.shedders[gateway].record_load("s", load, now)

    def end(self, now, number):
        engine = self.engines[number]
        engine.running -= 1
        if engine.waiting:
            self.start(now, number, *engine.waiting.popleft())

    def list_burst(self, **wanted):
        """Return the results of the burst's requests of a rank or an account."""
        return [
            row
            for row in self.results
            if BURST_START <= row[2] < BURST_END
            and row[0] == wanted.get("rank", row[0])
            and row[1] == wanted.get("account", row[1])
        ]


def compute_in_time(rows):
    return sum(
        wait is not None and wait <= KINDS[rank][3] for rank, _, _, wait in rows
    ) / len(rows)


def compute_served(rows):
    return sum(wait is not None for *_, wait in rows) / len(rows)


# Guards against urgent streams that wait behind the queue of short ones.
def test_urgent_requests_are_served_in_time_in_a_burst():
    shed, unshed = (Burst(1, sheds, 2.5) for sheds in (True, False))
    assert shed.harmful == 0
    assert compute_in_time(shed.list_burst(rank=0)) >= 1.3 * compute_in_time(
        unshed.list_burst(rank=0)
    )
    overall = compute_served(shed.list_burst())
    for rank in KINDS:
        assert compute_served(shed.list_burst(rank=rank)) >= overall / 4
    for account in ACCOUNTS:
        assert compute_served(shed.list_burst(account=account)) >= overall / 4


# Guards against refusals while the service has room.
def test_load_within_the_capacity_is_not_shed():
    assert compute_served(Burst(3, True, 1.5).results) == 1.0
