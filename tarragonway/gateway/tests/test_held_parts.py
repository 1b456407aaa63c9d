import asyncio

import pytest

from tarragonway.gateway.part_guard import Probe, ProbeDenied
from tarragonway.gateway.tests.harness import make_events
from tarragonway.links.messages import (
    HeldParts,
    PartsEnded,
    ProbeEnded,
    ProbeReply,
    ProbeRequest,
)
from tarragonway.platform import names
from tarragonway.quarantine import CONTINUED_S

TOKENS = f"{names.PROMPT_TOKENS.decode()}: 900,20"


def make_parts(*ids):
    parts = ",".join(f"{part}:100" for part in (*ids, "0f"))
    return f"{names.PROMPT_PARTS.decode()}: {parts}"


class FakeLeader:
    """Answers each request for a probe with the same wait."""

    def __init__(self, harness, wait_s):
        self.harness = harness
        self.wait_s = wait_s
        self.messages = []
        harness.guard._send = self.send

    def send(self, message):
        self.messages.append(message)
        if isinstance(message, ProbeRequest):
            reply = ProbeReply(message.sequence, self.wait_s)
            loop = asyncio.get_running_loop()
            loop.call_soon(self.harness.guard.handle_reply, reply)
        return True

    def get(self, kind):
        return [message for message in self.messages if isinstance(message, kind)]


# Guards against requests that reach engines with a part that crashes them.
async def test_request_with_a_held_part_is_refused_at_once(harness):
    endpoint = await harness.add(harness.ports())
    harness.guard.set_held(HeldParts(1, ("dd",)))
    FakeLeader(harness, 1.5)
    received = await harness.ask("/resume/", TOKENS, make_parts("aa", "DD"))
    assert received.startswith(b"HTTP/1.1 503")
    assert b"retry-after: 1.500" in received.lower()
    endpoint.choose = lambda head: make_events(1)
    received = await harness.ask("/resume/", TOKENS, make_parts("aa"))
    assert received.startswith(b"HTTP/1.1 200")
    assert len(endpoint.heads) == 1


# Guards against a held part, and a crash on one, that is far back in a prompt.
@pytest.mark.parametrize("position", [129, 300, 900])
async def test_any_part_of_a_prompt_may_be_held_or_crash(harness, position):
    endpoint = await harness.add(harness.ports())
    sound = [f"{number:04x}" for number in range(position)]
    endpoint.choose = lambda head: []
    await harness.ask("/stream/", TOKENS, make_parts(*sound, "dd"))
    assert harness.crashes[0].parts == (*sound, "dd")
    harness.guard.set_held(HeldParts(1, ("dd",)))
    FakeLeader(harness, 1.5)
    sends = len(endpoint.heads)
    received = await harness.ask("/stream/", TOKENS, make_parts(*sound, "dd"))
    assert b"quarantined" in received
    assert len(endpoint.heads) == sends


async def test_without_a_leader_no_held_part_is_sent(harness):
    endpoint = await harness.add(harness.ports())
    harness.guard.set_held(HeldParts(1, ("dd",)))
    received = await harness.ask("/resume/", TOKENS, make_parts("dd"))
    assert received.startswith(b"HTTP/1.1 503")
    assert not endpoint.heads


# Guards against a gateway that has just started and knows of no held part.
async def test_prompt_is_refused_while_the_held_parts_are_unknown(harness):
    endpoint = await harness.add(harness.ports())
    harness.state.knows_held_parts = False
    received = await harness.ask("/resume/", TOKENS, make_parts("aa"))
    assert received.startswith(b"HTTP/1.1 503")
    assert not endpoint.heads


