"""Server side: connections that pass on complete requests and send responses."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import h11
import structlog

from tarragonway.http1.client import Headers, reset_on_close
from tarragonway.http1.delivery import (
    CHECK_INTERVAL_S,
    Delivery,
    DeliveryWatch,
    count_undelivered,
)
from tarragonway.http1.response import Request, ResponseWriter
from tarragonway.routes.model import ConnectionLimits

MAX_PIPELINED_BYTES = 256 * 1024
BODY_TIMEOUT_S = 20.0
LISTEN_BACKLOG = 1024
JSON_HEADERS: Headers = [(b"content-type", b"application/json")]

_log = structlog.get_logger()


Handler = Callable[[Request, ResponseWriter], Awaitable[None]]


class HttpServer:
    """HTTP server on one address.

    Parameters
    ----------
    handle : callable
        Answers one request; it is cancelled when the caller disconnects.
    read_limits : callable
        Returns the connection limits in force.
    """

    def __init__(
        self, handle: Handler, read_limits: Callable[[], ConnectionLimits]
    ) -> None:
        self.handle = handle
        self.read_limits = read_limits
        self.connections: set[ServerConnection] = set()
        self.closing = False
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Start to accept connections."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=LISTEN_BACKLOG
        )

    @property
    def active_requests(self) -> int:
        """Number of requests that are being received or answered.

        A request counts until its caller has received the whole response.
        """
        return sum(connection.is_busy for connection in self.connections)

    def announce_close(self) -> None:
        """Send ``Connection: close`` with each further response.

        Callers then open their next connections to other processes.
        """
        self.closing = True

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Stop listening and end all connections.

        A connection is reset if its response is incomplete, so that it cannot look
        complete. Complete ones are still delivered by the operating system.
        """
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.end()


