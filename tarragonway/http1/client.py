"""Endpoints' side: one connection, one exchange at a time."""

import asyncio
import socket
import struct
from collections.abc import Callable

import h11
import msgspec

Headers = list[tuple[bytes, bytes]]

RESET_ON_CLOSE = struct.pack("ii", 1, 0)

ANSWER_HEAD_LIMIT_BYTES = 64 * 1024


class ConnectionEnded(Exception):  # noqa: N818
    """The connection ended or broke the protocol before the answer was complete."""


class AnswerHead(msgspec.Struct, frozen=True):
    """Status and headers of an answer, header names in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first header of this lower-case name."""
        return next((value for key, value in self.headers if key == name), None)


class EndpointConnection(asyncio.Protocol):
    """A connection to an endpoint.

    After :meth:`send` and a full read, :attr:`is_reusable` tells whether the next
    request may use it: the answer was complete, nothing follows it and nobody asked to
    close.
    """

    def __init__(self) -> None:
        self._http = h11.Connection(h11.CLIENT, ANSWER_HEAD_LIMIT_BYTES)
        self._transport: asyncio.Transport | None = None
        self._wake: asyncio.Event = asyncio.Event()
        self._lost = False
        self._reset = False
        self._idle = True
        self._spoiled = False
        self._sent: list[h11.Event] = []
        self.idle_since = 0.0
        self.idle_limit_s = float("inf")
        self.exchanges = 0

    # Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Take bytes; bytes that belong to no request spoil the connection."""
        if self._idle:
            self._spoiled = True
            self.abort()
            return
        if self._http.their_state is not h11.ERROR:
            self._http.receive_data(data)
        self._wake.set()

    def eof_received(self) -> bool:
        """Note a clean end of the answer's side."""
        self._spoiled = True
        if not self._idle and self._http.their_state is not h11.ERROR:
            self._http.receive_data(b"")
        self._wake.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end; an exception means that it was reset."""
        self._lost = True
        self._reset = exc is not None
        self._transport = None
        self._wake.set()

    # Exchange

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and not self._spoiled
        )

    @property
    def is_reusable(self) -> bool:
        """Whether the exchange is over and another may follow."""
        return (
            self.is_open
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send one whole request.

        Raises
        ------
        ConnectionEnded
            If the connection has ended, before anything was sent.
        """
        if not self.is_open:
            raise ConnectionEnded("the connection is closed")
        assert self._transport is not None
        if self.exchanges:
            self._http.start_next_cycle()
        self._idle = False
        self.exchanges += 1
        self._sent = [h11.Request(method=method, target=target, headers=headers)]
        if body:
            self._sent.append(h11.Data(data=body))
        self._sent.append(h11.EndOfMessage())
        parts = [self._http.send(event) or b"" for event in self._sent]
        self._transport.write(b"".join(parts))

    async def read_head(self, is_expected: Callable[[AnswerHead], bool]) -> AnswerHead:
        """Return the head of the answer, past late answers to other requests.

        Raises
        ------
        ConnectionEnded
            If no such answer comes.
        """
        while True:
            event = await self._read_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ConnectionEnded("no answer")
            head = AnswerHead(event.status_code, list(event.headers))
            if is_expected(head):
                return head
            await self._skip_answer()

    async def read_data(self) -> bytes | None:
        """Return the next part of the body, or None at its proper end.

        Raises
        ------
        ConnectionEnded
            If the body is incomplete.
        """
        event = await self._read_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionEnded("the answer is incomplete")

    def abort(self) -> None:
        """Reset the connection: the endpoint drops the request, and unsent bytes go."""
        if self._transport is not None:
            reset_on_close(self._transport)
            self._transport.abort()

    def close(self) -> None:
        """End an idle connection."""
        if self._transport is not None:
            self._transport.close()

    def rest(self, now: float) -> None:
        """Mark the connection as idle."""
        self._idle = True
        self.idle_since = now

    async def _read_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionEnded(str(error)) from error
            if event is not h11.NEED_DATA and event is not h11.PAUSED:
                return event
            if self._lost:
                raise ConnectionEnded("reset" if self._reset else "closed")
            self._wake.clear()
            await self._wake.wait()

    async def _skip_answer(self) -> None:
        """Read an answer that belongs to another request, and expect ours again."""
        while await self.read_data() is not None:
            pass
        rest = self._http.trailing_data[0]
        if self._http.their_state is not h11.DONE:
            raise ConnectionEnded("closed after another answer")
        self._http = h11.Connection(h11.CLIENT, ANSWER_HEAD_LIMIT_BYTES)
        for event in self._sent:
            self._http.send(event)
        if rest:
            self._http.receive_data(rest)


def reset_on_close(transport: asyncio.Transport) -> None:
    """Make the transport's end a reset, after which nothing is delivered any more."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
