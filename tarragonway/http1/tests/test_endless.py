"""Peers that send bytes without end: the platform's interface and callers."""

import asyncio
import contextlib
import resource

import pytest

from tarragonway.http1 import CallClient, HttpServer
from tarragonway.http1.call import Call, CallFailed
from tarragonway.routes.model import ConnectionLimits

FILLER = b"x" * 65536
HEAD = b"HTTP/1.1 200 OK\r\n"
ENDLESS_ANSWERS = {
    "head": (HEAD + b"X-A: ", FILLER),
    "body": (HEAD + b"\r\n", FILLER),
    "chunk-line": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;a=", FILLER),
    "small-chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 8192,
    ),
}
POST = b"POST / HTTP/1.1\r\nHost: h\r\n"
ENDLESS_REQUESTS = {
    "line": (b"POST /", FILLER),
    "header": (POST + b"X-A: ", FILLER),
    "body": (POST + b"Content-Length: 99999999999\r\n\r\n", FILLER),
    "chunk-line": (POST + b"Transfer-Encoding: chunked\r\n\r\n5;a=", FILLER),
    "chunks": (
        POST + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + FILLER + b"\r\n",
    ),
    "trailer": (POST + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", FILLER),
}
LIMITS = ConnectionLimits(16384, 1024 * 1024, 0.5, 1.0)
MAX_MEMORY_GROWTH_MB = 64


def read_peak_memory_mb():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


async def send_without_end(writer, first, part):
    """Send until the peer closes the connection."""
    with contextlib.suppress(ConnectionError):
        writer.write(first)
        while True:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0)


@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
async def test_call_to_the_platform_ends_in_bounded_memory(unused_tcp_port, kind):
    closed = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await send_without_end(writer, *ENDLESS_ANSWERS[kind])
        closed.set()

    server = await asyncio.start_server(serve, "127.0.0.1", unused_tcp_port)
    memory_mb = read_peak_memory_mb()
    client = CallClient(f"127.0.0.1:{unused_tcp_port}")
    loop = asyncio.get_running_loop()
    started = loop.time()
    assert isinstance(await client.call(Call("GET", "/"), 0.8), CallFailed)
    assert loop.time() - started < 1.2
    assert read_peak_memory_mb() - memory_mb < MAX_MEMORY_GROWTH_MB
    async with asyncio.timeout(1.0):
        await closed.wait()
    server.close()


@pytest.mark.parametrize("kind", ENDLESS_REQUESTS)
async def test_caller_that_sends_without_end_is_disconnected(unused_tcp_port, kind):
    handled = []

    async def handle(request, writer):
        handled.append(request)

    server = HttpServer(handle, lambda: LIMITS)
    await server.listen(f"127.0.0.1:{unused_tcp_port}")
    memory_mb = read_peak_memory_mb()
    _, writer = await asyncio.open_connection("127.0.0.1", unused_tcp_port)
    async with asyncio.timeout(3.0):
        await send_without_end(writer, *ENDLESS_REQUESTS[kind])
    assert not handled
    assert read_peak_memory_mb() - memory_mb < MAX_MEMORY_GROWTH_MB
    writer.close()
    server.close()
