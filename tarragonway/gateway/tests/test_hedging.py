"""Late requests that are sent to a second endpoint: which answer is used."""

import asyncio

import pytest

from tarragonway.gateway.tests.hedging_harness import (
    DELAY_MS,
    END,
    NEVER,
    Script,
    answer,
    ask,
    refuse,
    stream,
)


# Guards against callers that wait for a slow endpoint although another has room, and
# against a slow endpoint that goes on with a request that is answered already.
async def test_second_endpoint_answers_for_one_that_is_slow_and_not_dead(hedging):
    script = await hedging.play(answer(0.8, "slow"), answer(0.0, "quick"))
    received = await ask(hedging, "/read/")
    assert received.endswith(b"quick")
    await asyncio.sleep(0.1)
    assert script.cut_after_s[0] < 0.5
    assert (hedging.count("sent"), hedging.count("won")) == (1, 1)
    assert hedging.count_usage() == 1
    assert not hedging.crashes
    loads = [hedging.chooser.get_load(key) for key in ("e1", "e2")]
    assert loads == [0.0, 0.0]


# Guards against a first answer that is dropped since a second send is under way.
async def test_first_endpoint_answers_after_the_second_was_asked(hedging):
    script = await hedging.play(answer(0.2, "first"), answer(0.9, "second"))
    received = await ask(hedging, "/read/")
    assert received.endswith(b"first")
    await asyncio.sleep(0.1)
    assert script.cut_after_s[1] < 0.5
    assert (hedging.count("sent"), hedging.count("lost")) == (1, 1)


# Guards against extra sends of requests that are not late.
async def test_request_in_time_is_sent_once(hedging):
    script = await hedging.play(answer(0.0, "quick"))
    assert (await ask(hedging, "/read/")).endswith(b"quick")
    await asyncio.sleep(0.1)
    assert len(script.heads) == 1
    assert hedging.count("sent") == 0


@pytest.mark.parametrize("shift_s", [-0.004, -0.002, 0.0, 0.002, 0.004])
# Guards against two answers to one caller, and against usage that counts both.
async def test_both_answers_at_once(hedging, shift_s):
    late_s = DELAY_MS / 1000 + 0.1 + shift_s
    script = await hedging.play(answer(late_s, "one"), answer(0.1, "two"))
    received = await ask(hedging, "/read/")
    assert received.count(b"HTTP/1.1") == 1
    assert received.endswith((b"one", b"two"))
    assert len(script.heads) == 2
    assert hedging.count_usage() == 1
    assert hedging.count("won") + hedging.count("lost") == 1


@pytest.mark.parametrize("shift_s", [-0.004, -0.002, 0.0, 0.002, 0.004])
# Guards against events of two answers in one stream.
async def test_events_of_two_streams_are_never_mixed(hedging, shift_s):
    late_s = DELAY_MS / 1000 + 0.1 + shift_s
    script = await hedging.play(stream(late_s, "one"), stream(0.1, "two"))
    received = await ask(hedging, "/resume/")
    assert len(script.heads) == 2
    texts = [b"data: one" in received, b"data: two" in received]
    assert sorted(texts) == [False, True]
    assert [received.count(f"id: {n}\n".encode()) for n in range(1, 6)] == [1] * 5
    assert received.endswith(b"0\r\n\r\n")
    assert hedging.count_usage() == 1


# Guards against a stream that is sent twice for longer than until its first event.
async def test_slow_stream_is_cut_at_the_first_event_of_the_other(hedging):
    script = await hedging.play(
        stream(0.9, "slow"), stream(0.0, "quick", between_s=0.12)
    )
    received = await ask(hedging, "/resume/")
    assert received.count(b"data: quick") == 5
    assert b"slow" not in received
    # The first send has 60 ms more, and the other one takes 0.7 s until its end.
    assert script.cut_after_s[0] < 0.35


