"""Properties of the replicated log under faults."""

import random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tarragonway.consensus import Role
from tarragonway.consensus.tests.cluster import Cluster

SIZE = 3
NODES = st.integers(0, SIZE - 1)


class LogMachine(RuleBasedStateMachine):
    """Random runs with lost, reordered and duplicated packets and failing replicas.

    Replicas are frozen, cut off, crashed during writes, or lose their disks.
    """

    def __init__(self):
        super().__init__()
        self.cluster = Cluster(SIZE, seed=1)
        self.next_value = 0
        self.next_token = 0
        self.lost_disks = 0
        self.last_lost = None
        elect(self.cluster)

    def faulty(self):
        """Return the names of replicas that are stopped, frozen or cut off."""
        cluster = self.cluster
        down = {n.name for n in cluster.nodes if n.replica is None or n.frozen}
        return down | cluster.cut

    def may_fail(self, node):
        """Return whether no other replica is faulty.

        Most rules check this, so that usually a majority keeps working. ``kill`` does
        not, because a second failure at the same time must do no damage either.
        """
        return self.faulty() <= {self.cluster.nodes[node].name}

    @rule(ticks=st.integers(1, 25), order=st.integers(0, 1000))
    def run(self, ticks, order):
        """Advance the time and deliver packets in order, or shuffled by ``order``."""
        source = random.Random(order)
        for _ in range(ticks):
            self.cluster.tick()
            for _ in range(len(self.cluster.packets)):
                self.cluster.deliver(source.randrange(64) if order else 0)

    @rule(count=st.integers(1, 8))
    def propose(self, count):
        leader = self.cluster.leader()
        for _ in range(count):
            if leader is None or leader.replica is None:
                return
            self.next_value += 1
            self.cluster.propose(leader, b"v%d" % self.next_value)

    @rule(node=NODES, count=st.integers(1, 4))
    def write_without(self, node, count):
        """Commit entries without one replica, then restart all the others.

        The replica that lacks the entries may then start an election first.
        """
        name = self.cluster.nodes[node].name
        self.cluster.cut = {name}
        run(self.cluster, 45)
        self.propose(count)
        run(self.cluster, 4)
        self.cluster.cut = set()
        for other in self.cluster.running():
            if other.name != name:
                self.cluster.crash(other)
                other.start()
        run(self.cluster, 30)

    @rule(count=st.integers(1, 4))
    def freeze_leader_and_wake(self, count):
        """Freeze a leader until another is elected, then wake it and send it requests.

        It must not answer the read from stale state.
        """
        old = self.cluster.leader()
        if old is None:
            return
        old.frozen = True
        run(self.cluster, 45)
        self.propose(count)
        run(self.cluster, 4)
        old.frozen = False
        if old.replica is not None:
            self.next_token += 1
            self.cluster.read(old, self.next_token)
            self.cluster.propose(old, b"late%d" % self.next_token)

    @rule(node=NODES)
    def read(self, node):
        """Request a read from any replica; a cut-off one must return no stale state."""
        chosen = self.cluster.nodes[node]
        if chosen.replica is not None and not chosen.frozen:
            self.next_token += 1
            self.cluster.read(chosen, self.next_token)

    @rule(position=st.integers(0, 63), copies=st.integers(0, 2))
    def lose_or_duplicate(self, position, copies):
        packets = self.cluster.packets
        if packets:
            packet = packets.pop(position % len(packets))
            packets.extend([packet] * copies)

    @rule(node=NODES)
    def cut(self, node):
        if self.may_fail(node):
            self.cluster.cut ^= {self.cluster.nodes[node].name}

    @rule(node=NODES)
    def freeze(self, node):
        chosen = self.cluster.nodes[node]
        if self.may_fail(node):
            chosen.frozen = not chosen.frozen

    @rule(node=NODES, torn=st.integers(0, 30))
    def kill(self, node, torn):
        self.cluster.crash(self.cluster.nodes[node], torn)

    @rule(node=NODES, calls=st.integers(0, 5))
    def kill_in_write(self, node, calls):
        if self.may_fail(node):
            self.cluster.nodes[node].disk.calls_until_crash = calls

    @rule()
    def restart_all(self):
        """Start every killed replica from its durable state."""
        for node in self.cluster.nodes:
            if node.replica is None:
                node.start()

    @rule()
    def end_faults(self):
        self.restart_all()
        self.cluster.cut = set()
        for node in self.cluster.nodes:
            node.frozen = False
            node.disk.calls_until_crash = None
        run(self.cluster, 40)

    @precondition(lambda self: self.lost_disks < 3)
    @rule(node=NODES)
    def lose_disk(self, node):
        """Lose one disk after any earlier loss has been repaired."""
        self.cluster.heal()
        self.lost_disks += 1
        self.last_lost = node
        self.wipe(node)

    @precondition(lambda self: self.last_lost is not None)
    @rule()
    def lose_disk_again(self):
        """Lose the same disk again, whether the loss has been repaired or not."""
        self.wipe(self.last_lost)

    def wipe(self, node):
        chosen = self.cluster.nodes[node]
        chosen.wipe()
        chosen.start()

    @rule()
    def repair(self):
        self.cluster.repair()

    @rule(node=NODES)
    def compact(self, node):
        chosen = self.cluster.nodes[node]
        if chosen.replica is not None:
            self.cluster.compact(chosen)

    @invariant()
    def acknowledged_values_are_in_the_history(self):
        values = {item[1] for item in self.cluster.history if item}
        assert set(self.cluster.acknowledged) <= values

    def teardown(self):
        self.cluster.heal()
        for node in self.cluster.nodes:
            missing = set(self.cluster.acknowledged) - set(node.applied)
            assert not missing, f"{node.name} lost {missing}"


