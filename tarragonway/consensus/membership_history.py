"""Memberships that a replica's log holds, committed or not."""

import msgspec

from tarragonway.consensus.members import Membership
from tarragonway.consensus.messages import Entry, EntryKind
from tarragonway.core.decoding import decode_stored

_decoder = msgspec.msgpack.Decoder(Membership)


class MembershipHistory:
    """Memberships by the index of the entry that brought each, the latest last.

    A membership is in force from the moment at which its entry is appended. If the
    entry is removed, the one before is in force again.

    Parameters
    ----------
    index : int
        Index up to which ``membership`` is known to be in force.
    membership : Membership
        The first membership.

    Examples
    --------
    >>> history = MembershipHistory(0, Membership())
    >>> history.latest.voters, history.latest_index
    ((), 0)
    """

    def __init__(self, index: int, membership: Membership) -> None:
        self._rows = [(index, membership)]

    @property
    def latest(self) -> Membership:
        """Membership in force."""
        return self._rows[-1][1]

    @property
    def latest_index(self) -> int:
        """Index of the entry that brought the membership in force."""
        return self._rows[-1][0]

    def record(self, entry: Entry) -> None:
        """Record an appended entry; other kinds of entries change nothing."""
        if entry.kind is EntryKind.MEMBERS:
            place = f"the membership in log entry {entry.index}"
            membership = decode_stored(_decoder, entry.payload, place)
            self._rows.append((entry.index, membership))

    def truncate(self, index: int) -> None:
        """Forget the memberships of entries from ``index`` on."""
        self._rows = [row for row in self._rows if row[0] < index]

    def find(self, index: int) -> Membership:
        """Return the membership that is in force at an index."""
        return [membership for at, membership in self._rows if at <= index][-1]

    def compact(self, index: int) -> Membership:
        """Forget what came before the membership at an index; return that one."""
        membership = self.find(index)
        later = [row for row in self._rows if row[0] > index]
        self._rows = [(0, membership), *later]
        return membership
