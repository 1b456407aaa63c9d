"""Admission of a process that has asked to join under an earlier id before."""

import pytest

from tarragonway.replication.tests.group import CATCH_UP_TICKS, Group


# Guards against an admission that waits until the request of a lost member expires.
@pytest.mark.parametrize("seed", range(5))
def test_member_lost_as_a_learner_is_back_within_the_catch_up_time(seed):
    group = Group(3, seed)
    group.run(40)
    name = min(group.processes.keys() - {group.find_leader().name})
    process = group.processes[name]
    process.stop(keeps_disk=False)
    group.run(10)
    process.start()
    while not group.find_leader().replica.membership.learners:
        group.tick()
    process.stop(keeps_disk=False)
    group.run(5)
    process.start()
    group.run(CATCH_UP_TICKS)
    assert process.id in group.find_leader().replica.membership.voter_ids
