"""Losses beside planned replacements: what the group bears a catch-up time later."""

import random
from dataclasses import dataclass
from unittest import mock

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tarragonway.consensus import Replica
from tarragonway.replication.tests.group import CATCH_UP_TICKS, Group

# Time in which a group that has its majority elects a leader and acknowledges a change.
RECOVERY_TICKS = 120


@dataclass
class History:
    """Planned replacements, each beside a disruption of another member.

    ``size`` members bear the loss of ``(size - 1) // 2`` at once. Each replacement is a
    tuple: ticks between the start of the new member and the disruption, kind, duration,
    and ticks from the end of the disruption to the planned stop, which may be negative.
    ``wait`` is the time from the end of the last event to the loss of the disks.
    """

    seed: int
    size: int
    replacements: tuple
    wait: int = CATCH_UP_TICKS


def play(history):
    """Play a history, lose as many disks as are borne, and return the group."""
    group = Group(history.size, history.seed)
    group.run(40)
    assert group.write("first", RECOVERY_TICKS)
    tolerated = (history.size - 1) // 2
    for number, (lead, kind, duration, gap) in enumerate(history.replacements):
        old, *others = group.processes
        other = others[number % 2]
        group.add(f"n{number}")
        group.run(max(lead, CATCH_UP_TICKS))
        stop_at = group.now + max(1, duration + gap)
        end_at = group.now + duration
        disrupt(group, other, kind, duration)
        while group.now < max(stop_at, end_at):
            group.tick()
            if group.now == stop_at:
                group.announce_stop(old)
                group.remove(old)
            if group.processes[other].replica is None and group.now >= end_at:
                group.processes[other].start()
        if old in group.processes:
            group.announce_stop(old)
            group.remove(old)
        if group.processes[other].replica is None:
            group.processes[other].start()
        if number + 1 < len(history.replacements):
            group.run(CATCH_UP_TICKS)
    group.run(history.wait)
    assert group.write("last", RECOVERY_TICKS)
    lost = random.Random(history.seed).sample(sorted(group.processes), tolerated)
    for name in lost:
        group.processes[name].stop(keeps_disk=False)
    group.run(20)
    for name in lost:
        group.processes[name].start()
    return group


def disrupt(group, name, kind, duration):
    match kind:
        case "freeze":
            group.freeze(name, duration)
        case "cut":
            group.cut(name, duration)
        case "kill":
            group.processes[name].stop()
        case "wipe":
            group.processes[name].stop(keeps_disk=False)


REPLACEMENTS = st.tuples(
    st.integers(80, 200),
    st.sampled_from(["freeze", "cut", "kill", "wipe", "none"]),
    st.integers(1, 150),
    st.integers(-150, 120),
)
HISTORIES = st.builds(
    History,
    seed=st.integers(0, 10**6),
    size=st.sampled_from([3, 5]),
    replacements=st.lists(REPLACEMENTS, max_size=3).map(tuple),
)
FROZEN_VOTER = History(5, 3, ((120, "freeze", 100, 120),), wait=260)
STOPPED_VOTER = History(1, 3, ((120, "none", 1, 0),), wait=20)


def bears_the_loss(history):
    group = play(history)
    is_writable = group.write("after", RECOVERY_TICKS + CATCH_UP_TICKS)
    return is_writable and not group.list_lost()


@settings(max_examples=25, deadline=None)
@given(HISTORIES)
@example(FROZEN_VOTER)
@example(STOPPED_VOTER)
# Guards against a majority that is lost for good: by a voter that was removed while it
# was frozen and never comes back, or by a stopped voter that still counts.
def test_group_bears_its_losses_after_replacements_and_disruptions(history):
    assert bears_the_loss(history)


def seek_admission_unless_voter(replica):
    return replica.own_id not in replica.membership.voter_ids


# Shows that the histories above lose the majority without what was changed.
@pytest.mark.parametrize(
    ("history", "name", "value"),
    [
        (FROZEN_VOTER, "seeks_admission", property(seek_admission_unless_voter)),
        (STOPPED_VOTER, "can_leave", False),
    ],
)
def test_majority_is_lost_without_return_or_leave(history, name, value):
    with mock.patch.object(Replica, name, value):
        assert not bears_the_loss(history)
