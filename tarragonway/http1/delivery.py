"""What the operating system tells of bytes on their way to a peer."""

import asyncio
import enum
import fcntl
import struct
import termios
from collections.abc import Callable, Iterable

CHECK_INTERVAL_S = 0.05
# Peers that receive nothing for this time are not waited for when a process ends.
STALL_TIMEOUT_S = 2.0
# A connection that is closed after a response stays open for this time once the peer
# has received it, so that the peer closes first.
CLOSE_TIMEOUT_S = 1.0
# The same if the operating system does not tell what the peer has received.
UNKNOWN_CLOSE_TIMEOUT_S = 3.0
# A peer that receives nothing for this time while bytes are left does not get them.
DELIVERY_STALL_TIMEOUT_S = 10.0

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


class Delivery(enum.Enum):
    """Whether the peer of a connection that is being closed has received all bytes."""

    UNDER_WAY = "under_way"
    COMPLETE = "complete"
    STALLED = "stalled"


class DeliveryWatch:
    """Follows the delivery of the last bytes on one connection.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport to which everything has been written.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._undelivered_bytes = count_undelivered(transport)
        self._progressed_at = asyncio.get_running_loop().time()

    def check(self) -> Delivery:
        """Return the state of the delivery; it is called every few moments."""
        now = asyncio.get_running_loop().time()
        undelivered = count_undelivered(self._transport)
        if undelivered < self._undelivered_bytes:
            self._undelivered_bytes, self._progressed_at = undelivered, now
        if undelivered:
            timeout_s = DELIVERY_STALL_TIMEOUT_S
        elif count_unacknowledged(self._transport) is None:
            timeout_s = UNKNOWN_CLOSE_TIMEOUT_S
        else:
            timeout_s = CLOSE_TIMEOUT_S
        if now - self._progressed_at < timeout_s:
            return Delivery.UNDER_WAY
        return Delivery.STALLED if undelivered else Delivery.COMPLETE


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
