"""HTTP/1.1 for stand-ins: a server, and single calls."""

import asyncio
import contextlib


class Answer:
    """Status, headers and body of an answer; ``whole`` if its end has arrived."""

    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole

    def get(self, name):
        """Return the value of the first header with this lower-case name."""
        return next((v for k, v in self.headers if k == name), None)


class Incoming:
    """A complete request that a server has read."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = (
            method,
            target,
            headers,
            body,
        )

    def get(self, name):
        """Return the value of the first header with this lower-case name."""
        return next((v for k, v in self.headers if k == name), None)


async def read_head(reader):
    """Return the first line and the headers, or None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = [
        (k.strip().lower(), v.strip())
        for k, _, v in (x.partition(":") for x in lines[1:] if x)
    ]
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body by its length or chunks, and whether it is whole."""
    values = dict(headers)
    body = b""
    try:
        if "chunked" in values.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:size]
                if not size:
                    return body, True
        length = int(values.get("content-length", "0"))
        body = await reader.readexactly(length)
        return body, True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False


class Writer:
    """Answers one request."""

    def __init__(self, writer):
        self.raw = writer

    async def answer(self, status, headers=(), body=b""):
        """Send a complete answer."""
        lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers)]
        lines.append(f"Content-Length: {len(body)}")
        self.raw.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        await self.raw.drain()

    async def start_stream(self, headers):
        """Send the head of a stream."""
        lines = ["HTTP/1.1 200 X", *(f"{k}: {v}" for k, v in headers)]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        self.raw.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
        await self.raw.drain()

    async def chunk(self, data):
        """Send one chunk."""
        self.raw.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await self.raw.drain()

    async def end_stream(self):
        """Send the end of a stream."""
        self.raw.write(b"0\r\n\r\n")
        await self.raw.drain()

    def reset(self):
        """Reset the channel."""
        self.raw.transport.abort()


class WebServer:
    """Accepts channels; one request at a time on each."""

    def __init__(self, handle):
        self._handle, self._server, self._tasks = handle, None, set()
        self.channels = set()

    async def listen(self, address):
        """Accept channels."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 20
        )

    def close(self):
        """Close it."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self.channels.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                body, whole = await read_body(reader, head[1])
                if not whole:
                    break
                await self._handle(
                    Incoming(method, target, head[1], body), Writer(writer)
                )
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self.channels.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


class Channel:
    """A client's channel that is kept for many requests."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address):
        """Open a channel."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=1 << 24))

    def send(self, method, target, headers=(), body=b""):
        """Send it."""
        names = {k.lower() for k, _ in headers}
        lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers)]
        if "host" not in names:
            lines.append("Host: x")
        if "content-length" not in names and "transfer-encoding" not in names:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)

    async def receive(self):
        """Return the next answer, None at the end of the channel."""
        head = await read_head(self.reader)
        if head is None:
            return None
        body, whole = await read_body(self.reader, head[1])
        return Answer(int(head[0].split(" ")[1]), head[1], body, whole)

    async def ask(self, method, target, headers=(), body=b""):
        """Send a request and return its answer."""
        self.send(method, target, headers, body)
        return await self.receive()

    def close(self):
        """Close it."""
        with contextlib.suppress(Exception):
            self.writer.close()


async def fetch(address, method, target, headers=(), body=b"", limit_s=2.0):
    """Send one request on a channel of its own; None without an answer in time."""
    channel = None
    try:
        async with asyncio.timeout(limit_s):
            channel = await Channel.open(address)
            return await channel.ask(method, target, headers, body)
    except (OSError, TimeoutError):
        return None
    finally:
        if channel is not None:
            channel.close()
