"""Group of coordinators on virtual time, whose members are lost, replaced and return.

Each member runs a replica, asks to be admitted as the processes do, and leads the
changes of membership while it is the leader. A tick stands for 50 ms.
"""

import random

from tarragonway.consensus import (
    DataFolder,
    Member,
    Membership,
    Parameters,
    Replica,
    Role,
    Snapshot,
)
from tarragonway.consensus.messages import HardState, LogTail
from tarragonway.consensus.storage import Identity
from tarragonway.consensus.tests.cluster import FakeDisk
from tarragonway.core.ids import ClusterId, MemberId, ProcessName
from tarragonway.replication import plan_membership_change
from tarragonway.replication.join_requests import JoinRequests

PARAMETERS = Parameters(12, 2, 4)
JOIN_INTERVAL_TICKS = 6
JOIN_RETENTION_TICKS = 100
# Time after which a member that is back, or new, does not count as lost any more.
CATCH_UP_TICKS = 80
# Time that a process may take to step down.
LEAVE_TICKS = 120


class Process:
    """One process of the group, at an address of its own."""

    def __init__(self, name, seed):
        self.name = name
        self.random = random.Random(f"{name}/{seed}")
        self.incarnation = 0
        self.disk = FakeDisk()
        self.replica = None
        self.applied = []
        self.frozen_until = 0
        self.cut_until = 0
        self.leaves = False
        self.join_requests = JoinRequests(JOIN_RETENTION_TICKS)

    @property
    def id(self):
        return MemberId(f"{self.name}#{self.incarnation}")

    @property
    def member(self):
        return Member(self.id, ProcessName(self.name))

    def start(self):
        folder = DataFolder(self.disk)
        found = folder.recover()
        if found.identity is None:
            folder.write_identity(Identity(self.id, ClusterId("g")))
        self.replica = Replica(
            self.id,
            PARAMETERS,
            self.random,
            found.hard_state,
            found.snapshot,
            found.log,
        )
        self.applied = []

    def stop(self, *, keeps_disk=True):
        self.disk.crash(0)
        self.replica = None
        if not keeps_disk:
            self.disk = FakeDisk()
            self.incarnation += 1


class Group:
    """Processes that exchange messages.

    ``draw_delay`` returns the delay of a message in ticks, None if it is lost.
    """

    def __init__(self, size, seed):
        self.seed = seed
        self.now = 0
        self.processes = {f"c{n}": Process(f"c{n}", seed) for n in range(size)}
        members = tuple(process.member for process in self.processes.values())
        for process in self.processes.values():
            folder = DataFolder(process.disk)
            folder.write_identity(Identity(process.id, ClusterId("g")))
            first = Snapshot(0, 0, Membership(members, ()), b"")
            folder.write_snapshot(first, HardState(), LogTail())
            process.start()
        self.packets = []
        self.draw_delay = lambda: 1
        self.acknowledged = []
        self.pending = {}

    def runs(self, process):
        return process.replica is not None and self.now >= process.frozen_until

    def reaches(self, one, other):
        return max(one.cut_until, other.cut_until) <= self.now

    def find_leader(self):
        leaders = [
            process
            for process in self.processes.values()
            if self.runs(process) and process.replica.is_ready_leader
        ]
        return max(leaders, key=lambda p: p.replica.term, default=None)

    def run(self, ticks):
        for _ in range(ticks):
            self.tick()

    def tick(self):
        self.now += 1
        due = [packet for packet in self.packets if packet[0] <= self.now]
        self.packets = [packet for packet in self.packets if packet[0] > self.now]
        for _, source, target, message in due:
            self.deliver(source, target, message)
        for process in list(self.processes.values()):
            if self.runs(process):
                process.replica.tick()
                self.change_membership(process)
                self.flush(process)

    def deliver(self, source, target, message):
        process = self.processes.get(target.partition("#")[0])
        sender = self.processes.get(source.partition("#")[0])
        if process is None or not self.runs(process) or process.id != target:
            return
        if sender is not None and self.reaches(sender, process):
            process.replica.handle_message(source, message)
            self.flush(process)

    def change_membership(self, process):
        replica = process.replica
        if process.leaves:
            replica.request_leave()
        elif replica.seeks_admission and self.now % JOIN_INTERVAL_TICKS == 0:
            for other in self.processes.values():
                if self.runs(other) and self.reaches(process, other):
                    other.join_requests.record(process.member, self.now)
        if replica.is_ready_leader:
            present = process.join_requests.list_present(self.now)
            change = plan_membership_change(replica, present)
            if change is not None:
                replica.propose_membership(change)

    def flush(self, process):
        output = process.replica.take_output()
        folder = DataFolder(process.disk)
        if output.snapshot is not None:
            folder.write_snapshot(
                output.snapshot,
                process.replica.hard_state,
                process.replica.read_tail(),
            )
        elif output.has_writes():
            folder.append(output.hard_state, output.entries)
            folder.sync()
        for target, message in output.messages:
            delay = self.draw_delay()
            if delay is not None:
                self.packets.append((self.now + delay, process.id, target, message))
        for entry in output.committed:
            if entry.payload:
                process.applied.append(entry.payload)
            if self.pending.get(entry.index) == (entry.term, entry.payload):
                self.acknowledged.append(entry.payload)
                del self.pending[entry.index]

    # What happens to processes

    def freeze(self, name, ticks):
        self.processes[name].frozen_until = self.now + ticks

    def cut(self, name, ticks):
        self.processes[name].cut_until = self.now + ticks

    def add(self, name):
        process = self.processes[name] = Process(name, self.seed)
        process.start()

    def announce_stop(self, name):
        """Let a process step down as on SIGTERM: hand over the lead, then leave."""
        process = self.processes[name]
        if not self.runs(process):
            return
        for tick in range(LEAVE_TICKS):
            replica = process.replica
            is_leader = replica.role is Role.LEADER
            is_spare = replica.can_leave or replica.has_uncommitted_membership
            if not is_leader and (replica.has_left or not is_spare):
                break
            process.leaves = True
            if is_leader and tick % 4 == 0:
                replica.transfer_leadership()
                self.flush(process)
            self.tick()
        process.leaves = False

    def remove(self, name):
        self.processes.pop(name).stop()

    # What callers see

    def write(self, value, limit_ticks):
        """Write a value; return whether it was acknowledged within the limit."""
        for tick in range(limit_ticks):
            leader = self.find_leader()
            accepts = leader is not None and leader.replica.membership.size >= 3
            if accepts and tick % 20 == 0:
                payload = f"{value}.{tick}".encode()
                index = leader.replica.propose(payload)
                self.pending[index] = (leader.replica.term, payload)
                self.flush(leader)
            self.tick()
            if any(v.startswith(f"{value}.".encode()) for v in self.acknowledged):
                return True
        return False

    def list_lost(self):
        """Return the acknowledged values that the leader does not have."""
        leader = self.find_leader()
        if leader is None:
            return list(self.acknowledged)
        return [v for v in self.acknowledged if v not in leader.applied]
