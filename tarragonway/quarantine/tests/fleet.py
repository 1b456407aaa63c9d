"""A fleet of gateways and engines on virtual time, for tests without network.

Load pattern: most requests of a route are sound; some hold a part on which every engine
crashes, at some time after it has begun the answer. All share the first part, and the
harmful ones share a session with sound ones.
"""

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field

import msgspec

from tarragonway.quarantine import (
    CONTINUED_S,
    PartCrash,
    PartQuarantine,
    PartTimes,
    ProbeId,
)

REPORT_INTERVAL_S = 0.25
CHECK_INTERVAL_S = 0.05
RESTART_S = 3.0
COMMIT_S = 0.02
MAX_SENDS = 2
ASK_TIMEOUT_S = 0.25
RECONNECT_S = 1.0
RETOLD_CRASHES = 64


@dataclass
class FleetSpec:
    seed: int
    gateways: int
    engines: int = 12
    requests_per_s: float = 40.0
    sessions: int = 20
    harmful_share: float = 0.05
    harmful_from: float = 4.0
    harmful_to: float = 26.0
    harmful_position: int = 1
    harmful_parts: int = 1
    # Sound parts that all requests share, and those that only one request has.
    common_parts: int = 0
    own_parts: int = 0
    # Time from the beginning of an answer to the crash, and to the end of a sound one.
    crash_after_s: float = 0.0
    answer_s: float = 1.0
    # Share of that time by which the crash may come sooner, drawn for each.
    crash_jitter: float = 0.0
    innocent_from: float = 1.0
    innocent_crashes_per_s: float = 0.0
    # Requests at an engine whose connections are reset although it goes on.
    innocent_resets_per_s: float = 0.0
    max_delay_s: float = 0.02
    loss: float = 0.0
    leader_changes: tuple[float, ...] = ()
    gateway_restarts: tuple[float, ...] = ()
    end: float = 32.0


@dataclass(eq=False)
class Request:
    parts: tuple[str, ...]
    is_harmful: bool
    sent_at: float
    sends: int = 0
    probe: ProbeId | None = None
    first_began: bool = False
    content: str = ""
    began_at: float | None = None


@dataclass(eq=False)
class Engine:
    incarnation: int = 0
    is_up: bool = True
    running: list = field(default_factory=list)


class Gateway:
    def __init__(self, name):
        self.name = name
        self.held = None
        self.revision = -1
        self.continued = PartTimes()
        self.ended = PartTimes()
        self.crashes = []
        self.uninformed_until = 0.0
        self.watch_version = -1


@dataclass
class Run:
    """One send of a request, and the engine that got it."""

    engine: Engine
    incarnation: int
    gateway: Gateway
    request: Request
    sends: int

    @property
    def goes_on(self):
        is_same = self.engine.is_up and self.engine.incarnation == self.incarnation
        is_running = (self.gateway, self.request) in self.engine.running
        return is_same and is_running and self.request.sends == self.sends


