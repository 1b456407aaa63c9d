"""Log lines and state dump of a membership that too few voters store."""

import structlog

from tarragonway.consensus import Member
from tarragonway.core.ids import MemberId, ProcessName
from tarragonway.replication.membership_reports import (
    MembershipLogger,
    make_membership_dump,
)
from tarragonway.replication.tests.group import Group

JOINING = Member(MemberId("n#0"), ProcessName("n"))


def test_membership_in_force_is_told_from_a_committed_one():
    group = Group(3, seed=1)
    group.run(40)
    leader = group.find_leader()
    logger = MembershipLogger(leader.replica)
    with structlog.testing.capture_logs() as lines:
        leader.replica.propose_membership(
            leader.replica.membership.add_learner(JOINING)
        )
        logger.log_change()
        logger.log_change()
        dump = make_membership_dump(leader.replica)
        group.run(4)
        logger.log_change()
        leader.replica.compact(leader.replica.commit, b"")
        logger.log_change()
    assert [line["event"] for line in lines] == [
        "membership in force",
        "membership committed",
    ]
    assert lines[0]["index"] == lines[1]["index"] == dump["membership_index"]
    assert not dump["membership_committed"]
    assert make_membership_dump(leader.replica)["membership_committed"]
    assert dump["learners"] == ["n#0"]
    assert dump["quorum"] == 2


def test_dump_names_the_votes_of_an_election_without_a_majority():
    group = Group(3, seed=1)
    for name in ("c1", "c2"):
        group.remove(name)
    group.run(60)
    dump = make_membership_dump(group.processes["c0"].replica)
    assert dump["votes"] == ["c0#0"]
    assert dump["quorum"] == 2
