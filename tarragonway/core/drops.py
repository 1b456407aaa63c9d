"""Messages that a process drops: those that cannot be decoded, or whose handler fails.

The sender of such a message would send it again on the next connection, so that ending
the connection for it helps nobody. A dropped message is as good as one lost with its
connection, which every protocol between processes has to bear.
"""

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.decoding import UndecodableError, decode_bytes

# Kinds of drops that are logged; the others are counted only.
MAX_LOGGED_KINDS = 64

_log = structlog.get_logger()


class _Tagged(msgspec.Struct):
    type: str = ""


_tag_decoder = msgspec.msgpack.Decoder(_Tagged)


class DroppedMessages:
    """Counts dropped messages, and logs the first of each kind.

    Parameters
    ----------
    counters : Counters
        Receives ``links.undecodable`` and ``links.handler_failed``, or the same under
        another prefix.
    prefix : str, optional
        Prefix of the counters.
    """

    def __init__(self, counters: Counters, prefix: str = "links") -> None:
        self._counters = counters
        self._prefix = prefix
        self._logged: set[tuple[str, ...]] = set()

    def record_undecodable(self, peer: str, body: bytes, error: Exception) -> None:
        """Record a message whose bytes cannot be decoded."""
        self._counters.increment(f"{self._prefix}.undecodable")
        message_type = _find_type(body)
        if self._is_new("undecodable", message_type, type(error).__name__):
            _log.error(
                "message dropped, as it cannot be decoded",
                peer=peer,
                message=message_type,
                bytes=len(body),
                reason=str(error)[:200],
            )

    def record_failed(self, peer: str, message: object, error: Exception) -> None:
        """Record a message whose handler has raised an error."""
        self._counters.increment(f"{self._prefix}.handler_failed")
        message_type = type(message).__name__
        if self._is_new("failed", message_type, type(error).__name__):
            _log.error(
                "message dropped, as its handler failed",
                peer=peer,
                message=message_type,
                exc_info=error,
            )

    def _is_new(self, *kind: str) -> bool:
        if kind in self._logged or len(self._logged) >= MAX_LOGGED_KINDS:
            return False
        self._logged.add(kind)
        return True


def _find_type(body: bytes) -> str:
    """Return the type that a message names, "" if that cannot be read either."""
    try:
        return decode_bytes(_tag_decoder, body).type[:40]
    except UndecodableError:
        return ""