# Guards against a stream that began in time and is sent again while it goes on.
async def test_stream_that_has_begun_is_not_late(hedging):
    script = await hedging.play(stream(0.0, "one", between_s=0.05))
    assert (await ask(hedging, "/resume/")).count(b"data: one") == 5
    assert len(script.heads) == 1


# Guards against a winner's stream that breaks off and goes on at another version.
async def test_broken_stream_goes_on_at_the_version_of_the_winner(hedging):
    quick = stream(0.0, "quick")[:3]
    script = Script(stream(0.9, "slow"), quick, stream(0.0, "rest"))
    for version in ("v1", "v2", "v1", "v2"):
        endpoint = await hedging.add(hedging.ports(), version=version)
        endpoint._answer = script.answer
    await ask(hedging, "/patient/")
    origins = [row.version for row in hedging.state.endpoints.rows.values()]
    assert origins == ["v1", "v2", "v1", "v2"]
    names = {row.platform_id: row.version for row in
             hedging.state.endpoints.rows.values()}  # fmt: skip
    targets = [_find_target(head, names) for head in script.heads]
    assert targets[2] == targets[1]


def _find_target(head, names):
    text = head.decode()
    return next(version for name, version in names.items() if f": {name}\r\n" in text)


# Guards against a caller who gets the failure of the extra send.
async def test_failed_second_send_changes_nothing(hedging):
    script = await hedging.play(answer(0.3, "first"), [(0.0, END)])
    assert (await ask(hedging, "/read/")).endswith(b"first")
    assert len(script.heads) == 2


@pytest.mark.parametrize(
    "failure",
    [
        [(0.15, END)],
        answer(0.15, "bad", 500),
        refuse(0.15),
        answer(0.15, "busy", 429),
    ],
)
# Guards against a caller who gets a failure of the first send although the second one
# is about to answer.
async def test_failed_first_send_waits_for_the_second(hedging, failure):
    script = await hedging.play(failure, answer(0.3, "second"), count=3)
    assert (await ask(hedging, "/read/")).endswith(b"second")
    assert len(script.heads) == 2
    assert hedging.count_usage() == 1


@pytest.mark.parametrize(
    ("first", "second", "status"),
    [
        (refuse(0.15), refuse(0.0), b"503"),
        # The other send may have run, so that no promise is true.
        (refuse(0.15), [(0.05, END)], b"502"),
        ([(0.15, END)], refuse(0.0), b"502"),
        (answer(0.15, "x", 503), refuse(0.0), b"502"),
        (answer(0.15, "x", 429), [(0.05, END)], b"502"),
        (answer(0.15, "bad", 500), [(0.0, END)], b"500"),
        ([(0.15, END)], answer(0.0, "bad", 500), b"500"),
    ],
)
# Guards against a promise that a request has not run which may have run elsewhere, and
# against a worse failure than one of the sends had.
async def test_both_fail(hedging, first, second, status):
    script = await hedging.play(first, second)
    received = await ask(hedging, "/read/")
    assert len(script.heads) == 2
    assert received.split()[1] == status
    assert hedging.quota.returned == (1.0 if status == b"503" else 0.0)


# Guards against a single request that counts as two crashes.
async def test_two_broken_sends_are_one_crash(hedging):
    script = await hedging.play([(0.2, END)], [(0.2, END)])
    await ask(hedging, "/read/")
    assert len(script.heads) == 2
    assert len(hedging.crashes) == 1


# Guards against a request that runs on at two endpoints after its caller has left.
async def test_caller_that_leaves_cancels_both(hedging):
    script = await hedging.play(answer(NEVER, "one"), answer(NEVER, "two"))
    loop = asyncio.get_running_loop()
    await hedging.ask("/read/", wait_s=0.25)
    left_at = loop.time()
    assert len(script.heads) == 2
    await asyncio.sleep(0.4)
    assert all(script.cut_at[number] - left_at < 0.5 for number in (0, 1))
    assert [hedging.chooser.get_load(key) for key in ("e1", "e2")] == [0.0, 0.0]
