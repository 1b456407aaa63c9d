"""Cluster of replicas with simulated disk and network faults, stepped by a test."""

import random

from tarragonway.consensus import (
    DataFolder,
    EntryKind,
    Member,
    Membership,
    Parameters,
    Replica,
    Role,
    Snapshot,
)
from tarragonway.consensus.storage import Identity
from tarragonway.core.ids import ClusterId, MemberId, ProcessName

# Unsynced bytes that a crash inside a disk call leaves in a file.
TORN_BYTES = 3


class CrashError(Exception):
    """Raised when the simulated process crashes inside a disk call."""


class FakeDisk:
    """Files in memory that lose unsynced data and can crash the process at any call."""

    def __init__(self):
        self.durable = {}
        self.pending = {}
        self.calls_until_crash = None
        self.torn_bytes = 0

    def _step(self):
        if self.calls_until_crash is not None:
            self.calls_until_crash -= 1
            if self.calls_until_crash < 0:
                raise CrashError

    def read(self, name):
        data = self.durable.get(name, b"") + self.pending.get(name, b"")
        return data if name in self.durable or name in self.pending else None

    def append(self, name, data):
        self.pending[name] = self.pending.get(name, b"") + data
        self._step()

    def sync(self, name):
        self._step()
        self.durable[name] = self.durable.get(name, b"") + self.pending.pop(name, b"")

    def truncate(self, name, size):
        self._step()
        self.durable[name] = self.read(name)[:size]
        self.pending.pop(name, None)

    def replace(self, name, data):
        self._step()
        self.durable[name] = data
        self.pending.pop(name, None)

    def crash(self, torn_bytes):
        """Lose unsynced data except for at most its first ``torn_bytes`` bytes."""
        for name, data in self.pending.items():
            torn = data[: min(torn_bytes, len(data) - 1)]
            self.durable[name] = self.durable.get(name, b"") + torn
        self.pending = {}
        self.calls_until_crash = None


class Node:
    """One control process: its disk, replica and applied commands."""

    def __init__(self, name, seed):
        self.name = name
        self.seed = seed
        self.disk = FakeDisk()
        self.replica = None
        self.applied = []
        self.frozen = False
        self.generation = 0

    @property
    def member(self):
        return Member(
            MemberId(f"{self.name}.{self.generation}"), ProcessName(self.name)
        )

    def wipe(self):
        self.generation += 1
        self.disk = FakeDisk()
        self.replica = None

    def start(self):
        """Start the process, and once more if it crashes inside a disk call."""
        try:
            found = self._recover()
        except CrashError:
            self.disk.crash(TORN_BYTES)
            found = self._recover()
        self.replica = Replica(
            self.member.id,
            Parameters(),
            random.Random(self.seed),
            found.hard_state,
            found.snapshot,
            found.log,
        )
        self.applied = decode_state(found.snapshot.state)

    def _recover(self):
        folder = DataFolder(self.disk)
        found = folder.recover()
        if found.identity is None:
            folder.write_identity(Identity(self.member.id, ClusterId("test")))
        return found


def decode_state(state):
    return state.split(b",") if state else []


