"""Planning of the single membership changes that replace a lost control process."""

from collections.abc import Sequence

from tarragonway.consensus import Member, Membership, Replica

# A group set up for this number of voters or more accepts no commands with fewer.
MIN_VOTERS = 3
MAX_PROMOTION_LAG_ENTRIES = 16


def plan_membership_change(
    replica: Replica, present: Sequence[Member], declared: int = MIN_VOTERS
) -> Membership | None:
    """Return the next membership, or None if no change is needed or possible yet.

    A new incarnation joins as a learner. Once it has caught up, the voter that it
    replaces is removed, and only then it becomes a voter. An odd number of voters has
    the same quorum as one voter fewer, so that the remaining voters can commit each of
    these steps: none waits for the learner, which may be lost at any moment. A voter
    that was removed while it was out of touch joins again in the same way.

    Parameters
    ----------
    replica : Replica
        The leader.
    present : sequence of Member
        Members that have recently asked to join, one of each name.
    declared : int
        Number of voters that the settings declare.
    """
    membership = replica.membership
    ready = [m for m in membership.learners if _is_ready(replica, m)]
    if ready and membership.is_reduced:
        return membership.promote(ready[0].id)
    removable = _find_replaced(replica, ready) or _find_removable(replica, ready)
    if removable is not None:
        return membership.remove(removable.id)
    promotable = _select_promotable(replica, ready, declared)
    if promotable:
        return membership.promote_all(promotable)
    for member in present:
        if membership.find(member.id) is None:
            return membership.add_learner(member)
    return None


def _is_ready(replica: Replica, learner: Member) -> bool:
    """Return whether a learner answers and stores nearly the whole log.

    A learner that has never answered stores nothing, however short the log is.
    """
    match_index = replica.get_match_index(learner.id)
    behind = replica.last_index - match_index
    is_current = match_index > 0 and behind <= MAX_PROMOTION_LAG_ENTRIES
    return is_current and not replica.is_unresponsive(learner.id)


def _find_replaced(replica: Replica, ready: Sequence[Member]) -> Member | None:
    """Return a voter whose name a later voter or a ready learner has.

    One process runs under a name at a time, so of two incarnations, the one that
    replied last has replaced the other.
    """
    voters = replica.membership.voters
    latest = {member.name: member for member in voters}
    for voter in voters:
        if latest[voter.name] != voter:
            return voter
    # Two voters commit nothing without each other, so neither could be removed.
    if len(voters) <= 2:
        return None
    silence = {m.name: replica.get_silent_ticks(m.id) for m in ready}
    for voter in voters:
        if replica.get_silent_ticks(voter.id) > silence.get(voter.name, float("inf")):
            return voter
    return None


def _find_removable(replica: Replica, ready: Sequence[Member]) -> Member | None:
    """Return the voter to remove if the group has a spare one or one to take its place.

    A voter that has announced its stop goes first, then the one that has been silent
    for longest. A voter that was only out of touch asks to be admitted again once it
    is back, so its removal costs nothing but a few entries.
    """
    membership = replica.membership
    has_successor = membership.can_be_reduced and ready
    if not membership.has_spare_voter and not has_successor:
        return None
    for voter in membership.voters:
        if voter.id in replica.departing:
            return voter
    unresponsive = [m for m in membership.voters if replica.is_unresponsive(m.id)]
    return max(unresponsive, key=lambda m: replica.get_silent_ticks(m.id), default=None)


def _select_promotable(
    replica: Replica, ready: Sequence[Member], declared: int
) -> Sequence[Member]:
    """Return the ready learners whose promotion does not wait for a single one of them.

    A single voter forms a group with as many learners at once as the group needs. A
    larger group promotes one learner at a time, if its present voters can commit that.
    """
    voters = replica.membership.voters
    if len(voters) == 1:
        missing = min(MIN_VOTERS, declared) - 1
        return ready[:missing] if len(ready) >= missing else ()
    names = {voter.name for voter in voters}
    for learner in ready:
        enlarged = replica.membership.promote(learner.id)
        if learner.name not in names and replica.count_reachable() >= enlarged.quorum:
            return (learner,)
    return ()
