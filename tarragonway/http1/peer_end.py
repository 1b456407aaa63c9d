"""How a peer has ended a connection: closed, half-closed or reset.

The end of the received stream looks the same whether the peer has closed its socket or
only its sending half (RFC 9293, section 3.6). After a half-close the peer may still
reset the connection, at any later time and without having read what was sent to it. Its
system tells the two apart once data arrives: for a closed socket it answers with a
reset, for a half-closed one with an acknowledgement (RFC 9293, section 3.10.7).
"""

import asyncio
import contextlib
import enum
import socket

from tarragonway.http1.sockets import count_unacknowledged_bytes, has_socket_error

# Urgent data is not part of the stream that a peer reads, unless it asks for that. An
# empty line after a request is ignored there (RFC 9112, section 2.2).
PROBE = b"\n"
CHECK_INTERVAL_S = 0.001


class PeerEnd(enum.Enum):
    """State of the peer's socket after the received stream has ended."""

    CLOSED = "closed"
    HALF_CLOSED = "half-closed"
    RESET = "reset"
    UNKNOWN = "unknown"


async def find_peer_end(transport: asyncio.Transport) -> PeerEnd:
    """Return how the peer has ended the connection, after a round trip.

    All bytes that were sent must have been received by the peer's system. Nothing can
    be sent afterwards, as this side is half-closed too. A reset that is under way when
    the probe is sent cannot be told from the answer of a closed socket.

    Returns
    -------
    PeerEnd
        UNKNOWN if the system cannot send urgent data, or does not tell what of it was
        acknowledged.
    """
    if has_socket_error(transport):
        return PeerEnd.RESET
    if count_unacknowledged_bytes(transport) is None:
        return PeerEnd.UNKNOWN
    try:
        _send_probe(transport)
    except (BrokenPipeError, ConnectionResetError):
        return PeerEnd.RESET
    except OSError:
        return PeerEnd.UNKNOWN
    while not has_socket_error(transport):
        if count_unacknowledged_bytes(transport) == 0:
            return PeerEnd.HALF_CLOSED
        await asyncio.sleep(CHECK_INTERVAL_S)
    return PeerEnd.CLOSED


def _send_probe(transport: asyncio.Transport) -> None:
    """Send urgent data and the end of this side's stream.

    The acknowledgement of data may be delayed, that of an end is not. Both are sent
    without a pause, as a reset in between would be taken for the answer of a closed
    socket.
    """
    # asyncio offers no urgent data, and its socket objects cannot send.
    with transport.get_extra_info("socket").dup() as sock:
        sock.send(PROBE, socket.MSG_OOB | socket.MSG_DONTWAIT)
        # A reset may have arrived already, and then there is nothing to end.
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_WR)
