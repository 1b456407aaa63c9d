"""Membership of a replicated log."""

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

    Examples
    --------
    >>> one = Member(MemberId("a.1"), ProcessName("a"))
    >>> group = Membership((one,), ())
    >>> group.quorum
    1
    """

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def quorum(self) -> int:
        """Number of voters in a majority."""
        return len(self.voters) // 2 + 1

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
        return Membership(self.voters, (*kept, member))

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

    def remove(self, member_id: MemberId) -> "Membership":
        """Return a membership without this member."""
        return Membership(
            tuple(m for m in self.voters if m.id != member_id),
            tuple(m for m in self.learners if m.id != member_id),
        )
