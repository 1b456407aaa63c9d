"""Messages between entry and control processes, and between control processes."""

import msgspec

from tarragonway.consensus import Member
from tarragonway.core.ids import ProcessName
from tarragonway.state import Command, Result


class ControlCall(msgspec.Struct, frozen=True, tag=True):
    """Request to the leader to append a command to the log; safe to resend."""

    call: int
    command: Command


class ControlReply(msgspec.Struct, frozen=True, tag=True):
    """Reply with the result of a committed command."""

    call: int
    result: Result


class ControlRedirect(msgspec.Struct, frozen=True, tag=True):
    """Reply of a process that is not the leader.

    ``leader`` is the name of the leader, empty if none is known.
    """

    call: int
    leader: ProcessName


class JoinRequest(msgspec.Struct, frozen=True, tag=True):
    """Request of a control process that is not a voter to join the replication group.

    The process sends it to all other control processes until it is a voter, for example
    after a start with an empty data folder.
    """

    member: Member


class ReadIndexCall(msgspec.Struct, frozen=True, tag=True):
    """Request of a follower to the leader for a confirmed commit index."""

    call: int


class ReadIndexReply(msgspec.Struct, frozen=True, tag=True):
    """Reply with a commit index that the leader has confirmed with a majority.

    Every command acknowledged before the call is at or below ``index``.
    """

    call: int
    index: int
