"""Responses that end before their request was read, and status lines of any kind."""

import asyncio
import re

import pytest

from tarragonway.core.counters import Counters
from tarragonway.http1 import (
    Call,
    CallClient,
    CallFailed,
    CallResponse,
    ConnectionEnded,
    ConnectionPool,
    client,
)
from tarragonway.http1.tests.early_endpoint import (
    HELD_UPLOAD_BYTES,
    LONG_UPLOAD_BYTES,
    UPLOADS_AND_ENDINGS,
    EarlyEndpoint,
)

OK = b"HTTP/1.1 200 OK\r\n"
UNFRAMED = OK + b"Content-Type: text/plain\r\n\r\npart"
ODD_STATUSES = [
    "000", "099", "600", "999", "1000", "+20", "+200", " 20", " 200", "2 0", "20", "",
    "2000", "-200", "0x0", "\u0662\u0660\u0660", "\uff12\uff10\uff10", "\u00b200",
]  # fmt: skip


async def post(pool, address, body):
    connection = await pool.acquire("e", address, 60.0)
    headers = [(b"host", b"e"), (b"content-length", b"%d" % len(body))]
    try:
        connection.send("POST", "/", headers, body)
        head = await connection.read_head(lambda head: True)
        return head.status, await connection.read_body(1024)
    finally:
        pool.release("e", connection)


# Guards against a part of a body that reaches its caller as a complete response.
@pytest.mark.parametrize(("size", "ending"), UPLOADS_AND_ENDINGS)
async def test_unframed_response_that_ends_before_its_request_is_truncated(
    unused_tcp_port, size, ending
):
    endpoint = EarlyEndpoint(unused_tcp_port, UNFRAMED, ending)
    with pytest.raises(ConnectionEnded):
        await post(ConnectionPool(), f"127.0.0.1:{unused_tcp_port}", bytes(size))
    await endpoint.close()


# Guards against a complete response that counts as truncated, for uploads that the
# endpoint reads before it answers.
@pytest.mark.parametrize("size", [0, HELD_UPLOAD_BYTES, LONG_UPLOAD_BYTES])
async def test_unframed_response_after_the_whole_request_is_complete(
    unused_tcp_port, size
):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(size)
        writer.write(UNFRAMED)
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", unused_tcp_port):
        address = f"127.0.0.1:{unused_tcp_port}"
        assert await post(ConnectionPool(), address, bytes(size)) == (200, b"part")


# Guards against other bytes that an endpoint receives as a part of the upload.
async def test_early_response_with_a_length_leaves_the_upload_whole(unused_tcp_port):
    first, second = b"a" * LONG_UPLOAD_BYTES, b"b" * 10
    received, has_second = [], asyncio.Event()

    async def serve(reader, writer):
        for body in (first, second):
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(OK + b"Content-Length: 5\r\n\r\nearly")
            await asyncio.sleep(0.02)
            received.append((head[:6], await reader.readexactly(len(body))))
        has_second.set()

    async with await asyncio.start_server(serve, "127.0.0.1", unused_tcp_port):
        counters = Counters()
        pool, address = ConnectionPool(counters), f"127.0.0.1:{unused_tcp_port}"
        assert await post(pool, address, first) == (200, b"early")
        assert await post(pool, address, second) == (200, b"early")
        await asyncio.wait_for(has_second.wait(), 5.0)
    assert received == [(b"POST /", first), (b"POST /", second)]
    assert counters.snapshot()["connection.opened"] == 1


async def call(port, answer):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", port):
        return await CallClient(f"127.0.0.1:{port}").call(Call("GET", "/"), 2.0)


# Guards against a number that is no status code and reaches a caller as one.
@pytest.mark.parametrize("status", ODD_STATUSES)
@pytest.mark.parametrize("is_informational", [False, True])
async def test_response_with_an_odd_status_is_none(
    unused_tcp_port, status, is_informational
):
    answer = f"HTTP/1.1 {status} X\r\n".encode()
    if is_informational:
        answer += b"\r\n" + OK
    answer += b"Content-Length: 2\r\n\r\nok"
    result = await call(unused_tcp_port, answer)
    assert isinstance(result, CallFailed)
    assert result.was_sent


async def test_odd_status_in_a_response_to_another_request_is_not_skipped(
    unused_tcp_port,
):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n")
        writer.write(OK + b"Own: 1\r\nContent-Length: 0\r\n\r\n")

    async with await asyncio.start_server(serve, "127.0.0.1", unused_tcp_port):
        pool = ConnectionPool()
        connection = await pool.acquire("e", f"127.0.0.1:{unused_tcp_port}", 1.0)
        connection.send("GET", "/", [(b"host", b"e")], b"")
        with pytest.raises(ConnectionEnded, match=re.escape("600")):
            await connection.read_head(lambda head: head.get(b"own") == b"1")
        pool.release("e", connection)


@pytest.mark.parametrize("status", ["200 OK", "200 ", "200", "599 X"])
async def test_status_with_any_reason_is_accepted(unused_tcp_port, status):
    answer = f"HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\nok".encode()
    result = await call(unused_tcp_port, answer)
    assert result == CallResponse(int(status[:3]), b"ok")


# Guards against a wait for a reset where none is due: an ordinary response is not
# delayed, whether it has a length or ends the connection of a short request.
@pytest.mark.parametrize(
    ("size", "answer"),
    [
        (10_000, UNFRAMED),
        (HELD_UPLOAD_BYTES, OK + b"Content-Length: 4\r\n\r\npart"),
        (HELD_UPLOAD_BYTES, b"HTTP/1.1 204 No Content\r\n\r\n"),
    ],
)
async def test_ordinary_response_is_not_delayed(
    unused_tcp_port, monkeypatch, size, answer
):
    monkeypatch.setattr(client, "RESET_WAIT_S", 60.0)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(size)
        writer.write(answer)
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", unused_tcp_port):
        address = f"127.0.0.1:{unused_tcp_port}"
        await asyncio.wait_for(post(ConnectionPool(), address, bytes(size)), 5.0)


async def end_half(port, answer, ends):
    """Serve one upload, answer it, end this half and record what follows."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(HELD_UPLOAD_BYTES)
        writer.write(answer)
        writer.write_eof()
        try:
            ends.put_nowait(await reader.read())
        except ConnectionResetError as error:
            ends.put_nowait(error)
        writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", port)


# Guards against a reset of connections that endpoints have ended in order, which they
# would log as failures of their clients.
async def test_complete_response_is_not_followed_by_a_reset(unused_tcp_port):
    ends = asyncio.Queue()
    answer = OK + b"Content-Length: 4\r\n\r\npart"
    async with await end_half(unused_tcp_port, answer, ends):
        address = f"127.0.0.1:{unused_tcp_port}"
        body = bytes(HELD_UPLOAD_BYTES)
        assert await post(ConnectionPool(), address, body) == (200, b"part")
        assert await asyncio.wait_for(ends.get(), 5.0) == b""


# Guards against a half-close that counts as the end of the connection, as an endpoint
# may reset it at any later time; and against bytes that such an endpoint would read.
async def test_unframed_response_before_a_half_close_is_not_complete(unused_tcp_port):
    ends = asyncio.Queue()
    async with await end_half(unused_tcp_port, UNFRAMED, ends):
        address = f"127.0.0.1:{unused_tcp_port}"
        with pytest.raises(ConnectionEnded, match="has not closed"):
            await post(ConnectionPool(), address, bytes(HELD_UPLOAD_BYTES))
        assert await asyncio.wait_for(ends.get(), 5.0) == b""
