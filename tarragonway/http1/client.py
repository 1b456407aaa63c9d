"""Client side: a connection to an endpoint that carries one exchange at a time."""

import asyncio
import socket
from collections.abc import Callable

import h11
import msgspec

from tarragonway.http1.peer_end import PeerEnd, find_peer_end
from tarragonway.http1.sockets import (
    has_socket_error,
    has_undelivered_bytes,
    reset_on_close,
)

Headers = list[tuple[bytes, bytes]]

MAX_RESPONSE_HEAD_BYTES = 64 * 1024
# Reading pauses while more received bytes are not parsed yet, since their reader waits.
MAX_UNPARSED_BYTES = 256 * 1024
# Largest response to another request that is skipped before the expected one.
MAX_SKIPPED_BYTES = 1024 * 1024
MAX_INFORMATIONAL_RESPONSES = 16
# Successes that never have a body: No Content and Reset Content.
BODYLESS_STATUSES = (204, 205)
# Responses whose end needs neither length nor chunks nor the connection's end.
SELF_DELIMITED_STATUSES = (204, 304)
# RFC 9110, section 15: other numbers are not status codes. h11 accepts up to 999.
MIN_STATUS, MAX_STATUS = 100, 599
# Where it cannot be found out whether an endpoint has closed a connection, or only its
# half of it, a reset is awaited for this time after requests longer than this limit.
RESET_WAIT_S = 0.025
MIN_BYTES_FOR_RESET_WAIT = 16 * 1024
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


class ConnectionEnd(msgspec.Struct, frozen=True):
    """What a connection showed when its end was taken for the end of a response.

    ``request_bytes`` is the size of the request. ``has_undelivered`` tells whether the
    endpoint's system had not received all of it, ``peer`` what the endpoint had done,
    and ``taken_ms`` how long it took to find out.
    """

    request_bytes: int
    has_undelivered: bool
    peer: PeerEnd
    taken_ms: float


class EndpointConnection(asyncio.Protocol):
    """A connection to an endpoint.

    After :meth:`send` and a full read, :attr:`is_reusable` is true if another request
    may use the connection: the response was complete, no bytes follow it and neither
    side asked to close. ``in_body`` is true while :meth:`read_body` has not reached the
    end of the body. ``end`` is set once a response has ended with the connection.
    """

    def __init__(self) -> None:
        self._http = h11.Connection(h11.CLIENT, MAX_RESPONSE_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._wake: asyncio.Event = asyncio.Event()
        self._lost = False
        self._reset = False
        self._ended_early = False
        self._request_bytes = 0
        # Whether only the connection's end tells where the response's body ends.
        self._ends_with_connection = False
        self._idle = True
        self._unusable = False
        self._unparsed_bytes = 0
        self._parts_in_turn = 0
        self.in_body = False
        self.end: ConnectionEnd | None = None
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
        """Parse the end of the received stream; no further request can be sent.

        The connection stays open, as its end may be that of a response, which the
        received stream alone does not tell.
        """
        self._unusable = True
        if not self._idle and self._http.their_state is not h11.ERROR:
            self._http.receive_data(b"")
        self._wake.set()
        transport = self._transport
        if transport is None or self._idle:
            return False
        self._ended_early = has_undelivered_bytes(transport)
        self._reset = has_socket_error(transport)
        # With TLS, asyncio closes the connection in any case.
        return not self._has_tls

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection; an exception means that it was reset."""
        self._lost = True
        self._reset = self._reset or exc is not None
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

    @property
    def has_undelivered_request(self) -> bool:
        """Whether the endpoint's system has not received the whole request."""
        if self._transport is None:
            return self._ended_early
        return has_undelivered_bytes(self._transport)

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
        data = b"".join(parts)
        self._request_bytes = len(data)
        self._transport.write(data)

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
            If the connection ends before such a response, sends too many others or a
            number that is not a status code.
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
            if not MIN_STATUS <= event.status_code <= MAX_STATUS:
                raise ConnectionEnded(f"{event.status_code} is not a status code")
            head = ResponseHead(event.status_code, list(event.headers))
            self._ends_with_connection = not (
                head.is_framed
                or head.status in SELF_DELIMITED_STATUSES
                or self._method == b"HEAD"
            )
            if is_expected(head):
                return head
            await self._skip_response()

    async def read_data(self) -> bytes | None:
        """Return the next part of the body, or None at the end of a complete body.

        A body that ends with its connection is complete only if the endpoint's system
        had received the whole request by then, and the endpoint has closed the
        connection in order, not just its own half of it.

        Raises
        ------
        ConnectionEnded
            If the connection ends before the body is complete.
        """
        event = await self._read_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            if self._ends_with_connection:
                await self._check_end()
            if self._unusable:
                # The endpoint has ended the connection in order; so does this side.
                self.close()
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
        """Close the connection in order, once nothing is to be sent or read."""
        if self._transport is not None:
            self._transport.close()

    def mark_idle(self, now: float) -> None:
        """Mark the connection as idle since ``now``, in seconds of the loop's time."""
        self._idle = True
        self.idle_since = now

    @property
    def _method(self) -> bytes:
        request = self._sent[0] if self._sent else None
        return request.method if isinstance(request, h11.Request) else b""

    @property
    def _has_tls(self) -> bool:
        transport = self._transport
        return transport is not None and bool(transport.get_extra_info("sslcontext"))

    async def _check_end(self) -> None:
        """Check the connection's end as the end of a response.

        Raises
        ------
        ConnectionEnded
            If the end came before the whole request had been received, or the endpoint
            has not closed the connection in order.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        peer = PeerEnd.UNKNOWN if self._ended_early else await self._find_peer_end()
        taken_ms = (loop.time() - started) * 1000
        self.end = ConnectionEnd(self._request_bytes, self._ended_early, peer, taken_ms)
        if self._ended_early:
            raise ConnectionEnded("closed before the whole request was received")
        if peer is PeerEnd.RESET:
            raise ConnectionEnded("the connection was reset after its end")
        if peer is PeerEnd.HALF_CLOSED:
            raise ConnectionEnded("the endpoint has not closed the connection")

    async def _find_peer_end(self) -> PeerEnd:
        if self._reset:
            return PeerEnd.RESET
        if self._transport is None:
            return PeerEnd.CLOSED
        if not self._has_tls:
            peer = await find_peer_end(self._transport)
            if peer is not PeerEnd.UNKNOWN:
                return peer
        if self._request_bytes > MIN_BYTES_FOR_RESET_WAIT:
            await asyncio.sleep(RESET_WAIT_S)
        transport = self._transport
        has_error = transport is not None and has_socket_error(transport)
        return PeerEnd.RESET if self._reset or has_error else PeerEnd.UNKNOWN

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
