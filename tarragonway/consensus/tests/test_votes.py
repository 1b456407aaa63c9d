"""Single decisions of a replica that the random runs rarely reach."""

import random

from tarragonway.consensus import (
    Entry,
    EntryKind,
    HardState,
    Member,
    Membership,
    Parameters,
    RaftLog,
    Replica,
    Role,
    Snapshot,
)
from tarragonway.consensus.messages import (
    AppendReply,
    AppendRequest,
    VoteReply,
    VoteRequest,
)

MEMBERS = Membership(tuple(Member(name, name) for name in "abc"), ())


def make_replica(terms=(), term=0):
    entries = [Entry(i, t, EntryKind.COMMAND) for i, t in enumerate(terms, 1)]
    return Replica(
        "a",
        Parameters(),
        random.Random(1),
        HardState(term),
        Snapshot(0, 0, MEMBERS),
        RaftLog(0, 0, entries),
    )


def make_leader(terms, term):
    replica = make_replica(terms, term)
    while replica.role is Role.FOLLOWER:
        replica.tick()
    replica.handle_message("b", VoteReply(term + 1, True, True))
    replica.handle_message("b", VoteReply(term + 1, True, False))
    assert replica.role is Role.LEADER
    replica.take_output()
    return replica


def find_reply(replica):
    return [message for _, message in replica.take_output().messages][-1]


def test_vote_is_durable_before_it_is_sent():
    replica = make_replica((1,), 1)
    replica.handle_message("b", VoteRequest(2, 1, 1, False))
    output = replica.take_output()
    assert output.hard_state == HardState(2, "b")
    assert output.messages == [("b", VoteReply(2, True, False))]


def test_vote_goes_to_one_candidate_per_term():
    replica = make_replica((1,), 1)
    replica.handle_message("b", VoteRequest(2, 1, 1, False))
    replica.take_output()
    replica.handle_message("c", VoteRequest(2, 1, 1, False))
    assert find_reply(replica) == VoteReply(2, False, False)


def test_vote_is_refused_to_a_shorter_or_older_log():
    for last_index, last_term in ((1, 2), (5, 1)):
        replica = make_replica((1, 2), 2)
        replica.handle_message("b", VoteRequest(3, last_index, last_term, False))
        assert find_reply(replica) == VoteReply(3, False, False)


def test_candidate_is_ignored_while_a_leader_sends_messages():
    replica = make_replica((1,), 1)
    replica.handle_message("b", AppendRequest(1, 1, 1, 0, 1))
    replica.take_output()
    replica.handle_message("c", VoteRequest(9, 5, 5, False))
    assert replica.term == 1
    assert not replica.take_output().messages


def test_entry_of_an_earlier_term_is_not_committed_by_counting():
    leader = make_leader((1, 1), 1)
    leader.handle_message("b", AppendReply(2, True, 2, 0, 1))
    assert leader.commit == 0
    leader.handle_message("b", AppendReply(2, True, 3, 2, 1))
    assert leader.commit == 3


def test_first_election_starts_sooner_and_disturbs_no_leader():
    starting = Replica(
        "a", Parameters(10, 2, 3), random.Random(1), None, Snapshot(0, 0, MEMBERS)
    )
    ticks = 0
    while starting.role is Role.FOLLOWER:
        starting.tick()
        ticks += 1
    assert 3 <= ticks < 6
    requests = [message for _, message in starting.take_output().messages]
    assert all(request.pre for request in requests)
    follower = make_replica()
    follower.own_id = "b"
    follower.handle_message("c", AppendRequest(1, 0, 0, 0, 1))
    follower.take_output()
    follower.handle_message("a", requests[0])
    assert follower.take_output().messages == []
    assert follower.term == 1


def test_leader_can_stop_once_a_majority_without_it_replies():
    leader = make_leader((1, 1), 1)
    assert not leader.can_stop_safely
    leader.handle_message("b", AppendReply(2, True, 2, 0, 1))
    assert not leader.can_stop_safely
    leader.handle_message("c", AppendReply(2, True, 2, 0, 1))
    assert leader.can_stop_safely
    for _ in range(leader.unreachable_after_ticks + 1):
        leader.tick()
        leader.handle_message("b", AppendReply(2, True, 2, 0, 2))
    assert not leader.can_stop_safely


def test_follower_can_stop_if_its_leader_reports_enough_voters():
    follower = make_replica((1,), 1)
    assert not follower.can_stop_safely
    follower.handle_message("b", AppendRequest(1, 1, 1, 0, 1, (), 2))
    assert not follower.can_stop_safely
    follower.handle_message("b", AppendRequest(1, 1, 1, 0, 1, (), 3))
    assert follower.can_stop_safely
    for _ in range(Parameters().election_ticks):
        follower.tick()
    assert not follower.can_stop_safely


def test_learner_can_always_stop():
    learner = make_replica()
    learner.own_id = "d"
    assert learner.can_stop_safely
