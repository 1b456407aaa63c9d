import asyncio

import pytest

from tarragonway.core.counters import Counters
from tarragonway.gateway.quota import QuotaClient
from tarragonway.links.messages import QuotaReply, QuotaRequest
from tarragonway.routes import Account

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