class Fleet:
    def __init__(self, spec: FleetSpec):
        self.spec = spec
        self.random = random.Random(spec.seed)
        self.now = 0.0
        self.queue = []
        self.order = itertools.count()
        self.leader = PartQuarantine()
        self.term = 1
        self.committed = {}
        self.proposed = {}
        self.revision = 0
        self.probes = itertools.count(1)
        self.gateways = [Gateway(f"g{n}") for n in range(spec.gateways)]
        self.engines = [Engine() for _ in range(spec.engines)]
        self.harmful_crashes = []
        self.harmful_arrivals = []
        self.requests = []
        self.ever_held = set()

    def run(self):
        spec = self.spec
        for gateway in self.gateways:
            self.at(0.0, self.inform, gateway, 0, ())
            self.at(self.random.random() * REPORT_INTERVAL_S, self.report, gateway)
        self.at(0.0, self.arrive)
        self.at(0.0, self.decide)
        if spec.innocent_crashes_per_s:
            self.at(spec.innocent_from, self.crash_innocently)
        if spec.innocent_resets_per_s:
            self.at(spec.innocent_from, self.reset_innocently)
        for time in spec.leader_changes:
            self.at(time, self.change_leader)
        for time in spec.gateway_restarts:
            self.at(time, self.restart_gateway)
        while self.queue and self.queue[0][0] < spec.end:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        return self

    def at(self, time, call, *arguments):
        heapq.heappush(self.queue, (time, next(self.order), call, arguments))

    def deliver(self, call, *arguments):
        """Deliver a message between processes late, or never."""
        if self.random.random() >= self.spec.loss:
            delay_s = self.random.uniform(0.001, self.spec.max_delay_s)
            self.at(self.now + delay_s, call, *arguments)

    def report_until_received(self, call, *arguments):
        """Deliver a gateway's report, and again after its link was lost."""
        if self.random.random() < self.spec.loss:
            delay_s = RECONNECT_S
            self.at(self.now + delay_s, self.report_until_received, call, *arguments)
            return
        delay_s = self.random.uniform(0.001, self.spec.max_delay_s)
        self.at(self.now + delay_s, call, *arguments)

    # Callers

    def arrive(self):
        spec = self.spec
        self.at(self.now + self.random.expovariate(spec.requests_per_s), self.arrive)
        session = f"session{self.random.randrange(spec.sessions)}"
        parts = ["first", *(f"common{n}" for n in range(spec.common_parts)), session]
        own = f"own{len(self.requests)}-"
        parts[1:1] = [f"{own}{n}" for n in range(spec.own_parts)]
        in_time = spec.harmful_from <= self.now < spec.harmful_to
        is_harmful = in_time and self.random.random() < spec.harmful_share
        if is_harmful:
            parts[-1] = "session0"
            name = f"harmful{self.random.randrange(spec.harmful_parts)}"
            parts.insert(spec.harmful_position, name)
        content = f"content{len(self.requests)}"
        request = Request(tuple(parts), is_harmful, self.now, content=content)
        self.requests.append(request)
        gateway = self.random.choice(self.gateways)
        if gateway.held is None:
            return
        if gateway.held.isdisjoint(parts):
            self.send(gateway, request)
        else:
            self.deliver(self.ask, self.term, gateway, request)

    def ask(self, term, gateway, request):
        if term != self.term:
            return
        probe = ProbeId(gateway.name, next(self.probes))
        if self.leader.request_probe(request.parts, probe, self.now) == 0:
            request.probe = probe
            self.deliver(self.send, gateway, request)
            self.at(self.now + ASK_TIMEOUT_S, self.time_out, request)

    def time_out(self, request):
        if not request.sends and request.probe is not None:
            probe, request.probe, request.sends = request.probe, None, MAX_SENDS
            self.report_until_received(self.leader.end_probe, probe)

    # Engines

    def send(self, gateway, request):
        engines = [engine for engine in self.engines if engine.is_up]
        if request.sends >= MAX_SENDS:
            return
        if not engines:
            if request.probe is not None:
                self.leader.end_probe(request.probe)
            return
        engine = self.random.choice(engines)
        request.sends += 1
        request.began_at = None
        engine.running.append((gateway, request))
        if request.is_harmful:
            in_touch = self.now >= gateway.uninformed_until
            self.harmful_arrivals.append((self.now, in_touch))
        delay_s = self.random.uniform(0.05, 0.6)
        run = Run(engine, engine.incarnation, gateway, request, request.sends)
        self.at(self.now + delay_s, self.begin, run)

    def begin(self, run):
        if not run.goes_on:
            return
        request = run.request
        request.began_at = self.now
        request.first_began = request.sends == 1
        if request.is_harmful:
            sooner = self.random.random() * self.spec.crash_jitter
            crash_after_s = self.spec.crash_after_s * (1 - sooner)
            self.at(self.now + crash_after_s, self.crash_on, run)
        else:
            self.at(self.now + self.spec.answer_s, self.end, run)
        self.at(self.now + CONTINUED_S, self.go_on, run)

    def go_on(self, run):
        if run.goes_on:
            lasted_s = self.now - run.request.began_at
            run.gateway.continued.record(run.request.parts, self.now, lasted_s)
            self.tell_held(run.gateway, run.request, self.record_continued)
            self.at(self.now + CONTINUED_S, self.go_on, run)

    def crash_on(self, run):
        if run.goes_on:
            self.harmful_crashes.append(self.now)
            self.crash(run.engine)

    def end(self, run):
        if run.goes_on:
            run.engine.running.remove((run.gateway, run.request))
            run.request.probe = None
            self.at(self.now + CONTINUED_S, self.record_calm_end, run)

    def record_calm_end(self, run):
        if run.engine.is_up and run.engine.incarnation == run.incarnation:
            run.gateway.ended.record(run.request.parts, self.now, 0.0)
            self.tell_held(run.gateway, run.request, self.record_ended)

    def tell_held(self, gateway, request, call):
        for part in (gateway.held or frozenset()).intersection(request.parts):
            self.deliver(call, self.term, part, self.now)

    def crash(self, engine):
        broken, engine.running, engine.is_up = engine.running, [], False
        self.at(self.now + RESTART_S, self.restart_engine, engine)
        self.break_off(engine, broken)

    def break_off(self, engine, broken):
        """Report requests whose answers broke off, and send them again."""
        key = f"e{self.engines.index(engine)}@{engine.incarnation}"
        for gateway, request in broken:
            began_at = self.now if request.began_at is None else request.began_at
            lasted_s = self.now - began_at
            crash = PartCrash(key, request.content, self.now, self.now, lasted_s)
            gateway.crashes.append((request.parts, crash))
            self.report_until_received(
                self.record_crash, self.term, request.parts, crash, request.probe
            )
            was_probe, request.probe = request.probe is not None, None
            is_held = bool(gateway.held and not gateway.held.isdisjoint(request.parts))
            if request.sends < MAX_SENDS and not was_probe and not is_held:
                self.send(gateway, request)

    def restart_engine(self, engine):
        engine.incarnation += 1
        engine.is_up = True

    def crash_innocently(self):
        delay_s = self.random.expovariate(self.spec.innocent_crashes_per_s)
        self.at(self.now + delay_s, self.crash_innocently)
        engine = self.random.choice(self.engines)
        if engine.is_up:
            self.crash(engine)

    def reset_innocently(self):
        delay_s = self.random.expovariate(self.spec.innocent_resets_per_s)
        self.at(self.now + delay_s, self.reset_innocently)
        engine = self.random.choice(self.engines)
        broken = [row for row in engine.running if self.random.random() < 0.5]
        engine.running = [row for row in engine.running if row not in broken]
        self.break_off(engine, broken)

    # Leader

    def record_crash(self, term, parts, crash, probe):
        if term == self.term:
            told = msgspec.structs.replace(crash, reported_at=self.now)
            self.leader.record_crash(parts, told, probe)

    def record_continued(self, term, part, continued_at, lasted_s=0.0):
        if term == self.term:
            self.leader.record_lasted(part, lasted_s, continued_at)

    def record_ended(self, term, part, ended_at, _=0.0):
        if term == self.term:
            self.leader.record_ended(part, ended_at)

    def decide(self):
        self.at(self.now + CHECK_INTERVAL_S, self.decide)
        self.leader.update(self.now)
        self.ever_held.update(self.leader.held)
        if self.leader.held != self.proposed:
            self.proposed = self.leader.held
            self.at(self.now + COMMIT_S, self.commit, self.term, self.proposed)

    def commit(self, term, held):
        if term != self.term:
            return
        self.committed = held
        self.revision += 1
        for gateway in self.gateways:
            delay_s = self.random.uniform(0.001, self.spec.max_delay_s)
            self.at(
                self.now + delay_s, self.inform, gateway, self.revision, tuple(held)
            )

    def change_leader(self):
        self.term += 1
        self.leader = PartQuarantine()
        self.leader.restore(self.committed, self.now)
        self.proposed = self.committed
        for gateway in self.gateways:
            gateway.watch_version = -1
            gateway.continued.report_again()
            gateway.ended.report_again()
            for parts, crash in gateway.crashes[-RETOLD_CRASHES:]:
                self.deliver(self.record_crash, self.term, parts, crash, None)

    # Gateways

    def inform(self, gateway, revision, held):
        if revision > gateway.revision:
            gateway.revision, gateway.held = revision, frozenset(held)

    def report(self, gateway):
        self.at(self.now + REPORT_INTERVAL_S, self.report, gateway)
        for times, call in (
            (gateway.continued, self.record_continued),
            (gateway.ended, self.record_ended),
        ):
            for part, (age_s, lasted_s) in times.take(self.now).items():
                at = self.now - age_s
                self.report_until_received(call, self.term, part, at, lasted_s)
        if gateway.watch_version != self.leader.watch_version:
            version, watched = self.leader.watch_version, self.leader.watched
            self.deliver(self.watch, gateway, version, watched)

    def watch(self, gateway, version, watched):
        gateway.watch_version = version
        gateway.continued.watch(watched)
        gateway.ended.watch(watched)

    def restart_gateway(self):
        index = self.random.randrange(len(self.gateways))
        gateway = self.gateways[index] = Gateway(f"g{index}+{self.now}")
        self.at(self.now + 0.5, self.inform, gateway, self.revision, self.committed)
        self.at(self.now + 0.5, self.report, gateway)

    # Outcomes

    def count_late_arrivals(self, contact_s, crashes=5):
        """Count harmful sends later than ``contact_s`` after the fifth crash."""
        if len(self.harmful_crashes) < crashes:
            return 0
        limit = self.harmful_crashes[crashes - 1] + contact_s
        return sum(at > limit for at, in_touch in self.harmful_arrivals if in_touch)

    def compute_served(self, start, end, part="first"):
        """Return the fraction of sound requests whose first send began."""
        sound = [
            request.first_began
            for request in self.requests
            if start <= request.sent_at < end
            and not request.is_harmful
            and part in request.parts
        ]
        return sum(sound) / len(sound) if sound else math.nan
