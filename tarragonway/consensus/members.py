"""Membership of a replicated log."""

from collections.abc import Iterable

import msgspec

from tarragonway.core.errors import InvariantError
from tarragonway.core.ids import MemberId, ProcessName


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a control process.

    A process that has lost its data folder rejoins with a new ``id`` under its old
    ``name``, so that no vote recorded in the lost folder can be given a second time.
    """

    id: MemberId
    name: ProcessName


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Voters, which form quorums, and learners, which only receive the log.

    ``is_reduced`` is set while a voter's place is empty: the voter was removed from an
    odd number, and no learner has been promoted since.

    Examples
    --------
    >>> a, b, c, d = (Member(MemberId(f"{n}.1"), ProcessName(n)) for n in "abcd")
    >>> group = Membership((a, b, c), (d,))
    >>> reduced = group.remove(c.id)
    >>> reduced.is_reduced, reduced.size
    (True, 3)
    >>> group.quorum, reduced.quorum, reduced.promote(d.id).quorum
    (2, 2, 2)
    """

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()
    is_reduced: bool = False

    @property
    def quorum(self) -> int:
        """Number of voters in a majority."""
        return len(self.voters) // 2 + 1

    @property
    def size(self) -> int:
        """Number of voters, an empty place included."""
        return len(self.voters) + self.is_reduced

    @property
    def can_be_reduced(self) -> bool:
        """Whether one voter fewer leaves the quorum as large as it is."""
        return len(self.voters) > 2 and len(self.voters) % 2 == 1

    @property
    def has_spare_voter(self) -> bool:
        """Whether one voter fewer tolerates as many losses.

        An even number of voters tolerates no more losses than one voter fewer.
        """
        return len(self.voters) > 2 and len(self.voters) % 2 == 0

    @property
    def voter_ids(self) -> frozenset[MemberId]:
        """Ids of the voters."""
        return frozenset(member.id for member in self.voters)

    @property
    def members(self) -> tuple[Member, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    def find(self, member_id: MemberId) -> Member | None:
        """Return the member with this id, or None."""
        return next((m for m in self.members if m.id == member_id), None)

    def add_learner(self, member: Member) -> "Membership":
        """Return a membership with one more learner.

        Raises
        ------
        InvariantError
            If the member is already part of the group.
        """
        if self.find(member.id) is not None:
            raise InvariantError(f"cannot add {member.id}: it is already a member")
        # A learner of the same name is an earlier incarnation that abandoned its join.
        kept = tuple(m for m in self.learners if m.name != member.name)
        return Membership(self.voters, (*kept, member), self.is_reduced)

    def promote(self, member_id: MemberId) -> "Membership":
        """Return a membership in which a learner has become a voter.

        Raises
        ------
        InvariantError
            If the member is not a learner.
        """
        member = self.find(member_id)
        if member is None or member not in self.learners:
            raise InvariantError(f"cannot promote {member_id}: it is not a learner")
        learners = tuple(m for m in self.learners if m.id != member_id)
        return Membership((*self.voters, member), learners)

    def promote_all(self, members: Iterable[Member]) -> "Membership":
        """Return a membership in which several learners have become voters."""
        membership = self
        for member in members:
            membership = membership.promote(member.id)
        return membership

    def remove(self, member_id: MemberId) -> "Membership":
        """Return a membership without this member."""
        voters = tuple(m for m in self.voters if m.id != member_id)
        learners = tuple(m for m in self.learners if m.id != member_id)
        is_reduced = self.is_reduced
        if voters != self.voters:
            is_reduced = self.can_be_reduced
        return Membership(voters, learners, is_reduced)
