"""Log lines and state dump of a replica's membership."""

from typing import Any

import structlog

from tarragonway.consensus import Member, Membership, Replica

_log = structlog.get_logger()


class MembershipLogger:
    """Logs each membership that comes into force at a replica, and its commit.

    A membership is in force from the moment at which its entry is appended, so that
    one without a commit shows that too few of its voters store the entry.

    Parameters
    ----------
    replica : Replica
        Replica whose membership is logged.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._logged = self._read_state()

    def log_change(self) -> None:
        """Log the membership if it, or whether it is committed, has changed."""
        state = self._read_state()
        if state == self._logged:
            return
        self._logged = state
        membership, committed = state
        _log.info(
            "membership committed" if committed else "membership in force",
            index=self._replica.membership_index,
            voters=list_ids(membership.voters),
            learners=list_ids(membership.learners),
            quorum=membership.quorum,
            commit=self._replica.commit,
            term=self._replica.term,
        )

    def _read_state(self) -> tuple[Membership, bool]:
        replica = self._replica
        return replica.membership, not replica.has_uncommitted_membership


def make_membership_dump(replica: Replica) -> dict[str, Any]:
    """Return what a replica knows of its group's members for the state dump."""
    membership = replica.membership
    return {
        "voters": list_ids(membership.voters),
        "learners": list_ids(membership.learners),
        "quorum": membership.quorum,
        "membership_index": replica.membership_index,
        "membership_committed": not replica.has_uncommitted_membership,
        "votes": sorted(replica.votes),
    }


def list_ids(members: tuple[Member, ...]) -> list[str]:
    """Return the ids of members in their order."""
    return [member.id for member in members]
