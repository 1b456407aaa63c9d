import asyncio
import random
from types import SimpleNamespace

import msgspec
import pytest

from tarragonway.core.counters import Counters
from tarragonway.exchange import CallerRequest
from tarragonway.gateway.admission import Admission, Admitted
from tarragonway.gateway.quota import LeaderlessBucket, QuotaClient
from tarragonway.links.messages import QuotaReply, QuotaRequest, QuotaReturn
from tarragonway.routes import Account
from tarragonway.routes.model import Repeatability, Route

ACCOUNT = Account("a", (), counts_tokens=True, per_s=160.0, burst=160.0)


class StubLeader:
    """Stub that answers quota requests with prepared pairs of grant and wait."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.present = True
        self.asks = 0
        self.client = QuotaClient(self.send, Counters())

    def send(self, message):
        if isinstance(message, QuotaRequest) and self.present:
            self.asks += 1
            granted, wait_s = self.answers.pop(0)
            reply = QuotaReply(message.sequence, granted, wait_s)
            asyncio.get_running_loop().call_soon(self.client.handle_reply, reply)
        return self.present


async def test_granted_request_is_admitted():
    assert await StubLeader((True, 0.0)).client.admit(ACCOUNT, 50.0) == 0.0


async def test_refusal_returns_the_wait():
    assert await StubLeader((False, 0.7)).client.admit(ACCOUNT, 50.0, 0.1) == 0.7


async def test_request_that_may_pass_soon_is_held_and_asks_once_more():
    leader = StubLeader((False, 0.05), (True, 0.0))
    assert await leader.client.admit(ACCOUNT, 50.0, 0.1) == 0.0
    assert leader.asks == 2


@pytest.mark.parametrize("gateways", [4, 64])
async def test_without_a_leader_all_gateways_stay_near_the_quota(gateways):
    async def count_admitted():
        leader = StubLeader()
        leader.present = False
        leader.client.gateways = gateways
        admitted = 0.0
        for _ in range(200):
            if await leader.client.admit(ACCOUNT, 1.0) == 0.0:
                admitted += 1.0
        return admitted

    # All requests arrive at one moment; together, the gateways may admit about one
    # second's quota.
    together = gateways * await count_admitted()
    assert together <= ACCOUNT.per_s * 1.1 + gateways


async def test_account_without_a_quota_is_not_asked_for():
    leader = StubLeader()
    assert await leader.client.admit(Account("b", ()), 50.0) == 0.0
    assert not leader.asks


class SlowLeader:
    """Stub that collects messages and answers nothing."""

    def __init__(self) -> None:
        self.messages = []
        self.client = QuotaClient(self.send, Counters())

    def send(self, message):
        self.messages.append(message)
        return True


async def test_late_grant_of_a_refused_request_is_returned_once(monkeypatch):
    monkeypatch.setattr("tarragonway.gateway.quota.ANSWER_TIMEOUT_S", 0.01)
    leader = SlowLeader()
    assert await leader.client.admit(ACCOUNT, 1000.0) > 0
    (request,) = leader.messages
    for _ in range(2):
        leader.client.handle_reply(QuotaReply(request.sequence, True))
    assert leader.messages[1:] == [QuotaReturn("a", 1000.0)]


async def test_late_grant_of_a_request_that_was_admitted_locally_is_used(monkeypatch):
    monkeypatch.setattr("tarragonway.gateway.quota.ANSWER_TIMEOUT_S", 0.01)
    leader = SlowLeader()
    assert await leader.client.admit(ACCOUNT, 0.5) == 0
    leader.client.handle_reply(QuotaReply(leader.messages[0].sequence, True))
    assert len(leader.messages) == 1


async def test_grant_for_a_caller_that_has_left_is_returned():
    leader = SlowLeader()
    asking = asyncio.create_task(leader.client.admit(ACCOUNT, 7.0))
    await asyncio.sleep(0.01)
    asking.cancel()
    await asyncio.wait([asking])
    leader.client.handle_reply(QuotaReply(leader.messages[0].sequence, True))
    assert leader.messages[1:] == [QuotaReturn("a", 7.0)]


async def test_late_refusal_returns_nothing(monkeypatch):
    monkeypatch.setattr("tarragonway.gateway.quota.ANSWER_TIMEOUT_S", 0.01)
    leader = SlowLeader()
    await leader.client.admit(ACCOUNT, 1000.0)
    leader.client.handle_reply(QuotaReply(leader.messages[0].sequence, False, 1.0))
    assert len(leader.messages) == 1


def take_long_prompts(is_near_quota, gateways=64, per_s=36_000.0, units=12_000.0):
    """Return the units admitted in one second, with a long prompt at each gateway."""
    source = random.Random(1)
    buckets = [LeaderlessBucket(source) for _ in range(gateways)]
    return sum(
        units
        for step in range(50)
        for bucket in buckets
        if bucket.take(units, per_s, gateways, is_near_quota, step / 50) == 0
    )


# Guards against a quota that is exceeded while there is no leader, as each of many
# gateways admits a prompt of many times its part.
def test_long_prompts_of_an_account_near_its_quota_share_what_all_gateways_refill():
    assert take_long_prompts(is_near_quota=True) <= 2 * 36_000.0


def test_long_prompts_of_an_account_far_from_its_quota_are_admitted_once():
    assert take_long_prompts(is_near_quota=False) == 64 * 12_000.0


# Guards against a request that the leader cannot decode, so that all of its account's
# requests are limited locally.
async def test_time_left_is_bounded_in_requests_to_the_leader():
    asked = []

    class Quota:
        async def admit(self, account, units, max_wait_s, priority, time_left_s):
            asked.append(QuotaRequest(1, account.id, units, priority, time_left_s))
            return 0.0

    route = Route("r", "h", "/", Repeatability.SAFE, 1e27, 1.0, 2, 1, ())
    facts = CallerRequest("x", "h", "/", 1e26, "k", None, None)
    now = asyncio.get_running_loop().time()
    admission = Admission(None, None, Quota(), Counters())
    request = SimpleNamespace(arrived_s=now)
    assert await admission._take_quota(Admitted(route, ACCOUNT), request, facts)
    encoded = msgspec.msgpack.encode(asked[0])
    assert msgspec.msgpack.decode(encoded, type=QuotaRequest) == asked[0]
    assert asked[0].priority == 2
