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
    stores every acknowledged entry. A voter that was removed while it was out of touch
    joins again in the same way.

    Parameters
    ----------
    replica : Replica
        The leader.
    present : sequence of Member
        Members that have recently asked to join, one of each name.
    """
    membership = replica.membership
    replaced = _find_replaced(membership)
    if replaced is not None:
        return membership.remove(replaced.id)
    removable = _find_removable(replica, membership)
    if removable is not None:
        return membership.remove(removable.id)
    for learner in membership.learners:
        if _can_be_promoted(replica, learner):
            return membership.promote(learner.id)
    for member in present:
        if membership.find(member.id) is None:
            return membership.add_learner(member)
    return None


def _find_replaced(membership: Membership) -> Member | None:
    """Return a voter that a later voter of the same name has replaced."""
    latest = {member.name: member for member in membership.voters}
    return next((m for m in membership.voters if latest[m.name] != m), None)


def _find_removable(replica: Replica, membership: Membership) -> Member | None:
    """Return the voter to remove if the group has one more than it needs.

    A voter that has announced its stop goes first, then the one that has been silent
    for longest. A voter that was only out of touch asks to be admitted again once it
    is back, so its removal costs nothing but a few entries.
    """
    if not membership.has_spare_voter:
        return None
    for voter in membership.voters:
        if voter.id in replica.departing:
            return voter
    unresponsive = [m for m in membership.voters if replica.is_unresponsive(m.id)]
    return max(unresponsive, key=lambda m: replica.get_silent_ticks(m.id), default=None)


def _can_be_promoted(replica: Replica, learner: Member) -> bool:
    """Return whether a learner answers and stores nearly the whole log.

    A learner that has never answered stores nothing, however short the log is.
    """
    match_index = replica.get_match_index(learner.id)
    behind = replica.last_index - match_index
    is_current = match_index > 0 and behind <= MAX_PROMOTION_LAG_ENTRIES
    return is_current and not replica.is_unresponsive(learner.id)
