"""Records and messages of the replicated log."""

import enum

import msgspec

from tarragonway.consensus.members import Membership
from tarragonway.core.ids import ClusterId, MemberId


class EntryKind(enum.IntEnum):
    """What an entry carries."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One position of the log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes = b""


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Term and vote, durable before any message that depends on them."""

    term: int = 0
    voted_for: MemberId | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State machine's content after the entry at ``index``."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    state: bytes = b""


class LogTail(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive entries after ``start_index``."""

    start_index: int = 0
    start_term: int = 0
    entries: tuple[Entry, ...] = ()


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks for a vote, or with ``pre`` whether one would be given.

    ``transfer`` marks an election that the leader itself asked for.
    """

    term: int
    last_index: int
    last_term: int
    pre: bool
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Answer to a :class:`VoteRequest`."""

    term: int
    granted: bool
    pre: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """Entries after ``prev_index``; without entries a heartbeat.

    ``round`` numbers the leader's broadcasts, to confirm its leadership for reads.
    ``heard`` is how many voters the leader hears, itself included.
    """

    term: int
    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: tuple[Entry, ...] = ()
    heard: int = 0


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Answer to an :class:`AppendRequest` or :class:`SnapshotRequest`.

    ``match`` is the last index known to agree with the leader if ``success``, else
    the follower's hint where to go on.
    """

    term: int
    success: bool
    match: int
    prev_index: int
    round: int


class SnapshotRequest(msgspec.Struct, frozen=True, tag=True):
    """A whole snapshot for a follower that lacks compacted entries."""

    term: int
    round: int
    snapshot: Snapshot


class ElectNow(msgspec.Struct, frozen=True, tag=True):
    """Leader's order to a follower to start an election without delay."""

    term: int


Message = (
    VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest | ElectNow
)


class Packet(msgspec.Struct, frozen=True, tag=True):
    """A message with the identities of both ends.

    Packets of another cluster or for another incarnation are dropped.
    """

    cluster: ClusterId
    source: MemberId
    target: MemberId
    body: Message
