"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio
import socket
import struct

import pytest

from tarragonway.gateway.tests.harness import SIGNED, make_events

EVENT_STREAM = f"HTTP/1.1 200 OK\r\n{SIGNED}Content-Type: text/event-stream\r\n\r\n"
PLAIN = f"HTTP/1.1 200 OK\r\n{SIGNED}\r\n".encode()
LAST_CHUNK = b"0\r\n\r\n"


def make_unframed_events(*ids, cut=b""):
    events = [f"id: {number}\ndata: x\n\n".encode() for number in ids]
    return [EVENT_STREAM.encode(), *events, *([cut] if cut else [])]


def list_ids(received):
    return [line for line in received.split(b"\n") if line.startswith(b"id:")]


async def add_resetting_endpoint(harness, parts):
    """Add an endpoint that resets each connection after these parts of an answer."""
    port = harness.ports()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.02)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", port)
    endpoint = await harness.add(port, listens=False)
    endpoint.server = server


async def test_stream_that_ends_after_an_event_is_whole(harness):
    (await harness.add(harness.ports())).answers = [make_unframed_events(1, 2)]
    received = await harness.ask("/stream/")
    assert list_ids(received) == [b"id: 1", b"id: 2"]
    assert received.endswith(LAST_CHUNK)
    assert not harness.crashes


# Guards against a stream that was broken off and looks complete to its caller.
@pytest.mark.parametrize(
    "answer",
    [
        make_unframed_events(1, cut=b"id: 2\nda"),
        [*make_events(1, end=False, cut=b"id: 2\nda"), LAST_CHUNK],
    ],
    ids=["unframed", "chunked"],
)
async def test_stream_that_ends_inside_an_event_was_broken_off(harness, answer):
    (await harness.add(harness.ports())).answers = [answer]
    received = await harness.ask("/stream/")
    assert list_ids(received) == [b"id: 1"]
    assert not received.endswith(LAST_CHUNK)
    assert len(harness.crashes) == 1


async def test_stream_that_ends_inside_an_event_is_resumed(harness):
    one, two = await harness.add(harness.ports()), await harness.add(harness.ports())

    def choose(head):
        if b"last-event-id: 1" in head.lower():
            return make_unframed_events(2, 3)
        return make_unframed_events(1, cut=b"id: 2\nda")

    one.choose = two.choose = choose
    received = await harness.ask("/resume/")
    assert list_ids(received) == [b"id: 1", b"id: 2", b"id: 3"]
    assert received.endswith(LAST_CHUNK)


# Guards against an engine that crashes before its first event and seems to answer.
async def test_stream_without_an_event_does_not_show_that_it_is_whole(harness):
    (await harness.add(harness.ports())).answers = [make_unframed_events()]
    assert (await harness.ask("/stream/")).startswith(b"HTTP/1.1 502")
    assert len(harness.crashes) == 1
    (endpoint,) = harness.endpoints
    endpoint.answers = [make_events()]
    assert (await harness.ask("/stream/")).startswith(b"HTTP/1.1 200")


async def test_stream_that_is_reset_after_an_event_was_broken_off(harness):
    await add_resetting_endpoint(harness, make_unframed_events(1, 2))
    received = await harness.ask("/stream/")
    assert not received.endswith(LAST_CHUNK)


async def test_answer_that_ends_with_its_connection_is_whole(harness):
    (await harness.add(harness.ports())).answers = [[PLAIN + b"par", b"t"]]
    received = await harness.ask("/single/")
    assert received.startswith(b"HTTP/1.1 200")
    assert b"content-length: 4\r\n" in received.lower()
    assert received.endswith(b"part")


# Guards against an empty success from an endpoint that closes after its head.
async def test_answer_that_ends_after_its_head_is_not_whole(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [[PLAIN]]
    assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 502")


async def test_answer_that_has_no_body_by_its_status_is_whole(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [[PLAIN.replace(b"200 OK", b"204 No Content")]]
    assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 204")


async def test_answer_that_is_reset_on_the_way_is_not_whole(harness):
    await add_resetting_endpoint(harness, [PLAIN + b"par"])
    assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 502")


async def test_callers_connection_is_kept_after_an_unframed_stream(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [make_unframed_events(1), make_unframed_events(1)]
    host, port = harness.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for _ in range(2):
        writer.write(
            b"POST /stream/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
            b"Authorization: Bearer key\r\n\r\n"
        )
        async with asyncio.timeout(1.5):
            received = await reader.readuntil(LAST_CHUNK)
        assert received.startswith(b"HTTP/1.1 200")
        assert list_ids(received) == [b"id: 1"]
    writer.close()
