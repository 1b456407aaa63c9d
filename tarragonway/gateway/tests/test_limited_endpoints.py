import asyncio

import pytest

from tarragonway.gateway.tests.harness import NOT_RUN, SIGNED, make_answer
from tarragonway.limits.request_limits import RequestLimits
from tarragonway.links.messages import LimitStated, PermitReply, PermitRequest
from tarragonway.platform import names


def state_limit(text):
    return f"{names.REQUEST_LIMIT.decode()}: {text}\r\n"


class FakeLeader:
    """Answers requests for permits like the leader of several gateways."""

    def __init__(self, harness):
        self.harness = harness
        self.limits = RequestLimits()
        self.statements = []
        self.asked = 0
        harness.limit_guard._send = self.send

    def send(self, message):
        loop = asyncio.get_running_loop()
        match message:
            case LimitStated(endpoint, per_s, age_s):
                self.statements.append((endpoint, per_s))
                self.limits.record_statement(endpoint, per_s, age_s, loop.time())
            case PermitRequest(sequence, limits):
                self.asked += 1
                granted = self.limits.request_permit(limits, loop.time())
                endpoint = getattr(granted, "endpoint", "")
                waits_s = getattr(granted, "waits_s", {})
                return_s = getattr(granted, "return_s", 0.0)
                reply = PermitReply(sequence, endpoint, waits_s, return_s)
                loop.call_soon(self.harness.limit_guard.handle_reply, reply)
        return True


def answer_with(endpoint, text):
    extra = SIGNED + (state_limit(text) if text else "")
    endpoint.choose = lambda head: make_answer(extra=extra)


# Guards against a gateway that goes on as before once an endpoint states a limit.
async def test_requests_beyond_a_limit_go_to_other_endpoints(harness):
    limited = await harness.add(harness.ports())
    free = await harness.add(harness.ports())
    answer_with(limited, "1")
    answer_with(free, "")
    FakeLeader(harness)
    for _ in range(30):
        assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 200")
    assert len(limited.heads) <= 6
    assert len(free.heads) >= 24


async def test_request_without_room_anywhere_is_refused_at_once(harness):
    limited = await harness.add(harness.ports())
    answer_with(limited, "0.5")
    FakeLeader(harness)
    assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 200")
    loop = asyncio.get_running_loop()
    started = loop.time()
    received = await harness.ask("/single/")
    assert loop.time() - started < 0.3
    assert received.startswith(b"HTTP/1.1 503")
    assert b"endpoints_limited" in received
    wait_s = float(received.lower().partition(b"retry-after: ")[2].split(b"\r\n")[0])
    assert 1.0 <= wait_s <= 2.0
    assert harness.quota.returned
    assert len(limited.heads) == 1


async def test_limit_ends_with_the_first_answer_without_it(harness):
    endpoint = await harness.add(harness.ports())
    answer_with(endpoint, "20")
    leader = FakeLeader(harness)
    await harness.ask("/single/")
    assert leader.limits.stated == {"e1": 20.0}
    answer_with(endpoint, "")
    await asyncio.sleep(0.1)
    await harness.ask("/single/")
    assert leader.limits.stated == {}
    assert harness.limit_guard.limits == {}
    asked = leader.asked
    await harness.ask("/single/")
    assert leader.asked == asked


async def test_refusals_state_limits_too(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [make_answer(503, "", NOT_RUN + state_limit("1"))]
    leader = FakeLeader(harness)
    await harness.ask("/single/")
    assert leader.statements == [("e1", 1.0)]


@pytest.mark.parametrize("text", ["", "nan", "-3", "lots"])
async def test_unreadable_limit_changes_nothing(harness, text):
    endpoint = await harness.add(harness.ports())
    leader = FakeLeader(harness)
    answer_with(endpoint, "4")
    await harness.ask("/single/")
    extra = SIGNED + state_limit(text)
    endpoint.choose = lambda head: make_answer(extra=extra)
    await asyncio.sleep(0.3)
    assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 200")
    assert harness.limit_guard.limits == {"e1": 4.0}
    assert leader.statements == [("e1", 4.0)]


# Guards against gateways without a leader that each spend the whole limit.
async def test_without_a_leader_few_requests_go_to_limited_endpoints(harness):
    endpoint = await harness.add(harness.ports())
    answer_with(endpoint, "2")
    harness.state.gateways = 50
    for _ in range(20):
        await harness.ask("/single/")
    assert len(endpoint.heads) <= 3


async def test_published_limits_replace_older_statements(harness):
    loop = asyncio.get_running_loop()
    row = (await harness.add(harness.ports())) and next(
        iter(harness.state.endpoints.rows.values())
    )
    guard = harness.limit_guard
    guard.record_answer(row, ("3",), loop.time(), loop.time())
    guard.set_published(1, {"other": 2.0}, loop.time() - 1.0)
    assert guard.limits == {"other": 2.0, "e1": 3.0}
    guard.set_published(2, {}, loop.time() + 1.0)
    assert guard.limits == {}


async def test_limits_of_endpoints_that_are_gone_are_forgotten(harness):
    guard = harness.limit_guard
    guard.set_published(1, {"e1": 2.0, "e2": 1.0}, 0.0)
    guard.retain(["e2"])
    assert guard.limits == {"e2": 1.0}


async def test_new_leader_is_told_all_known_limits(harness):
    guard = harness.limit_guard
    guard.set_published(1, {"e2": 1.0}, 0.0)
    assert guard.list_statements(5.0) == (LimitStated("e2", 1.0),)


# Guards against requests that fail at dead endpoints while limited ones have room.
async def test_limited_endpoint_is_used_while_the_others_are_unreachable(harness):
    limited = await harness.add(harness.ports())
    await harness.add(harness.ports(), listens=False)
    answer_with(limited, "50")
    FakeLeader(harness)
    for _ in range(3):
        await harness.ask("/single/")
        await asyncio.sleep(0.05)
    assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 200")
