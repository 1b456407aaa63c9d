"""Planning of the single membership changes that replace a lost control process."""

from collections.abc import Sequence

from tarragonway.consensus import Member, Membership, Replica

MAX_PROMOTION_LAG_ENTRIES = 16


def plan_membership_change(
    replica: Replica, present: Sequence[Member]
) -> Membership | None:
    """Return the next membership, or None if no change is needed or possible yet.

    A new incarnation joins as a learner and becomes a voter once it has caught up. Only
    then is the incarnation that it replaces removed, so that at every step each quorum
    stores every acknowledged entry.

    Parameters
    ----------
    replica : Replica
        The leader.
    present : sequence of Member
        Declared members that have recently asked to join.
    """
    membership = replica.membership
    replaced = _find_replaced(membership)
    if replaced is not None:
        return membership.remove(replaced.id)
    removable = _find_removable(replica, membership)
    if removable is not None:
        return membership.remove(removable.id)
    for learner in membership.learners:
        behind = replica.last_index - replica.get_match_index(learner.id)
        if behind <= MAX_PROMOTION_LAG_ENTRIES:
            return membership.promote(learner.id)
    for member in present:
        if membership.find(member.id) is None and not _is_joining(
            membership, member, present
        ):
            return membership.add_learner(member)
    return None


def _find_replaced(membership: Membership) -> Member | None:
    """Return a voter that a later voter of the same name has replaced."""
    latest = {member.name: member for member in membership.voters}
    return next((m for m in membership.voters if latest[m.name] != m), None)


def _find_removable(replica: Replica, membership: Membership) -> Member | None:
    """Return an unresponsive voter that a voter of another name makes unnecessary.

    An even number of voters tolerates no more failures than one voter fewer. If a
    single one of an even number above two is unresponsive, it can be removed.
    """
    if len(membership.voters) % 2 or len(membership.voters) <= 2:
        return None
    unresponsive = [m for m in membership.voters if replica.is_unresponsive(m.id)]
    return unresponsive[0] if len(unresponsive) == 1 else None


def _is_joining(
    membership: Membership, member: Member, present: Sequence[Member]
) -> bool:
    """Return whether a present learner of the same name is already joining."""
    return any(
        learner.name == member.name and learner in present
        for learner in membership.learners
    )
