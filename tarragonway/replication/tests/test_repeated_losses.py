"""Members that lose their disks again while they return to the group.

A machine counts as lost until it has been back for the catch-up time, so it may be lost
at any moment of its return. The group must therefore never need it: each membership in
a log, committed or not, must have a quorum among the members that are not lost.
"""

import collections
import random
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.replication.tests.group import CATCH_UP_TICKS, Group

# Time in which a group that has its majority elects a leader and acknowledges a change.
RECOVERY_TICKS = 120
# More than a member takes from its start until it is a voter that stores all entries.
MAX_RETURN_STEPS = 60


class LossyGroup(Group):
    """Group that checks each membership against the members that are not lost.

    A member can be set up to lose its disk again after a number of steps, which are the
    outputs of its replica since its start.
    """

    def __init__(self, size, seed):
        super().__init__(size, seed)
        self.steps = collections.defaultdict(int)
        self.loss_step = None
        self.lost_at = {}
        self.violations = []

    def lose_disk(self, name):
        self.processes[name].stop(keeps_disk=False)
        self.lost_at[name] = float("inf")

    def bring_back(self, name):
        process = self.processes[name]
        if process.replica is None:
            process.start()
            self.steps[name] = 0
            if self.lost_at.get(name) == float("inf"):
                self.lost_at[name] = self.now

    def flush(self, process):
        super().flush(process)
        self.steps[process.name] += 1
        if self.loss_step == (process.name, self.steps[process.name]):
            self.loss_step = None
            self.lose_disk(process.name)

    def tick(self):
        super().tick()
        self.check_memberships()

    def check_memberships(self):
        lost = {n for n, at in self.lost_at.items() if self.now - at < CATCH_UP_TICKS}
        for process in self.processes.values():
            if process.replica is None:
                continue
            membership = process.replica.membership
            kept = [
                member
                for member in membership.voters
                if member.name in self.processes
                and member.name not in lost
                and self.processes[member.name].id == member.id
            ]
            is_member = any(m.id == process.id for m in membership.members)
            if is_member and len(kept) < membership.quorum:
                voters = sorted(membership.voter_ids)
                self.violations.append((self.now, process.id, voters))


def start_group(size, seed):
    group = LossyGroup(size, seed)
    group.run(40)
    assert group.write("first", RECOVERY_TICKS)
    return group


def check_service(group, value):
    """Check that a group with all its members back goes on with all it has stored."""
    assert group.write(value, RECOVERY_TICKS + CATCH_UP_TICKS)
    assert not group.list_lost()
    assert not group.violations, group.violations[0]


