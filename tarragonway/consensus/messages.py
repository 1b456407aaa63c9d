"""Records and messages of the replicated log."""

import enum

import msgspec

from tarragonway.consensus.members import Membership
from tarragonway.core.ids import ClusterId, MemberId
from tarragonway.core.numbers import Count


class EntryKind(enum.IntEnum):
    """Kind of content that a log entry carries."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log."""

    index: Count
    term: Count
    kind: EntryKind
    payload: bytes = b""


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Term and vote, made durable before any message that depends on them is sent."""

    term: Count = 0
    voted_for: MemberId | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State and membership after the entry at ``index`` was applied."""

    index: Count = 0
    term: Count = 0
    membership: Membership = Membership()
    state: bytes = b""


class LogTail(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive entries that follow the entry at ``start_index``."""

    start_index: Count = 0
    start_term: Count = 0
    entries: tuple[Entry, ...] = ()


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Request for a vote or, with ``pre``, for a pre-vote.

    A pre-vote asks whether a vote would be granted and changes no term. ``transfer``
    marks an election that the leader has requested for a leadership transfer.
    """

    term: Count
    last_index: Count
    last_term: Count
    pre: bool
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to a :class:`VoteRequest`."""

    term: Count
    granted: bool
    pre: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """Entries that follow ``prev_index``, or a heartbeat if there are none.

    ``round`` is the number of the leader's broadcast; the replies to it confirm the
    leadership for linearizable reads. ``heard`` is the number of voters that have
    recently replied to the leader, including the leader itself.
    """

    term: Count
    prev_index: Count
    prev_term: Count
    commit: Count
    round: Count
    entries: tuple[Entry, ...] = ()
    heard: Count = 0


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to an :class:`AppendRequest` or :class:`SnapshotRequest`.

    If ``success``, ``match`` is the last index at which the follower's log is known to
    agree with the leader's log. Otherwise it is the ``prev_index`` that the follower
    proposes for the next attempt.
    """

    term: Count
    success: bool
    match: Count
    prev_index: Count
    round: Count


class SnapshotRequest(msgspec.Struct, frozen=True, tag=True):
    """Snapshot for a follower that lacks entries which the leader has compacted."""

    term: Count
    round: Count
    snapshot: Snapshot


class ElectNow(msgspec.Struct, frozen=True, tag=True):
    """Request of the leader to a follower to start an election without delay.

    It transfers the leadership.
    """

    term: Count


class LeaveRequest(msgspec.Struct, frozen=True, tag=True):
    """Request of a voter that is about to stop to be removed from the group."""

    term: Count


class LeaveReply(msgspec.Struct, frozen=True, tag=True):
    """Confirmation by the leader that the recipient is no voter any more."""

    term: Count


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | ElectNow
    | LeaveRequest
    | LeaveReply
)


class Packet(msgspec.Struct, frozen=True, tag=True):
    """Message with its cluster, its sender and its recipient.

    A recipient drops packets of another cluster or for another incarnation.
    """

    cluster: ClusterId
    source: MemberId
    target: MemberId
    body: Message