class Cluster:
    """Replicas connected by a list of packets in flight."""

    def __init__(self, size, seed=0):
        self.nodes = [Node(f"c{i}", seed * 100 + i) for i in range(size)]
        self.packets = []
        self.acknowledged = {}
        self.proposed = {}
        self.reads = {}
        self.cut = set()
        self.history = []
        self.leaders = {}
        members = tuple(node.member for node in self.nodes)
        first = Snapshot(0, 0, Membership(members, ()), b"")
        for node in self.nodes:
            folder = DataFolder(node.disk)
            folder.write_identity(Identity(node.member.id, ClusterId("test")))
            folder.write_snapshot(first, make_hard_state(), make_log_tail())
            node.start()

    def find(self, member_id):
        return next((n for n in self.nodes if n.member.id == member_id), None)

    def leader(self):
        leaders = [n for n in self.running() if n.replica.role is Role.LEADER]
        return max(leaders, key=lambda n: n.replica.term, default=None)

    def running(self):
        return [n for n in self.nodes if n.replica is not None and not n.frozen]

    def tick(self):
        for node in self.running():
            node.replica.tick()
            self.flush(node)

    def flush(self, node):
        """Process a replica's output in the order that ``Replica`` requires."""
        output = node.replica.take_output()
        folder = DataFolder(node.disk)
        try:
            if output.snapshot is not None:
                folder.write_snapshot(
                    output.snapshot, node.replica.hard_state, node.replica.read_tail()
                )
                node.applied = decode_state(output.snapshot.state)
            elif output.has_writes():
                folder.append(output.hard_state, output.entries)
                folder.sync()
        except CrashError:
            self.crash(node, TORN_BYTES)
            return
        self.check_leader(node)
        for target, message in output.messages:
            self.packets.append((node.member.id, target, message))
        for entry in output.committed:
            self.apply(node, entry)
        for read in output.reads:
            self.finish_read(node, read)

    def check_leader(self, node):
        if node.replica.role is Role.LEADER:
            known = self.leaders.setdefault(node.replica.term, node.member.id)
            assert known == node.member.id, "two leaders in one term"

    def apply(self, node, entry):
        value = entry.payload if entry.kind is EntryKind.COMMAND else b""
        while len(self.history) < entry.index:
            self.history.append(None)
        known = self.history[entry.index - 1]
        assert known in (None, (entry.term, value)), "two entries at one index"
        self.history[entry.index - 1] = (entry.term, value)
        if entry.kind is EntryKind.COMMAND:
            node.applied.append(value)
            if self.proposed.get(value) == (node.member.id, entry.term):
                self.acknowledged[value] = entry.index

    def propose(self, node, value):
        term = node.replica.term
        if node.replica.propose(value) is not None:
            self.proposed[value] = (node.member.id, term)
        self.flush(node)

    def read(self, node, token):
        if node.replica.read(token):
            self.reads[token] = set(self.acknowledged)
        self.flush(node)

    def finish_read(self, node, read):
        assert read.index <= node.replica.commit
        assert self.reads[read.token] <= set(node.applied), "stale read"

    def deliver(self, position):
        if not self.packets:
            return
        source, target, message = self.packets.pop(position % len(self.packets))
        node = self.find(target)
        origin = self.find(source)
        if node is None or node.replica is None or node.frozen:
            return
        blocked = {node.name, origin.name if origin else ""} & self.cut
        if len(blocked) == 1:
            return
        node.replica.handle_message(source, message)
        self.flush(node)

    def crash(self, node, torn_bytes=0):
        node.disk.crash(torn_bytes)
        node.replica = None

    def compact(self, node):
        replica = node.replica
        if replica.commit > replica.snapshot.index:
            state = b",".join(node.applied)
            snapshot = replica.compact(replica.commit, state, keep=2)
            folder = DataFolder(node.disk)
            try:
                folder.write_snapshot(snapshot, replica.hard_state, replica.read_tail())
            except CrashError:
                self.crash(node)

    def repair(self):
        """Propose the leader's next membership change to replace a wiped member.

        The new incarnation is added, then promoted, and then the old one is removed.
        """
        leader = self.leader()
        if leader is None:
            return
        membership = leader.replica.membership
        change = plan_repair(self.nodes, leader, membership)
        if change is not None:
            leader.replica.propose_membership(change)
            self.flush(leader)

    def heal(self):
        """End all faults and run until all replicas agree."""
        self.cut.clear()
        for node in self.nodes:
            node.frozen = False
            node.disk.calls_until_crash = None
            if node.replica is None:
                node.start()
        for step in range(600):
            self.tick()
            for _ in range(len(self.packets)):
                self.deliver(0)
            self.repair()
            if step > 60 and self.has_converged():
                return
        raise AssertionError("replicas still differ 600 steps after the faults ended")

    def has_converged(self):
        leader = self.leader()
        if leader is None or not leader.replica.is_ready_leader:
            return False
        voters = leader.replica.membership.voter_ids
        wanted = {node.member.id for node in self.nodes}
        commits = {node.replica.commit for node in self.nodes}
        return voters == wanted and commits == {leader.replica.last_index}


def plan_repair(nodes, leader, membership):
    from tarragonway.replication import plan_membership_change

    present = [node.member for node in nodes if node.replica is not None]
    return plan_membership_change(leader.replica, present)


def make_hard_state():
    from tarragonway.consensus import HardState

    return HardState()


def make_log_tail():
    from tarragonway.consensus.messages import LogTail

    return LogTail()