# Guards against a promotion that only the member it adds could have committed: the
# group had no leader for good once that member lost its disk again.
@pytest.mark.parametrize("victim", ["follower", "leader"])
@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("seed", range(3))
def test_disk_is_lost_again_at_every_step_of_its_return(size, seed, victim):
    for step in range(1, MAX_RETURN_STEPS):
        group = start_group(size, seed)
        leader = group.find_leader().name
        followers = sorted(group.processes.keys() - {leader})
        order = [leader, *followers] if victim == "leader" else [*followers, leader]
        # As many machines as the group bears are lost; only the first one twice.
        names = order[: (size - 1) // 2]
        for name in names:
            group.lose_disk(name)
        group.run(10)
        for name in names:
            group.bring_back(name)
        group.loss_step = (names[0], step)
        group.run(CATCH_UP_TICKS)
        assert group.loss_step is None
        assert group.write("without it", RECOVERY_TICKS), f"lost at step {step}"
        group.bring_back(names[0])
        group.run(CATCH_UP_TICKS)
        check_service(group, "last")
        # They take part again: the group bears the loss of the others.
        for name in order[-len(names) :]:
            group.lose_disk(name)
        group.run(10)
        check_service(group, "after another loss")


# Guards against a replacement that only the new member could have committed, as the
# machine that it replaces is gone for good.
@pytest.mark.parametrize("seed", range(3))
def test_replacement_at_another_address_is_lost_at_every_step(seed):
    for step in range(1, MAX_RETURN_STEPS):
        group = start_group(3, seed)
        gone = min(group.processes.keys() - {group.find_leader().name})
        group.remove(gone)
        group.add("n0")
        group.lost_at["n0"] = group.now
        group.loss_step = ("n0", step)
        group.run(2 * CATCH_UP_TICKS)
        assert group.loss_step is None
        assert group.write("without it", RECOVERY_TICKS), f"lost at step {step}"
        group.bring_back("n0")
        group.run(2 * CATCH_UP_TICKS)
        check_service(group, "last")
        group.lose_disk(max(group.processes.keys() - {"n0"}))
        group.run(10)
        check_service(group, "after another loss")


# Guards against a group that can never be formed, as its second voter loses its disk
# before it has stored its own promotion.
@pytest.mark.parametrize("seed", range(3))
def test_disk_is_lost_at_every_step_of_forming_a_group(seed):
    for step in range(1, MAX_RETURN_STEPS):
        group = LossyGroup(1, seed)
        group.run(40)
        for name in ("n0", "n1"):
            group.add(name)
        group.loss_step = ("n0", step)
        group.run(CATCH_UP_TICKS)
        assert group.loss_step is None
        group.bring_back("n0")
        group.run(CATCH_UP_TICKS)
        check_service(group, "first")
        group.lose_disk("n1")
        group.run(10)
        check_service(group, "after another loss")


@dataclass
class Loss:
    """Loss of one machine's disk, repeated during its return.

    ``machine`` is the machine's number, ``away`` the ticks until it is back,
    ``again`` the ticks from each return to the next loss, ``disturbances`` those of
    other machines meanwhile: number, kind and ticks.
    """

    machine: int
    away: int
    again: tuple
    disturbances: tuple


LOSSES = st.builds(
    Loss,
    machine=st.integers(0, 4),
    away=st.integers(1, 110),
    again=st.lists(st.integers(1, 40), max_size=6).map(tuple),
    disturbances=st.lists(
        st.tuples(
            st.integers(0, 4),
            st.sampled_from(["freeze", "cut", "kill"]),
            st.integers(1, 100),
        ),
        max_size=2,
    ).map(tuple),
)


def disturb(group, number, kind, ticks):
    """Disturb a machine, which keeps its disk."""
    name = f"c{number % len(group.processes)}"
    match kind:
        case "freeze":
            group.freeze(name, ticks)
        case "cut":
            group.cut(name, ticks)
        case "kill" if group.processes[name].replica is not None:
            group.processes[name].stop()


def end_disturbances(group):
    for process in group.processes.values():
        process.frozen_until = process.cut_until = 0
        group.bring_back(process.name)


def play(size, seed, losses, delivery):
    """Play losses of machines, one after the other; return the group."""
    group = start_group(size, seed)
    source = random.Random(seed)
    slowest, dropped = delivery

    def draw_delay():
        return None if source.random() < dropped else source.randint(1, slowest)

    for loss in losses:
        group.draw_delay = draw_delay
        name = f"c{loss.machine % size}"
        group.lose_disk(name)
        for number, kind, ticks in loss.disturbances:
            disturb(group, number, kind, ticks)
        for ticks in loss.again:
            group.run(loss.away)
            group.bring_back(name)
            group.run(ticks)
            group.lose_disk(name)
        group.run(loss.away)
        end_disturbances(group)
        group.draw_delay = lambda: 1
        group.run(RECOVERY_TICKS + CATCH_UP_TICKS)
        check_service(group, f"after {name} at {group.now}")
    return group


# Guards against a membership that waits for a member which may be lost at any moment.
@settings(max_examples=60, deadline=None)
@given(
    size=st.sampled_from([3, 5]),
    seed=st.integers(0, 10**6),
    losses=st.lists(LOSSES, min_size=1, max_size=3),
    delivery=st.tuples(st.integers(1, 5), st.sampled_from([0.0, 0.05, 0.2])),
)
def test_no_membership_needs_a_member_that_returns(size, seed, losses, delivery):
    play(size, seed, losses, delivery)


# Guards against a stop that takes the majority while a lost voter's place is empty.
def test_planned_stop_waits_while_a_place_is_empty():
    group = start_group(3, seed=1)
    name = min(group.processes.keys() - {group.find_leader().name})
    group.lose_disk(name)
    group.run(10)
    group.bring_back(name)
    while not group.find_leader().replica.membership.is_reduced:
        group.tick()
    group.lose_disk(name)
    group.run(CATCH_UP_TICKS)
    others = [p.replica for p in group.processes.values() if p.replica is not None]
    assert len(others) == 2
    assert not any(replica.can_stop_safely for replica in others)
    group.bring_back(name)
    group.run(CATCH_UP_TICKS)
    assert all(replica.can_stop_safely for replica in others)
