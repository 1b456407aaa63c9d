"""Messages between entry and control processes, and between control processes."""

import msgspec

from tarragonway.consensus import Member
from tarragonway.core.ids import ProcessName
from tarragonway.state import Command, Result


class ControlCall(msgspec.Struct, frozen=True, tag=True):
    """Asks the leader to put a command into the log; safe to repeat."""

    call: int
    command: Command


class ControlReply(msgspec.Struct, frozen=True, tag=True):
    """The committed command's result."""

    call: int
    result: Result


class ControlRedirect(msgspec.Struct, frozen=True, tag=True):
    """The process is not the leader; ``leader`` is empty if none is known."""

    call: int
    leader: ProcessName


class JoinRequest(msgspec.Struct, frozen=True, tag=True):
    """A control process with an empty data folder asks to become a member."""

    member: Member


class ReadIndexCall(msgspec.Struct, frozen=True, tag=True):
    """A follower asks the leader to confirm how far the log is committed."""

    call: int


class ReadIndexReply(msgspec.Struct, frozen=True, tag=True):
    """Everything acknowledged before the call is at or below ``index``."""

    call: int
    index: int
