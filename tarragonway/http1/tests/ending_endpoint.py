"""Endpoint that ends its connections in any order of reading, answering and closing."""

import asyncio
import enum
import socket
import struct

import msgspec
from hypothesis import strategies as st

MAX_PAUSE_S = 0.3


class Ending(enum.Enum):
    """What the endpoint does once it has written its answer."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE_THEN_CLOSE = "half-close, close"
    HALF_CLOSE_THEN_RESET = "half-close, reset"


class Order(msgspec.Struct, frozen=True):
    """Order of an endpoint's steps.

    ``delay_s`` is the time before the answer, ``pause_s`` the time after the half-close
    or, without one, before the end.
    """

    reads_first: bool
    ending: Ending
    request_bytes: int
    delay_s: float
    pause_s: float

    @property
    def has_read(self) -> bool:
        """Whether the endpoint has read the whole request when it answers."""
        return self.reads_first or not self.request_bytes

    @property
    def closes_in_order(self) -> bool:
        """Whether the endpoint reads the request, answers and closes its connection.

        A half-close right before the close shows as one end.
        """
        closes = self.ending is Ending.CLOSE or (
            self.ending is Ending.HALF_CLOSE_THEN_CLOSE and not self.pause_s
        )
        return closes and self.has_read

    @property
    def may_be_whole(self) -> bool:
        """Whether an answer without a length may be taken for a whole one."""
        return self.ending in (Ending.CLOSE, Ending.HALF_CLOSE_THEN_CLOSE) and (
            self.has_read
        )


def draw_orders(sizes):
    """Return a strategy for orders of requests with these sizes."""
    times = st.sampled_from([0.0, 0.002, 0.01, 0.03, 0.06]) | st.floats(0, MAX_PAUSE_S)
    return st.builds(
        Order, st.booleans(), st.sampled_from(Ending), st.sampled_from(sizes),
        st.sampled_from([0.0, 0.0, 0.02]), times,
    )  # fmt: skip


class EndingEndpoint:
    """Serves connections on ``port``, each by the order that ``choose`` returns.

    ``choose`` gets the head of a request, and returns its order and answer. An endpoint
    that does not read first leaves what follows the head in its system's buffer.
    """

    def __init__(self, port, choose) -> None:
        self._choose = choose
        self._socket = socket.create_server(("127.0.0.1", port), backlog=1024)
        self._socket.setblocking(False)
        self._tasks = {asyncio.create_task(self._accept())}

    async def close(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._socket.close()

    async def _accept(self) -> None:
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(self._socket)
            self._tasks.add(asyncio.create_task(self._serve(sock)))

    async def _serve(self, sock) -> None:
        with sock:
            sock.setblocking(False)
            head = await _read_head(sock)
            order, answer = self._choose(head)
            if order.reads_first:
                await _read_exactly(sock, _find_length(head))
            await asyncio.sleep(order.delay_s)
            await asyncio.get_running_loop().sock_sendall(sock, answer)
            if order.ending in (
                Ending.HALF_CLOSE_THEN_CLOSE,
                Ending.HALF_CLOSE_THEN_RESET,
            ):
                sock.shutdown(socket.SHUT_WR)
            if order.pause_s:
                await asyncio.sleep(order.pause_s)
            if order.ending in (Ending.RESET, Ending.HALF_CLOSE_THEN_RESET):
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def _read_head(sock) -> bytes:
    """Read up to the end of a request's head, and leave the rest unread."""
    loop = asyncio.get_running_loop()
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        head += await loop.sock_recv(sock, 1)
    return head


def _find_length(head) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0


async def _read_exactly(sock, size) -> None:
    loop = asyncio.get_running_loop()
    while size:
        data = await loop.sock_recv(sock, size)
        if not data:
            return
        size -= len(data)
