"""Messages about accepted requests between entry processes."""

import msgspec

from tarragonway.core.ids import Epoch, Incarnation, ProcessName, RequestId
from tarragonway.requests.model import RequestRecord


class CopyRecord(msgspec.Struct, frozen=True, tag=True):
    """The owner's copy of a whole request, with the progress so far."""

    record: RequestRecord


class ProgressPart(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one request from position ``start`` on.

    ``finished`` ends the request; ``error`` is then empty for a whole answer.
    """

    request: RequestId
    epoch: Epoch
    start: int
    tokens: tuple[str, ...]
    finished: bool = False
    error: str = ""


class CopyProgress(msgspec.Struct, frozen=True, tag=True):
    """Progress of several requests in one message."""

    parts: tuple[ProgressPart, ...]


class AckPart(msgspec.Struct, frozen=True, array_like=True):
    """How many tokens of a request a peer holds; -1 if it lacks the record."""

    request: RequestId
    epoch: Epoch
    position: int
    finished: bool = False


class CopyAck(msgspec.Struct, frozen=True, tag=True):
    """A peer's answer to :class:`CopyRecord` and :class:`CopyProgress`."""

    parts: tuple[AckPart, ...]


class CopyStale(msgspec.Struct, frozen=True, tag=True):
    """The request has a later owner; the receiver must stop writing."""

    request: RequestId
    epoch: Epoch
    owner: ProcessName


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """Sent to the entry processes that hold copies, and echoed by them."""

    incarnation: Incarnation
    stopping: bool
    echo: bool = False
