"""Responses on connections that the server closes, to callers that read slowly."""

import asyncio
import socket

import pytest

from tarragonway.http1 import HttpServer, delivery
from tarragonway.routes import ConnectionLimits

BODY = bytes(range(256)) * 4096
# Exceeds what the operating system takes of a connection.
LARGE_BODY = BODY * 24
READ_BYTES = 64 * 1024
READ_INTERVAL_S = 0.1


@pytest.fixture
async def http(unused_tcp_port):
    async def answer(request, writer):
        headers = []
        if request.target == "/close":
            headers.append((b"connection", b"close"))
        body = LARGE_BODY if request.target == "/large" else BODY
        await writer.send(200, headers, body)

    http = HttpServer(answer, ConnectionLimits)
    http.address = ("127.0.0.1", unused_tcp_port)
    await http.listen(f"127.0.0.1:{unused_tcp_port}")
    yield http
    http.close()


async def send(http, target):
    """Send a request on a connection with a small buffer, and read nothing yet."""
    line = socket.socket()
    line.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
    line.setblocking(False)
    await asyncio.get_running_loop().sock_connect(line, http.address)
    reader, writer = await asyncio.open_connection(sock=line, limit=16 * 1024)
    writer.write(f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
    return reader, writer


async def read_slowly(reader):
    """Return the length of the body that arrives."""
    await reader.readuntil(b"\r\n\r\n")
    length = 0
    while length < len(BODY) and (data := await reader.read(READ_BYTES)):
        length += len(data)
        await asyncio.sleep(READ_INTERVAL_S)
    return length


# Guards against a reset, one second after the response was written, that discards what
# the caller has not received yet.
@pytest.mark.parametrize("is_stopping", [False, True])
async def test_response_is_delivered_before_the_connection_is_closed(http, is_stopping):
    reader, writer = await send(http, "/" if is_stopping else "/close")
    if is_stopping:
        http.announce_close()
    assert await read_slowly(reader) == len(BODY)
    writer.close()


# Guards against a process that stops while callers still read its last responses.
async def test_request_counts_until_its_response_is_delivered(http):
    reader, writer = await send(http, "/")
    reading = asyncio.create_task(read_slowly(reader))
    await asyncio.sleep(0.2)
    http.announce_close()
    async with asyncio.timeout(10.0):
        while http.active_requests:
            http.close_idle()
            await asyncio.sleep(0.01)
    http.close()
    assert await reading == len(BODY)
    writer.close()


# Guards against callers that never read and hold their connections.
async def test_caller_that_does_not_read_is_disconnected(http, monkeypatch):
    monkeypatch.setattr(delivery, "DELIVERY_STALL_TIMEOUT_S", 0.3)
    reader, writer = await send(http, "/close")
    await asyncio.sleep(0.2)
    assert http.active_requests == 1
    async with asyncio.timeout(5.0):
        while http.connections:
            await asyncio.sleep(0.05)
    with pytest.raises(ConnectionResetError):
        await reader.readexactly(len(BODY))
    writer.close()


# Guards against an incomplete response that looks complete, as it ends with its
# connection.
async def test_incomplete_response_is_reset_at_the_end(http):
    reader, writer = await send(http, "/large")
    await asyncio.sleep(0.2)
    http.close()
    with pytest.raises(ConnectionResetError):
        while await reader.read(READ_BYTES):
            pass
    writer.close()
