"""Endpoint that answers an upload before it has read it, and then ends its answer."""

import asyncio
import socket
import struct

# What the endpoint does after the part of its answer; the client runs in the pauses.
ENDINGS = (
    "half-close, reset",
    "half-close and reset together",
    "half-close, orderly close",
    "reset",
)
PAUSE_S = 0.01
# Sizes of an upload: the first one fits into the endpoint's receive buffer, so that all
# of it counts as received although the endpoint never reads it.
HELD_UPLOAD_BYTES = 60_000
LONG_UPLOAD_BYTES = 4_000_000
UPLOADS_AND_ENDINGS = [
    (size, ending)
    for size in (HELD_UPLOAD_BYTES, LONG_UPLOAD_BYTES)
    for ending in ENDINGS
    # A whole upload followed by an orderly end is no truncation.
    if (size, ending) != (HELD_UPLOAD_BYTES, "half-close, orderly close")
]


class EarlyEndpoint:
    """Serves connections on ``port`` with ``answer`` once a request's head arrives."""

    def __init__(self, port: int, answer: bytes, ending: str) -> None:
        self._answer = answer
        self._ending = ending
        self._socket = socket.create_server(("127.0.0.1", port))
        self._socket.setblocking(False)
        self._task = asyncio.create_task(self._accept())
        self._tasks: set[asyncio.Task] = set()
        self.connections = 0

    async def close(self) -> None:
        for task in [self._task, *self._tasks]:
            task.cancel()
        await asyncio.gather(self._task, *self._tasks, return_exceptions=True)
        self._socket.close()

    async def _accept(self) -> None:
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(self._socket)
            self.connections += 1
            self._tasks.add(asyncio.create_task(self._serve(sock)))

    async def _serve(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        sock.setblocking(False)
        with sock:
            await loop.sock_recv(sock, 1024)
            await loop.sock_sendall(sock, self._answer)
            await asyncio.sleep(PAUSE_S)
            if self._ending != "reset":
                sock.shutdown(socket.SHUT_WR)
            if self._ending.startswith("half-close,"):
                await asyncio.sleep(PAUSE_S)
            if self._ending.endswith("close"):
                while await loop.sock_recv(sock, 1 << 16):
                    pass
            else:
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
