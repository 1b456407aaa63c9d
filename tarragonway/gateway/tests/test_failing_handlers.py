"""Errors that nothing expects while a request is handled."""

import pytest

from tarragonway.gateway.tests.harness import SIGNED, make_answer, make_events

LAST_ANSWER = make_answer(extra=SIGNED + "Connection: close\r\n")


class UnexpectedError(Exception):
    pass


def raise_fault(*arguments, **options):
    raise UnexpectedError


async def add_two(harness):
    endpoints = [await harness.add(harness.ports()) for _ in range(2)]
    for endpoint in endpoints:
        endpoint.answers = [LAST_ANSWER] * 40
    return endpoints


# Guards against an endpoint at which each send fails at once, so that it looks idle and
# draws the requests, none of which gets an answer.
@pytest.mark.parametrize("path", ["/once/", "/read/"])
async def test_endpoint_whose_sends_raise_does_not_draw_the_load(harness, path):
    await add_two(harness)
    pool = harness.forwarder.pool
    acquire, tried = pool.acquire, []

    async def acquire_or_raise(key, address, max_idle_s):
        tried.append(key)
        if key == "e1":
            raise UnexpectedError
        return await acquire(key, address, max_idle_s)

    pool.acquire = acquire_or_raise
    for _ in range(30):
        assert (await harness.ask(path)).startswith(b"HTTP/1.1 200")
    assert 1 <= tried.count("e1") <= 3


# Guards against a caller that is told that a request did not run although it may have,
# or that gets no answer at all.
@pytest.mark.parametrize(
    ("name", "status", "sends"),
    [("decode_request", 503, 0), ("encode_headers", 503, 0), ("decode_answer", 502, 1)],
)
async def test_caller_is_told_whether_a_failed_request_may_have_run(
    harness, monkeypatch, name, status, sends
):
    endpoints = await add_two(harness)
    monkeypatch.setattr(harness.forwarder._codec, name, raise_fault)
    received = await harness.ask("/once/")
    assert received.startswith(b"HTTP/1.1 %d" % status)
    assert sum(len(endpoint.heads) for endpoint in endpoints) == sends


async def test_caller_gets_an_answer_if_the_choice_of_endpoints_fails(harness):
    await add_two(harness)
    harness.forwarder._selector.select = raise_fault
    received = await harness.ask("/once/")
    assert received.startswith(b"HTTP/1.1 503") and b"handler_failed" in received
    assert harness.quota.returned == 1.0


# Guards against a stream that looks complete although its handler failed.
async def test_stream_is_reset_if_its_handler_fails_after_the_first_event(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [make_events(1, 2, 3)]
    sender = harness.forwarder._sender
    relay = sender._relay_data

    async def relay_once(attempt, head, data):
        if attempt.writer.started:
            raise UnexpectedError
        await relay(attempt, head, data)

    sender._relay_data = relay_once
    received = await harness.ask("/stream/")
    assert received.startswith(b"HTTP/1.1 200") and b"id: 1" in received
    assert b"id: 2" not in received and b"0\r\n\r\n" not in received


# Guards against a request that no endpoint can be sent, but for which sound endpoints
# count as failed.
async def test_request_that_cannot_be_encoded_is_no_failure_of_endpoints(harness):
    await add_two(harness)
    codec = harness.forwarder._codec

    class OddCodec:
        def __getattr__(self, name):
            return getattr(codec, name)

        def encode_headers(self, request, context):
            return [*codec.encode_headers(request, context), (b"x", b"a\r\nb")]

    harness.forwarder._sender._codec = OddCodec()
    for _ in range(5):
        received = await harness.ask("/read/")
        assert received.startswith(b"HTTP/1.1 503") and b"not_encodable" in received
    harness.forwarder._sender._codec = codec
    chooser = harness.forwarder._chooser
    assert not any(chooser.is_unhealthy(key, 0.0) for key in ("e1", "e2"))
    assert (await harness.ask("/read/")).startswith(b"HTTP/1.1 200")
