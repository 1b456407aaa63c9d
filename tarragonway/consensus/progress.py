"""Replication progress of the followers of a leader."""

from collections.abc import Iterable

from tarragonway.consensus.members import Membership
from tarragonway.core.ids import MemberId


class Progress:
    """Replication progress of one follower.

    ``match`` is the last index that the follower is known to store, ``next_index`` the
    index of the next entry to send, ``round`` the latest broadcast that it has
    answered, and ``active`` whether it has replied since the last quorum check. No
    second snapshot is sent while ``snapshot_wait_ticks`` is above 0.
    """

    def __init__(self, next_index: int) -> None:
        self.match = 0
        self.next_index = next_index
        self.round = 0
        self.active = False
        self.snapshot_wait_ticks = 0
        self.ticks_since_reply = 0

    def record_success(self, match: int) -> bool:
        """Record agreement up to ``match``; return whether ``match`` has advanced."""
        self.next_index = max(self.next_index, match + 1)
        self.snapshot_wait_ticks = 0
        if match <= self.match:
            return False
        self.match = match
        return True

    def record_rejection(self, prev_index: int, hint: int) -> bool:
        """Move ``next_index`` back after a rejected append.

        Return False and change nothing if the rejection is outdated.
        """
        if prev_index <= self.match:
            return False
        self.next_index = max(self.match, min(hint, prev_index - 1)) + 1
        return True


class ProgressTable:
    """Replication progress of all other members."""

    def __init__(self, own_id: MemberId) -> None:
        self._own_id = own_id
        self._rows: dict[MemberId, Progress] = {}

    def update_members(self, membership: Membership, next_index: int) -> None:
        """Add rows for new members and remove the rows of former members."""
        wanted = {m.id for m in membership.members} - {self._own_id}
        for member_id in sorted(wanted - set(self._rows)):
            self._rows[member_id] = Progress(next_index)
        for member_id in set(self._rows) - wanted:
            del self._rows[member_id]

    def get(self, member_id: MemberId) -> Progress | None:
        """Return the row of one member, or None if there is no such row."""
        return self._rows.get(member_id)

    def rows(self) -> Iterable[tuple[MemberId, Progress]]:
        """Return all rows with their members."""
        return self._rows.items()

    def compute_quorum_match(self, membership: Membership, own_match: int) -> int:
        """Return the highest index that a quorum of voters stores."""
        matches = {row_id: row.match for row_id, row in self._rows.items()}
        matches[self._own_id] = own_match
        return _select_quorum_value(membership, matches)

    def compute_quorum_round(self, membership: Membership, own_round: int) -> int:
        """Return the latest broadcast that a quorum of voters has answered."""
        rounds = {row_id: row.round for row_id, row in self._rows.items()}
        rounds[self._own_id] = own_round
        return _select_quorum_value(membership, rounds)

    def count_reachable(self, membership: Membership, limit_ticks: int) -> int:
        """Return the number of reachable voters, including this one.

        A follower is reachable if it has replied within the last ``limit_ticks``.
        """
        reachable = {
            row_id
            for row_id, row in self._rows.items()
            if row.round and row.ticks_since_reply <= limit_ticks
        }
        return len((reachable | {self._own_id}) & membership.voter_ids)

    def find_most_current(
        self, members: Iterable[MemberId], limit_ticks: int
    ) -> MemberId:
        """Return the member that stores most, among those that answer if any does.

        A follower answers if it has replied within the last ``limit_ticks``.
        """

        def rank(member_id: MemberId) -> tuple[bool, int]:
            row = self._rows.get(member_id)
            if row is None:
                return False, 0
            return row.ticks_since_reply <= limit_ticks, row.match

        return max(sorted(members), key=rank)

    def take_active_quorum(self, membership: Membership) -> bool:
        """Return whether a quorum has replied since the last call.

        The record of the replies is reset for the next call.
        """
        active = {row_id for row_id, row in self._rows.items() if row.active}
        active.add(self._own_id)
        for row in self._rows.values():
            row.active = False
        return len(active & membership.voter_ids) >= membership.quorum


def _select_quorum_value(membership: Membership, values: dict[MemberId, int]) -> int:
    ranked = sorted((values.get(v.id, 0) for v in membership.voters), reverse=True)
    return ranked[membership.quorum - 1] if ranked else 0