async def test_probe_that_ends_is_reported_once_its_endpoint_has_outlived_it(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.choose = lambda head: make_events(1, 2)
    harness.guard.set_held(HeldParts(1, ("dd",)))
    leader = FakeLeader(harness, 0.0)
    received = await harness.ask("/resume/", TOKENS, make_parts("aa", "dd"))
    assert received.startswith(b"HTTP/1.1 200")
    assert not leader.get(PartsEnded)
    await asyncio.sleep(CONTINUED_S + 0.05)
    assert [list(m.ages_s) for m in leader.get(PartsEnded)] == [["dd"]]
    assert not leader.get(ProbeEnded)


# Guards against a part that is cleared by an answer which crashes its endpoint.
async def test_end_before_a_crash_of_its_endpoint_is_not_reported(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [make_events(1, 2), []]
    harness.guard.watch(["aa", "dd"])
    await harness.ask("/stream/", TOKENS, make_parts("aa", "dd"))
    await harness.ask("/stream/", TOKENS, make_parts("aa"))
    await asyncio.sleep(CONTINUED_S + 0.05)
    now = asyncio.get_running_loop().time()
    assert harness.guard.ended.take(now) == {}


# Guards against a part that is cleared by an answer which has only begun.
async def test_answer_is_reported_as_continued_only_after_a_while(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [make_events(1, 2, 3)]
    endpoint.pause_s = 0.3
    harness.guard.watch(["aa"])
    asking = asyncio.create_task(harness.ask("/stream/", TOKENS, make_parts("aa")))
    await asyncio.sleep(0.45)
    loop = asyncio.get_running_loop()
    assert harness.guard.continued.take(loop.time()) == {}
    await asking
    assert list(harness.guard.continued.take(loop.time())) == ["aa"]


# Guards against a resend of the request that has just crashed an engine.
async def test_probe_that_breaks_is_reported_and_not_sent_again(harness):
    one, two = await harness.add(harness.ports()), await harness.add(harness.ports())
    harness.guard.set_held(HeldParts(1, ("dd",)))
    FakeLeader(harness, 0.0)
    received = await harness.ask("/resume/", TOKENS, make_parts("aa", "dd"))
    assert received.startswith(b"HTTP/1.1 502")
    assert len(one.heads) + len(two.heads) == 1
    (crash,) = harness.crashes
    assert (crash.parts, bool(crash.probe)) == (("aa", "dd"), True)


async def test_request_whose_part_is_held_meanwhile_is_not_sent_again(harness):
    one, two = await harness.add(harness.ports()), await harness.add(harness.ports())

    def hold(head):
        harness.guard.set_held(HeldParts(1, ("dd",)))
        return []

    one.choose = two.choose = hold
    received = await harness.ask("/resume/", TOKENS, make_parts("dd"))
    assert received.startswith(b"HTTP/1.1 502")
    assert len(one.heads) + len(two.heads) == 1


async def test_probe_without_an_endpoint_is_given_back(harness):
    harness.guard.set_held(HeldParts(1, ("dd",)))
    leader = FakeLeader(harness, 0.0)
    received = await harness.ask("/resume/", TOKENS, make_parts("dd"))
    assert received.startswith(b"HTTP/1.1 503")
    assert len(leader.get(ProbeEnded)) == 1


# Guards against a crash after the first event that clears the part that caused it.
async def test_broken_stream_that_had_begun_names_its_parts(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [make_events(1, end=False)]
    await harness.ask("/stream/", TOKENS, make_parts("aa"))
    (crash,) = harness.crashes
    assert (crash.parts, crash.lasted_s < CONTINUED_S) == (("aa",), True)


async def test_broken_stream_tells_how_long_it_had_lasted(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [make_events(1, 2, 3, end=False)]
    endpoint.pause_s = 0.3
    await harness.ask("/stream/", TOKENS, make_parts("aa"))
    (crash,) = harness.crashes
    assert (crash.parts, crash.lasted_s > CONTINUED_S) == (("aa",), True)


# Guards against the quarantine of a request that a wave of reclaims broke.
async def test_end_of_a_leaving_endpoint_is_no_crash(harness):
    endpoint = await harness.add(harness.ports())
    (row,) = harness.state.endpoints.rows.values()

    def leave(head):
        leaving = type(row)(
            row.key, row.platform_id, "s", row.address, "a", 4, leaving=True
        )
        harness.state.endpoints.apply_delta([leaving], [])
        return []

    endpoint.choose = leave
    await harness.ask("/stream/", TOKENS, make_parts("aa"))
    assert not harness.crashes


async def test_held_parts_never_go_back(harness):
    harness.guard.set_held(HeldParts(5, ("dd",)))
    harness.guard.set_held(HeldParts(4, ()))
    assert harness.guard.held == {"dd"}


async def test_denial_is_repeated_without_asking_the_leader_until_it_ends(harness):
    harness.guard.set_held(HeldParts(1, ("dd",)))
    leader = FakeLeader(harness, 0.3)
    for _ in range(5):
        assert isinstance(await harness.guard.request_probe(["dd"]), ProbeDenied)
    assert len(leader.get(ProbeRequest)) == 1
    leader.wait_s = 0.0
    await asyncio.sleep(0.31)
    assert isinstance(await harness.guard.request_probe(["dd"]), Probe)


@pytest.mark.parametrize("wait_s", [None, 60.0])
async def test_long_denial_is_asked_again_after_a_while(harness, wait_s, monkeypatch):
    monkeypatch.setattr("tarragonway.gateway.part_guard.MAX_DENIAL_S", 0.05)
    harness.guard.set_held(HeldParts(1, ("dd",)))
    leader = FakeLeader(harness, wait_s)
    for _ in range(2):
        assert isinstance(await harness.guard.request_probe(["dd"]), ProbeDenied)
        await asyncio.sleep(0.06)
    assert len(leader.get(ProbeRequest)) == 2
