"""Quorums of memberships while a voter is replaced."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tarragonway.consensus import Member, Membership
from tarragonway.core.ids import MemberId, ProcessName


def make_members(count):
    return tuple(
        Member(MemberId(f"m{n}#0"), ProcessName(f"m{n}")) for n in range(count)
    )


@given(st.integers(1, 4).map(lambda tolerated: 2 * tolerated + 1))
def test_replacement_never_needs_a_larger_quorum(size):
    *voters, learner = make_members(size + 1)
    membership = Membership(tuple(voters), (learner,))
    reduced = membership.remove(voters[0].id)
    promoted = reduced.promote(learner.id)
    assert reduced.is_reduced
    assert not promoted.is_reduced
    assert membership.size == reduced.size == promoted.size == size
    assert membership.quorum == reduced.quorum == promoted.quorum


@pytest.mark.parametrize(("size", "is_reduced"), [(2, False), (4, False), (5, True)])
def test_only_an_odd_number_of_voters_is_reduced(size, is_reduced):
    *voters, learner = make_members(size + 1)
    membership = Membership(tuple(voters), (learner,))
    assert membership.remove(voters[0].id).is_reduced == is_reduced
    assert not membership.remove(learner.id).is_reduced


def test_a_reduced_membership_stays_so_while_learners_come_and_go():
    *voters, one, other = make_members(5)
    reduced = Membership(tuple(voters), (one,)).remove(voters[0].id)
    assert reduced.add_learner(other).is_reduced
    assert reduced.remove(one.id).is_reduced
