"""Answers that are no continuation of the stream that they should go on with."""

import pytest

from tarragonway.gateway.tests.harness import chunk, make_answer, make_events

NO_CONTINUATIONS = {
    "error": make_answer(500, "engine error"),
    "success that is no stream": make_answer(200, "whole answer"),
    "stream without signature": [
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        chunk(b"id: 3\ndata: unsigned\n\n"),
        b"0\r\n\r\n",
    ],
    "empty stream": make_events(),
    "stream that begins again": make_events(1, 2, 3, 4),
    "stream that repeats the last event": make_events(2, 3, 4),
    "stream with an event without an id": [
        *make_events(end=False),
        chunk(b"data: no id\n\n"),
        b"0\r\n\r\n",
    ],
}


def break_off_first(*continuations):
    """Return a function that breaks the first answer off after two events.

    Later requests get the continuations in turn, and the last one again.
    """
    left = [make_events(1, 2, end=False), *continuations]
    return lambda head: left.pop(0) if len(left) > 1 else left[0]


async def ask(harness, *continuations, endpoints=3, **arguments):
    choose = break_off_first(*continuations)
    for _ in range(endpoints):
        (await harness.add(harness.ports())).choose = choose
    return await harness.ask("/patient/", **arguments)


def list_ids(received):
    return [line for line in received.split(b"\n") if line.startswith(b"id:")]


@pytest.mark.parametrize("kind", NO_CONTINUATIONS)
# Guards against an endpoint's error in the middle of a stream, and against a stream
# that looks complete although it broke off.
async def test_answer_that_is_no_continuation_is_not_relayed(harness, kind):
    error = NO_CONTINUATIONS["error"]
    received = await ask(harness, NO_CONTINUATIONS[kind], error, endpoints=2)
    assert received.count(b"HTTP/1.1") == 1
    assert list_ids(received) == [b"id: 1", b"id: 2"]
    for text in (b"engine error", b"whole answer", b"unsigned", b"no id"):
        assert text not in received
    assert received.endswith(b"<reset>")


@pytest.mark.parametrize("kind", NO_CONTINUATIONS)
# Guards against a stream that is cut although a third endpoint can go on with it.
async def test_third_endpoint_goes_on_after_an_answer_that_is_none(harness, kind):
    received = await ask(harness, NO_CONTINUATIONS[kind], make_events(3, 4))
    assert received.count(b"HTTP/1.1") == 1
    assert list_ids(received) == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
    assert received.endswith(b"0\r\n\r\n")
    assert not harness.cleared


# Guards against a stream that never ends because it broke off after its last event.
async def test_stream_ends_if_two_endpoints_have_nothing_to_add(harness):
    received = await ask(harness, make_events(), make_events())
    assert list_ids(received) == [b"id: 1", b"id: 2"]
    assert received.endswith(b"0\r\n\r\n")


# Guards against an HTTP/1.0 caller that takes a cut for the end.
async def test_caller_without_chunks_sees_a_cut_as_a_reset(harness):
    error = NO_CONTINUATIONS["error"]
    received = await ask(harness, error, endpoints=2, version="1.0")
    assert list_ids(received) == [b"id: 1", b"id: 2"]
    assert received.endswith(b"<reset>")
