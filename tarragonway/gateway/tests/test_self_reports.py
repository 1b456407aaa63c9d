"""Endpoints that say in their answers that they leave, or want a pause."""

import asyncio

import pytest
from msgspec.structs import replace

from tarragonway.gateway.tests.harness import NOT_RUN, SIGNED, make_answer, make_events
from tarragonway.platform import names

LEAVING = f"{names.LEAVING.decode()}: 1\r\n"
STREAM_HEAD = f"HTTP/1.1 200 OK\r\n{SIGNED}Content-Type: text/event-stream\r\n"


def make_refusal(pause=None):
    extra = NOT_RUN if pause is None else f"{NOT_RUN}Retry-After: {pause}\r\n"
    return make_answer(503, "full", extra)


def make_leaving_stream():
    first, *rest = make_events(1, 2)
    return [first.replace(b"\r\n\r\n", f"\r\n{LEAVING}\r\n".encode()), *rest]


def prefer(harness, key):
    """Let all other endpoints be unhealthy, so that this one gets the next send."""
    for row in harness.state.endpoints.rows.values():
        if row.key != key:
            harness.forwarder._chooser.record_unreachable(row.key, 1e9)


def clear_health(harness):
    harness.forwarder._chooser._health.clear()


@pytest.mark.parametrize(
    ("path", "answer"),
    [
        ("/read/", make_answer(extra=SIGNED + LEAVING)),
        ("/read/", make_answer(500, extra=SIGNED + LEAVING)),
        ("/read/", make_answer(503, extra=NOT_RUN + LEAVING)),
        ("/stream/", make_leaving_stream()),
    ],
)
# Guards against requests to an endpoint that has said in any answer that it leaves.
async def test_leaving_endpoint_gets_nothing_new(harness, path, answer):
    leaving = await harness.add(harness.ports())
    leaving.choose = lambda head: answer
    await harness.ask(path)
    assert len(leaving.heads) == 1
    assert harness.leaving == ["e1"]
    (row,) = harness.state.endpoints.rows.values()
    # A list that does not show it yet changes nothing.
    harness.state.endpoints.apply_full_list([replace(row, leaving=False)])
    received = await harness.ask("/read/")
    assert b"no_endpoint" in received
    other = await harness.add(harness.ports())
    other.choose = lambda head: make_answer()
    assert (await harness.ask("/read/")).startswith(b"HTTP/1.1 200")
    assert len(leaving.heads) == 1
    assert harness.leaving == ["e1"]


# Guards against an endpoint that has started again and never gets requests any more.
async def test_new_incarnation_is_sound_again(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.choose = lambda head: make_answer(extra=SIGNED + LEAVING)
    await harness.ask("/read/")
    (row,) = harness.state.endpoints.rows.values()
    harness.state.endpoints.apply_full_list([replace(row, key="e1@2", leaving=False)])
    endpoint.choose = lambda head: make_answer()
    assert (await harness.ask("/read/")).startswith(b"HTTP/1.1 200")


# Guards against requests to an endpoint that wants a pause, and against callers that
# are refused while another one has room.
async def test_paused_endpoint_gets_nothing_until_the_end(harness):
    paused = await harness.add(harness.ports())
    paused.choose = lambda head: make_refusal("0.4")
    other = await harness.add(harness.ports())
    other.choose = lambda head: make_answer()
    prefer(harness, "e1")
    assert (await harness.ask("/read/")).startswith(b"HTTP/1.1 200")
    clear_health(harness)
    for _ in range(5):
        assert (await harness.ask("/once/")).startswith(b"HTTP/1.1 200")
    assert len(paused.heads) == 1
    paused.choose = lambda head: make_answer()
    await asyncio.sleep(0.5)
    prefer(harness, "e1")
    await harness.ask("/once/")
    assert len(paused.heads) == 2


# Guards against callers that are held, or told to come back too early or too late.
async def test_callers_are_told_the_soonest_end_of_all_pauses(harness):
    for pause in ("7", "3"):
        endpoint = await harness.add(harness.ports())
        endpoint.choose = lambda head, pause=pause: make_refusal(pause)
    received = await harness.ask("/read/")
    assert b"endpoints_paused" in received
    text = received.lower().partition(b"retry-after: ")[2]
    assert 2.5 < float(text.split()[0]) <= 3.0
    received = await harness.ask("/once/")
    assert b"endpoints_paused" in received
    assert sum(len(endpoint.heads) for endpoint in harness.endpoints) == 2


# Guards against a caller without a further try who is refused although the pause ends
# well within the latency objective.
async def test_request_waits_for_the_end_of_a_short_pause(harness):
    endpoint = await harness.add(harness.ports())
    answers = [make_refusal("0.1"), make_answer()]
    endpoint.choose = lambda head: answers.pop(0)
    assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 503")
    assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    "pause", ["-5", "0", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "nan", "x" * 5000]
)
# Guards against values that name no pause and keep an endpoint from its requests.
async def test_value_that_names_no_pause_counts_as_none(harness, pause):
    endpoint = await harness.add(harness.ports())
    answers = [make_refusal(pause), make_answer()]
    endpoint.choose = lambda head: answers.pop(0)
    await harness.ask("/single/")
    assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("pause", ["1e9", "9" * 400, "inf"])
# Guards against a number that overflows, or is passed on to callers as it is.
async def test_very_long_pause_is_kept_and_bounded(harness, pause):
    endpoint = await harness.add(harness.ports())
    endpoint.choose = lambda head: make_refusal(pause)
    await harness.ask("/single/")
    received = await harness.ask("/single/")
    text = received.lower().partition(b"retry-after: ")[2]
    assert 86_398 < float(text.split()[0]) <= 86_400
    assert len(endpoint.heads) == 1
