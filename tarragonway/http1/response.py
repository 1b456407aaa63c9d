"""Requests as handlers get them, and writers of their responses."""

from typing import Protocol

import h11
import msgspec

from tarragonway.http1.client import Headers


class ResponseConnection(Protocol):
    """What a writer needs of the connection on which a request arrived."""

    @property
    def omits_body(self) -> bool:
        """Whether the response to the current request has no body."""
        ...

    def send(self, event: h11.Event) -> None:
        """Send one event of the response, or nothing if the caller disconnected."""
        ...

    async def drain(self) -> None:
        """Wait while the send buffer is full, because the caller does not read."""
        ...

    def add_close_header(self, headers: Headers) -> Headers:
        """Return the headers, with ``Connection: close`` if the server is closing."""
        ...

    def send_last_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response, after which the connection is closed."""
        ...

    def abort(self) -> None:
        """Reset the connection, so that no response on it can look complete."""
        ...


class Request(msgspec.Struct, frozen=True):
    """A complete request; ``arrived_s`` is when it was complete, in loop time (s)."""

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_s: float

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the first header with this lower-case name, or None."""
        return next((value for key, value in self.headers if key == name), None)


class ResponseWriter:
    """Sends the response to one request.

    Parameters
    ----------
    connection : ResponseConnection
        The connection on which the request arrived.
    """

    def __init__(self, connection: ResponseConnection) -> None:
        self._connection = connection
        self.started = False
        self.finished = False

    async def send(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete response."""
        sized = [*headers, (b"content-length", str(len(body)).encode())]
        await self.start(status, sized)
        if body:
            await self.write(body)
        self.finish()

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        self._connection.send(
            h11.Response(
                status_code=status, headers=self._connection.add_close_header(headers)
            )
        )
        self.started = True
        await self._connection.drain()

    async def write(self, data: bytes) -> None:
        """Send a part of the body, and wait while the send buffer is full."""
        if not self._connection.omits_body:
            self._connection.send(h11.Data(data=data))
        await self._connection.drain()

    def finish(self) -> None:
        """Mark the end of a complete response."""
        self._connection.send(h11.EndOfMessage())
        self.finished = True

    def abort(self) -> None:
        """Reset the connection, so that the response cannot look complete."""
        self.finished = True
        self._connection.abort()

    def fail(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer a request whose handler failed, whatever state it has left.

        A response that has begun is reset, so that it cannot look complete.
        """
        if self.finished:
            return
        if self.started:
            self.abort()
            return
        self._connection.send_last_response(status, headers, body)
        self.finished = True
