"""Answers of plain services that break off at any byte, by a close or by a reset."""

import asyncio
import socket
import struct

import pytest

from tarragonway.claims import Answer
from tarragonway.endpoints import Endpoint
from tarragonway.entry.sender import CallSender, MaybeExecuted, PlainCall

BODY = b"abcdef"
CHUNKS = b"2\r\nab\r\n4\r\ncdef\r\n0\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
ANSWERS = {
    "length": OK + b"Content-Length: 6\r\n\r\n" + BODY,
    "length of two digits": OK + b"Content-Length: 006\r\nX: y\r\n\r\n" + BODY,
    "chunks": OK + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS,
    "after 103": b"HTTP/1.1 103 X\r\n\r\n" + OK + b"Content-Length: 6\r\n\r\n" + BODY,
    "HTTP/1.0 with length": b"HTTP/1.0 200 OK\r\nContent-Length: 6\r\n\r\n" + BODY,
}
UNFRAMED_ANSWERS = {
    "HTTP/1.1": OK + b"Content-Type: text/plain\r\n\r\n" + BODY,
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\n" + BODY,
    "after 100": b"HTTP/1.1 100 Continue\r\n\r\n" + OK + b"X: y\r\n\r\n" + BODY,
}
# Lets the caller read what was sent, which a reset would otherwise discard.
RESET_DELAY_S = 0.1


async def send_cut_calls(port, answer, is_reset):
    """Return the result of one call for each length to which the answer is cut."""

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(answer[: int(head.split()[1][1:])])
        await writer.drain()
        if is_reset:
            await asyncio.sleep(RESET_DELAY_S)
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()

    endpoint = Endpoint("e1", "s", "z", f"http://127.0.0.1:{port}")
    sender = CallSender(5.0)
    async with await asyncio.start_server(serve, "127.0.0.1", port):
        calls = [
            PlainCall(None, None, "GET", f"/{length}", "", (), b"")
            for length in range(len(answer) + 1)
        ]
        results = await asyncio.gather(*(sender.send(call, endpoint) for call in calls))
    return results


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("kind", ANSWERS)
async def test_cut_answer_is_not_complete(unused_tcp_port, kind, is_reset):
    *cut, whole = await send_cut_calls(unused_tcp_port, ANSWERS[kind], is_reset)
    assert {type(result) for result in cut} == {MaybeExecuted}
    assert isinstance(whole, Answer)
    assert whole.body == BODY


# Guards against an answer that ends with its connection and counts as complete though
# that was reset.
@pytest.mark.parametrize("kind", UNFRAMED_ANSWERS)
async def test_answer_without_length_is_not_complete_after_a_reset(
    unused_tcp_port, kind
):
    results = await send_cut_calls(unused_tcp_port, UNFRAMED_ANSWERS[kind], True)
    assert {type(result) for result in results} == {MaybeExecuted}


# Guards also against an empty success from an endpoint that closes after its head.
@pytest.mark.parametrize("kind", UNFRAMED_ANSWERS)
async def test_answer_without_length_is_complete_after_a_close(unused_tcp_port, kind):
    answer = UNFRAMED_ANSWERS[kind]
    results = await send_cut_calls(unused_tcp_port, answer, False)
    without_body = results[: len(answer) - len(BODY) + 1]
    assert {type(result) for result in without_body} == {MaybeExecuted}
    assert isinstance(results[-1], Answer)
    assert results[-1].body == BODY
