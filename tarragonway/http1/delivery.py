"""What the operating system tells of bytes on their way to a peer."""

import asyncio
import fcntl
import struct
import termios
from collections.abc import Callable, Iterable

CHECK_INTERVAL_S = 0.05
# Peers that receive nothing for this time are not waited for.
STALL_TIMEOUT_S = 2.0

_INTEGER = struct.Struct("i")


def count_unacknowledged(transport: asyncio.Transport) -> int | None:
    """Return how many sent bytes the peer's system has not acknowledged.

    Return None if the operating system does not tell. On Linux, the end of the stream
    counts as one byte until it is acknowledged.

    References
    ----------
    tcp(7), SIOCOUTQ; it has the value of TIOCOUTQ.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return None
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INTEGER.size))
    except OSError:
        return None
    return int(_INTEGER.unpack(answer)[0])


def count_undelivered(transport: asyncio.Transport) -> int:
    """Return how many bytes the peer has not received yet, as far as known."""
    unacknowledged = count_unacknowledged(transport) or 0
    return transport.get_write_buffer_size() + unacknowledged


async def wait_delivered(
    list_transports: Callable[[], Iterable[asyncio.Transport]], timeout_s: float
) -> None:
    """Wait until all peers have received what was sent, while any of them reads.

    Parameters
    ----------
    list_transports : callable
        Returns the open transports.
    timeout_s : float
        Longest wait in seconds.
    """
    loop = asyncio.get_running_loop()
    started = progressed_at = loop.time()
    fewest = None
    while loop.time() - started < timeout_s:
        undelivered = sum(map(count_undelivered, list_transports()))
        if fewest is None or undelivered < fewest:
            fewest, progressed_at = undelivered, loop.time()
        if not undelivered or loop.time() - progressed_at >= STALL_TIMEOUT_S:
            return
        await asyncio.sleep(CHECK_INTERVAL_S)
