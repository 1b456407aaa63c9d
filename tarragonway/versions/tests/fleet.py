"""Gateways, coordinators and endpoints on virtual time, for tests without network.

Load pattern: callers read streams that break off, and take them up at any gateway.
Meanwhile releases replace endpoints by others of further versions, which may crash for
good. Gateways and coordinators are killed one by one or all at once, there is no leader
for some time, gateways are out of touch with all coordinators, and messages are late or
lost. A gateway whose list is old reads the platform's list itself.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from tarragonway.consensus.tests.cluster import FakeDisk
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.versions import (
    OriginRecords,
    StreamOrigin,
    VersionHistory,
    count_by_version,
    decide_origin,
    is_in_history,
    list_beginnable,
    needs_record,
)
from tarragonway.versions.record_files import RecordFiles, StoredRecord

SERVICE = "s"
ENDPOINTS = 12
COORDINATORS = 3
MAX_LIST_AGE_S = 1.5
LIST_INTERVAL_S = 0.4
LIST_LAG_S = 0.8
FLUSH_S = 0.1
SYNC_S = 0.2
FIRST_EVENT_S = 0.3
RESTART_S = 1.0
TAKE_UP_S = 0.4
MAX_TRIES = 4
STREAM_LIFETIME_S = 15.0


@dataclass
class FleetSpec:
    seed: int
    gateways: int
    streams_per_s: float = 20.0
    breaks: float = 0.3
    max_break_s: float = 2.0
    releases: tuple[tuple[float, float], ...] = ()
    gateway_kills: tuple[tuple[float, float], ...] = ()
    coordinator_kills: tuple[tuple[float, float], ...] = ()
    # Times at which all gateways and coordinators lose power, and the numbers of
    # coordinators whose disks are lost with it.
    power_losses: tuple[tuple[float, int], ...] = ()
    leader_changes: tuple[float, ...] = ()
    # Times at which the endpoints of the newest version are lost for good.
    losses: tuple[float, ...] = ()
    # Starts and durations of the times without a leader or any other coordinator.
    outages: tuple[tuple[float, float], ...] = ()
    # Starts, durations and shares of the gateways that reach no coordinator.
    cuts: tuple[tuple[float, float, float], ...] = ()
    loss: float = 0.0
    max_delay_s: float = 0.05
    is_guarded: bool = True
    end: float = 30.0


@dataclass(eq=False)
class Coordinator:
    disk: FakeDisk = field(default_factory=FakeDisk)
    unwritten: list = field(default_factory=list)
    records: OriginRecords = field(default_factory=OriginRecords)
    history: VersionHistory = field(default_factory=VersionHistory)
    is_up: bool = True

    def __post_init__(self):
        self.files = RecordFiles(self.disk)


@dataclass
class Gateway:
    incarnation: int = 0
    is_up: bool = True
    rows: dict = field(default_factory=dict)
    list_read_at: float = 0.0
    cut_until: float = 0.0
    revision: int = 0
    history: dict | None = None
    records: OriginRecords = field(default_factory=OriginRecords)


@dataclass
class Stream:
    key: int
    versions: list = field(default_factory=list)
    tries: int = 0
    first_event_at: float = 0.0


class Fleet:
    """Plays one drawn history; ``streams`` are what the callers got."""

    def __init__(self, spec):
        self.spec = spec
        self.random = random.Random(spec.seed)
        self.now = 0.0
        self.queue = []
        self.numbers = itertools.count(1)
        self.endpoints = [self.make_endpoint("v1") for _ in range(ENDPOINTS)]
        self.listed = [(0.0, list(self.endpoints))]
        self.coordinators = [Coordinator() for _ in range(COORDINATORS)]
        self.leader = 0
        self.outage_until = 0.0
        # What the replicated log holds, which no kill removes.
        self.committed = {}
        self.revision = 0
        self.gateways = [Gateway() for _ in range(spec.gateways)]
        self.streams = []
        self.take_ups = self.resumed = 0
        # The same of streams that began before the last loss of power.
        self.power_lost_at = -1.0
        self.old_take_ups = self.old_resumed = 0

    def make_endpoint(self, version):
        name = f"e{next(self.numbers)}"
        return ListedEndpoint(
            name, name, SERVICE, "10.0.0.1:1", "z", 64, False, version=version
        )

    def at(self, time, action, *arguments):
        heapq.heappush(self.queue, (time, next(self.numbers), action, arguments))

    def send(self, action, *arguments):
        """Deliver a message late, or never."""
        if self.random.random() >= self.spec.loss:
            delay = self.random.uniform(0.001, self.spec.max_delay_s)
            self.at(self.now + delay, action, *arguments)

    def play(self):
        spec = self.spec
        self.at(0.0, self.read_list)
        self.plan_faults()
        for gateway in self.gateways:
            self.at(self.random.random(), self.check_list_age, gateway)
        for number in range(int(spec.end * spec.streams_per_s)):
            self.at(2.0 + number / spec.streams_per_s, self.begin_stream, number)
        while self.queue:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        return self

    def plan_faults(self):
        spec = self.spec
        for number, (time, share) in enumerate(spec.releases, 2):
            self.at(time, self.release, f"v{number}", share)
        for time, share in spec.gateway_kills:
            self.at(time, self.kill_gateways, share)
        for time, share in spec.coordinator_kills:
            self.at(time, self.kill_coordinators, share)
        for time, lost_disks in spec.power_losses:
            self.at(time, self.lose_power, lost_disks)
        for time in spec.losses:
            self.at(time, self.lose_newest_version)
        for time, duration_s in spec.outages:
            self.at(time, self.begin_outage, duration_s)
        for time, duration_s, share in spec.cuts:
            self.at(time, self.cut_gateways, duration_s, share)
        for time in spec.leader_changes:
            self.at(time, self.change_leader)

    # Platform and coordinators

    def release(self, version, share):
        count = max(1, int(share * len(self.endpoints)))
        for index in self.random.sample(range(len(self.endpoints)), count):
            self.endpoints[index] = self.make_endpoint(version)
        self.listed.append((self.now + LIST_LAG_S, list(self.endpoints)))

    def lose_newest_version(self):
        newest = max(row.version for row in self.endpoints)
        kept = [row for row in self.endpoints if row.version != newest]
        if kept:
            self.endpoints = kept
            self.listed.append((self.now + LIST_LAG_S, list(kept)))

    def get_listed(self):
        return next(rows for time, rows in reversed(self.listed) if time <= self.now)

    def begin_outage(self, duration_s):
        self.outage_until = max(self.outage_until, self.now + duration_s)

    def has_leader(self):
        return self.coordinators[self.leader].is_up and self.now >= self.outage_until

    def read_list(self):
        if self.now < self.spec.end + STREAM_LIFETIME_S:
            self.at(self.now + LIST_INTERVAL_S, self.read_list)
        if not self.has_leader():
            return
        leader = self.coordinators[self.leader]
        rows = self.get_listed()
        leader.history.observe(rows, self.now)
        if leader.history.versions != self.committed:
            self.committed = leader.history.versions
            self.revision += 1
        known = {row.key: row for row in rows if is_in_history(self.committed, row)}
        for gateway in self.gateways:
            # One link delivers both in this order.
            self.send(
                self.take_list,
                gateway,
                gateway.incarnation,
                known,
                self.now,
                self.revision,
                self.committed,
            )

    def take_list(self, gateway, incarnation, rows, read_at, revision, history):
        if gateway.incarnation != incarnation or self.now < gateway.cut_until:
            return
        if revision > gateway.revision:
            gateway.revision, gateway.history = revision, history
        if read_at >= gateway.list_read_at:
            gateway.rows, gateway.list_read_at = rows, read_at

    def change_leader(self):
        up = [n for n, c in enumerate(self.coordinators) if c.is_up]
        if not up:
            return
        self.leader = self.random.choice(up)
        leader = self.coordinators[self.leader]
        leader.history = VersionHistory()
        leader.history.restore(self.committed, self.now)

    def kill_coordinators(self, share):
        count = max(1, int(share * COORDINATORS))
        for number in self.random.sample(range(COORDINATORS), count):
            disk = self.coordinators[number].disk
            self.coordinators[number] = Coordinator(disk, is_up=False)
            self.at(self.now + RESTART_S, self.restart_coordinator, number)

    def lose_power(self, lost_disks):
        self.power_lost_at = self.now
        self.kill_coordinators(1.0)
        for number in self.random.sample(range(COORDINATORS), lost_disks):
            self.coordinators[number].disk = FakeDisk()
        self.kill_gateways(1.0)

    def restart_coordinator(self, number):
        coordinator = self.coordinators[number]
        coordinator.is_up = True
        coordinator.history.restore(self.committed, self.now)
        coordinator.files = RecordFiles(coordinator.disk)
        for record in coordinator.files.recover(self.now):
            lifetime_s = record.expires_at - self.now
            coordinator.records.add(record.key, record.origin, lifetime_s, self.now)
        for gateway in self.gateways:
            for key, origin, lifetime_s in list(gateway.records.list_live(self.now)):
                self.send(self.store, number, key, origin, lifetime_s)

    def store(self, number, key, origin, lifetime_s):
        coordinator = self.coordinators[number]
        if coordinator.is_up and self.now >= self.outage_until:
            coordinator.records.add(key, origin, lifetime_s, self.now)
            record = StoredRecord(key, origin, self.now + lifetime_s)
            if not coordinator.unwritten:
                delay = self.random.uniform(0.0, SYNC_S)
                self.at(self.now + delay, self.write_records, coordinator)
            coordinator.unwritten.append(record)

    def write_records(self, coordinator):
        # A coordinator that was killed meanwhile is another object.
        if coordinator in self.coordinators:
            coordinator.files.write(coordinator.unwritten, self.now)
            coordinator.unwritten = []

    # Gateways and callers

    def cut_gateways(self, duration_s, share):
        for gateway in self.gateways:
            if self.random.random() < share:
                gateway.cut_until = self.now + duration_s

    def check_list_age(self, gateway):
        """Read the platform's list at a gateway whose list is too old."""
        if self.now < self.spec.end + STREAM_LIFETIME_S:
            self.at(self.now + LIST_INTERVAL_S, self.check_list_age, gateway)
        if gateway.is_up and self.now - gateway.list_read_at > MAX_LIST_AGE_S:
            gateway.rows = {row.key: row for row in self.get_listed()}
            gateway.list_read_at = self.now

    def kill_gateways(self, share):
        for gateway in self.gateways:
            if self.random.random() < share:
                fresh = Gateway(incarnation=gateway.incarnation + 1, is_up=False)
                gateway.__dict__.update(fresh.__dict__)
                self.at(self.now + RESTART_S, self.restart_gateway, gateway)

    def restart_gateway(self, gateway):
        gateway.is_up = True
        if self.coordinators[self.leader].is_up:
            gateway.revision, gateway.history = self.revision, self.committed

    def begin_stream(self, number):
        stream = Stream(number)
        self.streams.append(stream)
        self.try_stream(stream)

    def try_stream(self, stream):
        gateway = self.random.choice(self.gateways)
        stream.tries += 1
        if not gateway.is_up or not gateway.rows:
            self.retry(stream)
            return
        rows = list(gateway.rows.values())
        if stream.versions and self.spec.is_guarded:
            self.take_ups += 1
            is_old = stream.first_event_at < self.power_lost_at
            self.old_take_ups += is_old
            origin = self.find_origin(gateway, stream)
            if not isinstance(origin, StreamOrigin):
                self.retry(stream)
                return
            self.old_resumed += is_old
            rows = [row for row in rows if origin.matches(row)]
        elif self.spec.is_guarded:
            history = gateway.history or {}
            rows = list_beginnable(rows, rows, history, stream.key)
        # An endpoint that is listed but gone does not answer.
        rows = [row for row in rows if row in self.endpoints]
        if not rows:
            self.retry(stream)
            return
        self.resumed += bool(stream.versions)
        row = self.random.choice(rows)
        self.at(
            self.now + FIRST_EVENT_S,
            self.get_events,
            stream,
            gateway,
            gateway.incarnation,
            row,
        )

    def find_origin(self, gateway, stream):
        records = set(gateway.records.find(stream.key, self.now))
        is_in_touch = self.now >= max(gateway.cut_until, self.outage_until)
        for coordinator in self.coordinators:
            is_heard = is_in_touch and self.random.random() >= self.spec.loss
            if coordinator.is_up and is_heard:
                records.update(coordinator.records.find(stream.key, self.now))
        listed = count_by_version(gateway.rows.values(), SERVICE)
        is_confirmed = is_in_touch and self.has_leader()
        history = self.committed if is_confirmed else None
        return decide_origin(
            records,
            [SERVICE],
            history,
            listed,
            is_recorded_only=needs_record(stream.key),
        )

    def get_events(self, stream, gateway, incarnation, row):
        if gateway.incarnation != incarnation or row not in self.endpoints:
            self.retry(stream)
            return
        stream.versions.append(row.version)
        if len(stream.versions) == 1:
            stream.first_event_at = self.now
            origin = StreamOrigin.from_endpoint(row)
            gateway.records.add(stream.key, origin, STREAM_LIFETIME_S, self.now)
            self.at(
                self.now + self.random.uniform(0.0, FLUSH_S),
                self.flush,
                gateway,
                incarnation,
                stream.key,
                origin,
            )
        spec = self.spec
        if self.random.random() < spec.breaks:
            self.at(
                self.now + self.random.uniform(0.0, spec.max_break_s),
                self.retry,
                stream,
            )

    def flush(self, gateway, incarnation, key, origin):
        if gateway.incarnation == incarnation:
            for number in range(COORDINATORS):
                if self.now >= gateway.cut_until:
                    self.send(self.store, number, key, origin, STREAM_LIFETIME_S)

    def retry(self, stream):
        if stream.tries < MAX_TRIES:
            delay = self.random.uniform(0.0, TAKE_UP_S)
            self.at(self.now + delay, self.try_stream, stream)

    def list_mixed(self):
        return [s for s in self.streams if len(set(s.versions)) > 1]
