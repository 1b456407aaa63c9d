"""Client side: a connection to an endpoint that carries one exchange at a time."""

import asyncio
import socket
import struct
from collections.abc import Callable

import h11
import msgspec

Headers = list[tuple[bytes, bytes]]

# A ``struct linger`` that is on with a time of 0: closing the socket resets it.
LINGER_RESET = struct.pack("ii", 1, 0)

MAX_RESPONSE_HEAD_BYTES = 64 * 1024
# Reading pauses while more received bytes are not parsed yet, since their reader waits.
MAX_UNPARSED_BYTES = 256 * 1024
# Largest response to another request that is skipped before the expected one.
MAX_SKIPPED_BYTES = 1024 * 1024
MAX_INFORMATIONAL_RESPONSES = 16
# Successes that never have a body: No Content and Reset Content.
BODYLESS_STATUSES = (204, 205)
# Other tasks run after this many parsed parts, which may be as short as one byte.
MAX_PARTS_PER_TURN = 64


class ConnectionEnded(Exception):  # noqa: N818
    """The connection ended, or broke the protocol, before the response was complete."""


class RequestNotEncodable(Exception):  # noqa: N818
    """A request has parts that HTTP does not allow, so nothing was sent."""


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the first header with this lower-case name, or None."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def is_framed(self) -> bool:
        """Whether the body has a length or chunks, and not just a connection's end."""
        return any(
            key in (b"content-length", b"transfer-encoding") for key, _ in self.headers
        )

    def may_lack_body(self, method: str) -> bool:
        """Return whether a response without a body is complete for certain.

        A success with neither a length nor chunks may have broken off after its head.
        """
        return (
            self.is_framed
            or self.status >= 300
            or self.status in BODYLESS_STATUSES
            or method == "HEAD"
        )


class EndpointConnection(asyncio.Protocol):
    """A connection to an endpoint.

    After :meth:`send` and a full read, :attr:`is_reusable` is true if another request
    may use the connection: the response was complete, no bytes follow it and neither
    side asked to close. ``in_body`` is true while :meth:`read_body` has not reached the
    end of the body.
    """

    def __init__(self) -> None:
        self._http = h11.Connection(h11.CLIENT, MAX_RESPONSE_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._wake: asyncio.Event = asyncio.Event()
        self._lost = False
        self._reset = False
        self._idle = True
        self._unusable = False
        self._unparsed_bytes = 0
        self._parts_in_turn = 0
        self.in_body = False
        self._sent: list[h11.Event] = []
        self.idle_since = 0.0
        self.idle_limit_s = float("inf")
        self.exchanges = 0

    # Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and disable Nagle's algorithm."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; reset the connection if it is idle."""
        if self._idle:
            self._unusable = True
            self.abort()
            return
        if self._http.their_state is not h11.ERROR:
            self._http.receive_data(data)
        self._unparsed_bytes += len(data)
        if self._unparsed_bytes > MAX_UNPARSED_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake.set()

    def eof_received(self) -> bool:
        """Parse the end of the received stream; no further request can be sent."""
        self._unusable = True
        if not self._idle and self._http.their_state is not h11.ERROR:
            self._http.receive_data(b"")
        self._wake.set()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection; an exception means that it was reset."""
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
            and not self._unusable
        )

    @property
    def is_reusable(self) -> bool:
        """Whether the exchange is complete and another may follow."""
        return (
            self.is_open
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send one complete request.

        Raises
        ------
        ConnectionEnded
            If the connection had ended before; nothing was sent.
        RequestNotEncodable
            If the request cannot be sent on any connection.
        """
        if not self.is_open:
            raise ConnectionEnded("the connection is closed")
        assert self._transport is not None
        if self.exchanges:
            self._http.start_next_cycle()
        self._idle = False
        self.exchanges += 1
        try:
            self._sent = [h11.Request(method=method, target=target, headers=headers)]
            if body:
                self._sent.append(h11.Data(data=body))
            self._sent.append(h11.EndOfMessage())
            parts = [self._http.send(event) or b"" for event in self._sent]
        except (h11.LocalProtocolError, ValueError) as error:
            raise RequestNotEncodable(str(error)) from error
        self._transport.write(b"".join(parts))

    async def read_head(
        self, is_expected: Callable[[ResponseHead], bool]
    ) -> ResponseHead:
        """Return the head of the response, skipping late responses to other requests.

        Parameters
        ----------
        is_expected : callable
            Returns whether a head belongs to the response to this request.

        Raises
        ------
        ConnectionEnded
            If the connection ends before such a response, or sends too many others.
        """
        informational = 0
        while True:
            event = await self._read_event()
            if isinstance(event, h11.InformationalResponse):
                informational += 1
                if informational > MAX_INFORMATIONAL_RESPONSES:
                    raise ConnectionEnded(
                        f"over {MAX_INFORMATIONAL_RESPONSES} informational responses"
                    )
                continue
            if not isinstance(event, h11.Response):
                raise ConnectionEnded("closed before the head of a response")
            head = ResponseHead(event.status_code, list(event.headers))
            if is_expected(head):
                return head
            await self._skip_response()

    async def read_data(self) -> bytes | None:
        """Return the next part of the body, or None at the end of a complete body.

        Raises
        ------
        ConnectionEnded
            If the connection ends before the body is complete.
        """
        event = await self._read_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionEnded("closed before the end of the response body")

    async def read_body(self, max_bytes: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        ConnectionEnded
            If the connection ends before the body is complete, or the body is longer
            than ``max_bytes``.
        """
        self.in_body = True
        parts = []
        size = 0
        while (data := await self.read_data()) is not None:
            size += len(data)
            if size > max_bytes:
                raise ConnectionEnded(f"the body is longer than {max_bytes} bytes")
            parts.append(data)
        self.in_body = False
        return b"".join(parts)

    def abort(self) -> None:
        """Reset the connection.

        Unsent bytes are discarded, and the endpoint drops the request.
        """
        if self._transport is not None:
            reset_on_close(self._transport)
            self._transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        if self._transport is not None:
            self._transport.close()

    def mark_idle(self, now: float) -> None:
        """Mark the connection as idle since ``now``, in seconds of the loop's time."""
        self._idle = True
        self.idle_since = now

    async def _read_event(self) -> object:
        self._parts_in_turn += 1
        if self._parts_in_turn >= MAX_PARTS_PER_TURN:
            self._parts_in_turn = 0
            await asyncio.sleep(0)
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionEnded(str(error)) from error
            if event is not h11.NEED_DATA and event is not h11.PAUSED:
                return event
            if self._lost:
                raise ConnectionEnded(
                    "the connection was reset"
                    if self._reset
                    else "the connection was closed"
                )
            self._unparsed_bytes = 0
            self._parts_in_turn = 0
            if self._transport is not None:
                self._transport.resume_reading()
            self._wake.clear()
            await self._wake.wait()

    async def _skip_response(self) -> None:
        """Discard a response to another request and reset the parser for this one."""
        await self.read_body(MAX_SKIPPED_BYTES)
        rest, has_ended = self._http.trailing_data
        if self._http.their_state is not h11.DONE:
            raise ConnectionEnded("closed after a response to another request")
        self._http = h11.Connection(h11.CLIENT, MAX_RESPONSE_HEAD_BYTES)
        for event in self._sent:
            self._http.send(event)
        if rest:
            self._http.receive_data(rest)
        if has_ended:
            self._http.receive_data(b"")


def reset_on_close(transport: asyncio.Transport) -> None:
    """Make closing the transport reset the connection, so that no data follows."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
