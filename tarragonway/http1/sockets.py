"""Facts about a connection that only its socket knows."""

import asyncio
import contextlib
import socket
import struct

try:
    import fcntl
    import termios
except ImportError:  # pragma: no cover
    # Only Unix systems have these modules.
    fcntl = termios = None  # type: ignore[assignment]

# A ``struct linger`` that is on with a time of 0: closing the socket resets it.
LINGER_RESET = struct.pack("ii", 1, 0)


def reset_on_close(transport: asyncio.Transport) -> None:
    """Make closing the transport reset the connection, so that no data follows."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def has_undelivered_bytes(transport: asyncio.Transport) -> bool:
    """Return whether the peer's system has not received all written bytes.

    A peer whose process has read the whole request has acknowledged all of it, at the
    latest with the segment that ends its response.
    """
    return bool(count_unacknowledged_bytes(transport))


def count_unacknowledged_bytes(transport: asyncio.Transport) -> int | None:
    """Return how many written bytes the peer's system has not acknowledged.

    The transport's buffer does not show the bytes that the kernel holds: several
    megabytes on a fast link. On Linux, ``SIOCOUTQ`` (the number of ``TIOCOUTQ``) tells
    them. An end that was sent counts as a byte. None means that the system does not
    tell.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return None
    if buffered := transport.get_write_buffer_size():
        return buffered
    if fcntl is None:
        return None
    with contextlib.suppress(OSError):
        size = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
        return int(struct.unpack("i", size)[0])
    return None


def has_socket_error(transport: asyncio.Transport) -> bool:
    """Return whether the connection was reset after its received stream had ended.

    Reading does not show such a reset: it returns the end of the stream again.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
