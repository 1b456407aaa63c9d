"""Groups whose log has a promotion before the removal, as older builds propose it."""

import msgspec

from tarragonway.consensus import Member, Membership
from tarragonway.core.ids import MemberId, ProcessName
from tarragonway.replication.tests.group import CATCH_UP_TICKS, Group

RECOVERY_TICKS = 120


class OlderMembership(msgspec.Struct, frozen=True, array_like=True):
    """Membership as older builds store it."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()


def propose_promotion_first(group, name):
    """Lose a member's disk and promote its new incarnation as an older build does."""
    group.run(40)
    assert group.write("first", RECOVERY_TICKS)
    process = group.processes[name]
    process.stop(keeps_disk=False)
    group.run(RECOVERY_TICKS)
    leader = group.find_leader()
    membership = leader.replica.membership.add_learner(process.member)
    assert leader.replica.propose_membership(membership) is not None
    group.run(4)
    promoted = leader.replica.membership.promote(process.id)
    assert leader.replica.propose_membership(promoted) is not None
    group.flush(leader)
    return process


def test_promotion_that_its_member_stores_is_completed():
    group = Group(3, seed=1)
    process = propose_promotion_first(group, "c0")
    process.start()
    group.run(CATCH_UP_TICKS)
    assert group.write("last", RECOVERY_TICKS)
    assert not group.list_lost()
    membership = group.find_leader().replica.membership
    assert membership.voter_ids == {"c0#1", "c1#0", "c2#0"}


# Two of the four voters are left. If they decided alone, safety would rest on the
# assumption that no former incarnation still runs.
def test_promotion_whose_member_is_lost_stays_without_a_leader():
    group = Group(3, seed=1)
    process = propose_promotion_first(group, "c0")
    process.stop(keeps_disk=False)
    process.start()
    group.run(CATCH_UP_TICKS + RECOVERY_TICKS)
    assert not group.write("last", RECOVERY_TICKS)
    assert group.find_leader() is None
    for name in ("c1", "c2"):
        replica = group.processes[name].replica
        assert replica.has_uncommitted_membership
        assert not replica.read(1)


def test_memberships_of_both_builds_are_readable_by_the_other():
    a, b, c = (Member(MemberId(f"{n}#0"), ProcessName(n)) for n in "abc")
    older = msgspec.msgpack.encode(OlderMembership((a, b, c), ()))
    assert msgspec.msgpack.decode(older, type=Membership) == Membership((a, b, c))
    reduced = Membership((a, b, c)).remove(c.id)
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(reduced), type=OlderMembership
    )
    assert decoded == OlderMembership((a, b))