TestLogMachine = LogMachine.TestCase
TestLogMachine.settings = settings(
    max_examples=120,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def elect(cluster):
    for _ in range(200):
        cluster.tick()
        for _ in range(len(cluster.packets)):
            cluster.deliver(0)
        leader = cluster.leader()
        if leader and leader.replica.is_ready_leader:
            return leader
    raise AssertionError("no leader")


def run(cluster, ticks):
    for _ in range(ticks):
        cluster.tick()
        for _ in range(len(cluster.packets)):
            cluster.deliver(0)


@pytest.mark.parametrize("seed", range(5))
def test_cut_off_leader_steps_down_and_does_not_disrupt(seed):
    cluster = Cluster(3, seed)
    old = elect(cluster)
    cluster.cut = {old.name}
    run(cluster, 45)
    new = cluster.leader()
    assert new is not old
    assert old.replica.role is not Role.LEADER
    term = new.replica.term
    cluster.cut = set()
    run(cluster, 45)
    assert cluster.leader() is new
    assert new.replica.term == term


def test_cut_off_leader_answers_no_read():
    cluster = Cluster(3)
    old = elect(cluster)
    cluster.cut = {old.name}
    cluster.read(old, 1)
    run(cluster, 45)
    assert cluster.leader() is not old
    cluster.propose(cluster.leader(), b"new")
    run(cluster, 10)
    cluster.cut = set()
    run(cluster, 45)
    # finish_read would fail on a stale read; the cut-off leader answers no read at all.
    assert b"new" in cluster.acknowledged


def test_second_loss_right_after_repair_keeps_every_entry():
    cluster = Cluster(3)
    leader = elect(cluster)
    for value in range(50):
        cluster.propose(leader, b"v%d" % value)
    run(cluster, 10)
    others = [node for node in cluster.nodes if node is not leader]
    others[0].wipe()
    others[0].start()
    cluster.heal()
    others[1].wipe()
    others[1].start()
    cluster.heal()
    assert len(cluster.acknowledged) == 50
    for node in cluster.nodes:
        assert set(cluster.acknowledged) <= set(node.applied)


def test_wiped_member_never_votes_under_its_old_identity():
    cluster = Cluster(3)
    elect(cluster)
    victim = next(n for n in cluster.nodes if n is not cluster.leader())
    old_id = victim.member.id
    victim.wipe()
    victim.start()
    run(cluster, 60)
    assert victim.member.id != old_id
    senders = {source for source, _, _ in cluster.packets}
    assert old_id not in senders
    assert cluster.find(old_id) is None


def test_restart_after_hundreds_of_changes_uses_the_snapshot():
    cluster = Cluster(3)
    leader = elect(cluster)
    for value in range(600):
        cluster.propose(leader, b"v%d" % value)
        run(cluster, 1)
    run(cluster, 10)
    for node in cluster.nodes:
        cluster.compact(node)
        cluster.crash(node)
        node.start()
        assert len(node.applied) >= 590
    cluster.heal()
    assert all(len(node.applied) == 600 for node in cluster.nodes)


# Guards against a start that cannot be repeated after a crash in its own disk calls.
@pytest.mark.parametrize("calls", range(4))
def test_crash_inside_a_start_loses_nothing(calls):
    cluster = Cluster(3)
    leader = elect(cluster)
    for value in range(20):
        cluster.propose(leader, b"v%d" % value)
    run(cluster, 10)
    for node in cluster.nodes:
        cluster.crash(node, 3)
        node.disk.calls_until_crash = calls
        node.start()
    cluster.heal()
    assert len(cluster.acknowledged) == 20
    for node in cluster.nodes:
        assert set(cluster.acknowledged) <= set(node.applied)


def test_leadership_moves_at_once_on_transfer():
    cluster = Cluster(3)
    old = elect(cluster)
    old.replica.transfer_leadership()
    cluster.flush(old)
    run(cluster, 5)
    assert cluster.leader() is not old


def test_first_leader_is_still_known_after_compaction():
    cluster = Cluster(3)
    leader = elect(cluster)
    assert leader.replica.is_first_ready_leader
    for value in range(50):
        cluster.propose(leader, b"v%d" % value)
        run(cluster, 1)
    run(cluster, 10)
    for node in cluster.nodes:
        cluster.compact(node)
    assert leader.replica.is_first_ready_leader
    leader.replica.transfer_leadership()
    cluster.flush(leader)
    run(cluster, 20)
    assert cluster.leader() is not leader
    assert not cluster.leader().replica.is_first_ready_leader
