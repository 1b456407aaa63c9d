"""Answers that endpoints end before they have read a long upload."""

import asyncio

import pytest

from tarragonway.gateway.tests.harness import SIGNED, make_answer
from tarragonway.http1.tests.early_endpoint import (
    HELD_UPLOAD_BYTES,
    LONG_UPLOAD_BYTES,
    UPLOADS_AND_ENDINGS,
    EarlyEndpoint,
)

PLAIN = f"HTTP/1.1 200 OK\r\n{SIGNED}\r\npart".encode()
EVENTS = (
    f"HTTP/1.1 200 OK\r\n{SIGNED}Content-Type: text/event-stream\r\n\r\n"
    "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
).encode()
LAST_CHUNK = b"0\r\n\r\n"


async def upload(harness, path, size):
    """Return what a caller receives until its connection ends or the time is up."""
    host, port = harness.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n"
        "Authorization: Bearer key\r\nConnection: close\r\n\r\n".encode()
        + bytes(size)
    )
    received = b""
    try:
        async with asyncio.timeout(5.0):
            while data := await reader.read(65536):
                received += data
    except (TimeoutError, ConnectionResetError):
        received += b"<reset>"
    writer.close()
    return received


# Guards against a part of an answer that its caller gets as a complete one.
@pytest.mark.parametrize(("size", "ending"), UPLOADS_AND_ENDINGS)
async def test_answer_that_ends_before_its_request_is_truncated(harness, size, ending):
    port = harness.ports()
    early = EarlyEndpoint(port, PLAIN, ending)
    await harness.add(port, listens=False)
    received = await upload(harness, "/single/", size)
    await early.close()
    assert received.startswith(b"HTTP/1.1 502")


# Guards against whole events of a truncated stream that look like a complete stream.
@pytest.mark.parametrize(("size", "ending"), UPLOADS_AND_ENDINGS)
async def test_stream_that_ends_before_its_request_is_truncated(harness, size, ending):
    port = harness.ports()
    early = EarlyEndpoint(port, EVENTS, ending)
    await harness.add(port, listens=False)
    received = await upload(harness, "/stream/", size)
    await early.close()
    assert LAST_CHUNK not in received


async def test_other_endpoint_answers_a_read_after_a_truncated_answer(harness):
    async def serve(reader, writer):
        while await reader.readuntil(b"\r\n\r\n"):
            await reader.readexactly(HELD_UPLOAD_BYTES)
            writer.write(make_answer(body="whole")[0])

    port, other_port = harness.ports(), harness.ports()
    early = EarlyEndpoint(port, PLAIN, "half-close, reset")
    await harness.add(port, listens=False)
    async with await asyncio.start_server(serve, "127.0.0.1", other_port):
        await harness.add(other_port, listens=False)
        for _ in range(4):
            received = await upload(harness, "/read/", HELD_UPLOAD_BYTES)
            assert received.startswith(b"HTTP/1.1 200")
            assert received.endswith(b"whole")
    await early.close()
    assert early.connections


async def test_early_answer_with_a_length_to_a_long_upload_is_passed_on(harness):
    read = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(make_answer(body="early")[0])
        await reader.readexactly(LONG_UPLOAD_BYTES)
        read.set()

    port = harness.ports()
    async with await asyncio.start_server(serve, "127.0.0.1", port):
        await harness.add(port, listens=False)
        received = await upload(harness, "/single/", LONG_UPLOAD_BYTES)
        assert received.startswith(b"HTTP/1.1 200")
        assert received.endswith(b"early")
        await asyncio.wait_for(read.wait(), 5.0)


# Guards against a number outside 100 to 599 that a caller gets as a status.
@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
async def test_answer_with_an_odd_status_is_not_passed_on(harness, status):
    (await harness.add(harness.ports())).answers = [make_answer(status)]
    assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 502")