class ServerConnection(asyncio.Protocol):
    """A caller's connection, which carries one request at a time."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._limits = server.read_limits()
        self._http = self._make_state()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._pending_bytes = 0
        self._receiving = False
        self._is_closing = False
        self.omits_body = False
        self._delivery: DeliveryWatch | None = None

    def _make_state(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received, answered or delivered."""
        if self._task is not None or self._receiving:
            return True
        return self._transport is not None and count_undelivered(self._transport) > 0

    # Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, disable Nagle's algorithm and start the idle timer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server.connections.add(self)
        self._set_timer(self._limits.idle_timeout_s, self._expire_idle)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; while a request is answered, only buffer them.

        Reading pauses when more than :data:`MAX_PIPELINED_BYTES` are buffered. Bytes
        that arrive after the last response are discarded.
        """
        if not data or self._transport is None or self._is_closing:
            return
        if self._http.their_state is h11.ERROR:
            return
        self._http.receive_data(data)
        if self._task is not None:
            self._pending_bytes += len(data)
            if self._pending_bytes > MAX_PIPELINED_BYTES:
                self._transport.pause_reading()
            return
        self._process_events()

    def pause_writing(self) -> None:
        """Make :meth:`drain` wait, since the send buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let :meth:`drain` return, since the send buffer has room."""
        self._writable.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler, since its response can no longer be delivered."""
        self._transport = None
        self._writable.set()
        self._cancel_timer()
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    # Replies

    def send(self, event: h11.Event) -> None:
        """Send one event of the response, or nothing if the caller disconnected."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._http.our_state is h11.ERROR and isinstance(event, h11.Response):
            # The response before this one could not be encoded and was not sent.
            self._http = self._make_state()
        data = self._http.send(event)
        if data:
            self._transport.write(data)

    def send_last_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response before any other one; none can follow it."""
        length = str(len(body)).encode()
        close = [(b"content-length", length), (b"connection", b"close")]
        self.send(h11.Response(status_code=status, headers=[*headers, *close]))
        if not self.omits_body:
            self.send(h11.Data(data=body))
            self.send(h11.EndOfMessage())

    async def drain(self) -> None:
        """Wait while the send buffer is full, because the caller does not read."""
        if not self._writable.is_set():
            await self._writable.wait()

    def add_close_header(self, headers: Headers) -> Headers:
        """Return the headers, with ``Connection: close`` if the server is closing."""
        if self._server.closing:
            return [*headers, (b"connection", b"close")]
        return headers

    def abort(self) -> None:
        """Reset the connection, so that no response on it can look complete."""
        if self._transport is None:
            return
        reset_on_close(self._transport)
        self._transport.abort()

    def end(self) -> None:
        """Close the connection, or reset it if a response on it is incomplete."""
        if self._transport is None:
            return
        if self._task is not None or self._transport.get_write_buffer_size():
            self.abort()
        else:
            self._transport.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self._task is None and not self._receiving and not self._is_closing:
            self._close_gracefully()

    # Requests

    def _process_events(self) -> None:
        """Handle the parsed events until a request is complete or bytes are missing."""
        while self._transport is not None and self._task is None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint or 400, str(error))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._prepare_to_receive()
                return
            match event:
                case h11.Request():
                    if not self._start_request(event):
                        return
                case h11.Data():
                    self._body += event.data
                    if len(self._body) > self._limits.body_bytes:
                        self._reject(
                            413, f"the body exceeds {self._limits.body_bytes} bytes"
                        )
                        return
                case h11.EndOfMessage():
                    self._finish_request()
                case h11.ConnectionClosed():
                    self._transport.close()
                    return

    def _prepare_to_receive(self) -> None:
        """Send 100 Continue if it is awaited, and limit the time of a partial head."""
        if self._http.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))
        partial_head = bool(self._http.trailing_data[0]) and self._head is None
        if partial_head and not self._receiving:
            self._receiving = True
            self._set_timer(self._limits.header_timeout_s, self._expire_request)

    def _start_request(self, event: h11.Request) -> bool:
        self.omits_body = event.method == b"HEAD"
        size = sum(len(name) + len(value) + 4 for name, value in event.headers)
        if size > self._limits.header_bytes:
            self._reject(
                431, f"{size} header bytes exceed {self._limits.header_bytes} bytes"
            )
            return False
        names = [name for name, _ in event.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            self._reject(400, "both Content-Length and Transfer-Encoding are given")
            return False
        self._head = event
        self._receiving = True
        self._body.clear()
        self._set_timer(BODY_TIMEOUT_S, self._expire_request)
        return True

    def _finish_request(self) -> None:
        assert self._head is not None
        self._cancel_timer()
        request = Request(
            self._head.method.decode("ascii"),
            self._head.target.decode("ascii"),
            list(self._head.headers),
            bytes(self._body),
            asyncio.get_running_loop().time(),
        )
        self._head = None
        self._receiving = False
        self._body.clear()
        self._task = asyncio.create_task(self._answer(request))

    async def _answer(self, request: Request) -> None:
        writer = ResponseWriter(self)
        try:
            await self._server.handle(request, writer)
        except asyncio.CancelledError:
            self.abort()
        except Exception:
            _log.exception("request handler failed", target=request.target)
            writer.fail(500, JSON_HEADERS, b'{"error": "500"}')
        finally:
            self._task = None
        self._finish_exchange(writer)

    def _finish_exchange(self, writer: ResponseWriter) -> None:
        """Prepare the connection for the next request, or end it."""
        if self._transport is None:
            return
        if not writer.finished:
            self.abort()
            return
        if self._http.our_state is not h11.DONE or self._server.closing:
            self._close_gracefully()
            return
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            self._close_gracefully()
            return
        self.omits_body = False
        self._limits = self._server.read_limits()
        self._set_timer(self._limits.idle_timeout_s, self._expire_idle)
        if self._pending_bytes > MAX_PIPELINED_BYTES:
            self._transport.resume_reading()
        self._pending_bytes = 0
        self._process_events()

    def _reject(self, status: int, reason: str) -> None:
        _log.info("request rejected", status=status, reason=reason)
        body = f'{{"error": "{status}"}}'.encode()
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.send_last_response(status, JSON_HEADERS, body)
        self._receiving = False
        self._close_gracefully()

    def _close_gracefully(self) -> None:
        """Close for writing first, and completely once the caller has the response.

        Closing completely with unread bytes would reset the connection, and the caller
        could lose the response. So would the end of this process.
        """
        if self._transport is None or self._transport.is_closing():
            return
        self._is_closing = True
        self._body.clear()
        self._cancel_timer()
        if not self._transport.can_write_eof():
            self._transport.close()
            return
        self._transport.write_eof()
        self._delivery = DeliveryWatch(self._transport)
        self._set_timer(CHECK_INTERVAL_S, self._check_delivery)

    def _check_delivery(self) -> None:
        """Close the connection when the caller has the response, or does not read."""
        if self._transport is None or self._delivery is None:
            return
        match self._delivery.check():
            case Delivery.UNDER_WAY:
                self._set_timer(CHECK_INTERVAL_S, self._check_delivery)
            case Delivery.COMPLETE:
                self._transport.close()
            case Delivery.STALLED:
                undelivered = count_undelivered(self._transport)
                _log.info("caller does not read its response", bytes=undelivered)
                self.abort()

    # Timers

    def _set_timer(self, seconds: float, action: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(seconds, action)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire_idle(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _expire_request(self) -> None:
        self._reject(408, "the request was not complete before the timeout")
