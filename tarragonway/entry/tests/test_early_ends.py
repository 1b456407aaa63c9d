"""Answers that services and engines end before they have read a long upload."""

import asyncio

import msgspec
import pytest

from tarragonway.claims import Answer
from tarragonway.endpoints import Endpoint
from tarragonway.engines.client import (
    EngineClient,
    EngineFinished,
    EngineInterrupted,
    StreamCall,
)
from tarragonway.entry.sender import CallSender, MaybeExecuted, PlainCall
from tarragonway.http1.tests.early_endpoint import (
    HELD_UPLOAD_BYTES,
    UPLOADS_AND_ENDINGS,
    EarlyEndpoint,
)

PLAIN = b"HTTP/1.1 200 OK\r\n\r\npart"
CHUNK = msgspec.json.encode({"choices": [{"delta": {"content": "a"}}], "position": 0})
EVENTS = b"data: " + CHUNK + b"\n\ndata: [DONE]\n\n"
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + EVENTS
ODD_STATUSES = [
    "000",
    "099",
    "600",
    "999",
    "1000",
    "+20",
    " 20",
    "2 0",
    "\u0662\u0660\u0660",
    "",
]


async def call_service(port, size):
    call = PlainCall(None, None, "POST", "/", "", (), bytes(size))
    endpoint = Endpoint("e1", "s", "z", f"http://127.0.0.1:{port}")
    return await CallSender(5.0).send(call, endpoint, "key")


async def read_stream(port, size):
    body = msgspec.json.encode({"prompt": "x" * size})
    client = EngineClient()
    client.open()
    endpoint = Endpoint("e1", "s", "z", f"http://127.0.0.1:{port}")
    call = StreamCall("s1", body, 0)
    events = [event async for event in client.stream(endpoint, call)]
    await client.close()
    return events


async def serve_answer(port, answer):
    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                await reader.readexactly(int(line.split(b":")[1]))
        writer.write(answer)
        writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", port)


# Guards against a part of an answer that its caller gets as a complete one, and that is
# recorded as the result of a claimed call.
@pytest.mark.parametrize(("size", "ending"), UPLOADS_AND_ENDINGS)
async def test_answer_that_ends_before_its_call_is_truncated(
    unused_tcp_port, size, ending
):
    early = EarlyEndpoint(unused_tcp_port, PLAIN, ending)
    result = await call_service(unused_tcp_port, size)
    await early.close()
    assert isinstance(result, MaybeExecuted)


# Guards against events of an engine that has not read the prompt, which look complete.
@pytest.mark.parametrize(("size", "ending"), UPLOADS_AND_ENDINGS)
async def test_stream_that_ends_before_its_request_is_truncated(
    unused_tcp_port, size, ending
):
    early = EarlyEndpoint(unused_tcp_port, STREAM, ending)
    events = await read_stream(unused_tcp_port, size)
    await early.close()
    assert isinstance(events[-1], EngineInterrupted)


async def test_unframed_answers_to_whole_uploads_are_complete(unused_tcp_port):
    async with await serve_answer(unused_tcp_port, PLAIN):
        result = await call_service(unused_tcp_port, HELD_UPLOAD_BYTES)
    assert isinstance(result, Answer)
    assert result.body == b"part"
    async with await serve_answer(unused_tcp_port, STREAM):
        events = await read_stream(unused_tcp_port, HELD_UPLOAD_BYTES)
    assert isinstance(events[-1], EngineFinished)


# Guards against a number that is no status code and counts as a service's answer, or as
# an engine's statement that a stream did not start.
@pytest.mark.parametrize("status", ODD_STATUSES)
async def test_answer_with_an_odd_status_is_none(unused_tcp_port, status):
    answer = f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok".encode()
    async with await serve_answer(unused_tcp_port, answer):
        result = await call_service(unused_tcp_port, 2)
        events = await read_stream(unused_tcp_port, 2)
    assert isinstance(result, MaybeExecuted)
    assert [type(event) for event in events] == [EngineInterrupted]
