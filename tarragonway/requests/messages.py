"""Messages between entry processes about accepted requests."""

import msgspec

from tarragonway.core.ids import Incarnation, OwnerEpoch, ProcessName, RequestId
from tarragonway.requests.model import RequestRecord


class CopyRecord(msgspec.Struct, frozen=True, tag=True):
    """A whole request with its progress, sent by its owner to a peer."""

    record: RequestRecord


class ProgressPart(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one request from position ``start`` on.

    ``finished`` is true if the request ended after these tokens; ``error`` is then the
    reason of its failure, or empty if it succeeded.
    """

    request: RequestId
    epoch: OwnerEpoch
    start: int
    tokens: tuple[str, ...]
    finished: bool = False
    error: str = ""


class CopyProgress(msgspec.Struct, frozen=True, tag=True):
    """Progress of several requests in one message."""

    parts: tuple[ProgressPart, ...]


class AckPart(msgspec.Struct, frozen=True, array_like=True):
    """How many tokens of a request a peer holds; -1 if it has no copy."""

    request: RequestId
    epoch: OwnerEpoch
    position: int
    finished: bool = False


class CopyAck(msgspec.Struct, frozen=True, tag=True):
    """A peer's answer to :class:`CopyRecord` and :class:`CopyProgress`."""

    parts: tuple[AckPart, ...]


class CopyStale(msgspec.Struct, frozen=True, tag=True):
    """The request has a later owner; the receiver must abandon it."""

    request: RequestId
    epoch: OwnerEpoch
    owner: ProcessName


class Heartbeat(msgspec.Struct, frozen=True, tag=True):
    """Heartbeat of an entry process to its partners and holders, and its echo.

    An empty ``incarnation`` means that the owner hands its requests over. If
    ``stopping``, the sender is about to stop and is to get no new copies.
    """

    incarnation: Incarnation
    stopping: bool
    echo: bool = False
