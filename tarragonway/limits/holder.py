"""An entry process's shares of plan limits, and admission within them."""

import asyncio
import itertools
from collections.abc import Callable

import msgspec

from tarragonway.core.counters import Counters
from tarragonway.core.ids import AccountId
from tarragonway.core.outcomes import Refusal, RefusalReason
from tarragonway.limits.bucket import TokenBucket
from tarragonway.limits.messages import ShareCall, ShareReply, ShareRequest

RENEWALS_PER_LEASE = 4
# Weight of the previous estimate when the demand is estimated anew at a renewal.
DEMAND_DECAY = 0.7
# Longest wait of a request for a share, in leases.
FIRST_SHARE_WAIT_LEASES = 1.5
# Shortest time between the calls that waiting requests cause.
CALL_INTERVAL_S = 0.1


class _Account(msgspec.Struct):
    bucket: TokenBucket
    per_s: float = 0.0
    concurrent: int = 0
    end: float = float("-inf")
    running: int = 0
    arrivals: int = 0
    demand: float = 0.0


class ShareHolder:
    """Admits requests within the shares that the leader granted.

    Parameters
    ----------
    lease_s : float
        Length of a lease in seconds; a share is renewed several times in each lease.
    send : callable
        Sends a call to the leader, if one is known.
    counters : Counters
        Receives ``limits.*`` counters.
    """

    def __init__(
        self,
        lease_s: float,
        send: Callable[[ShareCall], object],
        counters: Counters,
    ) -> None:
        self._lease_s = lease_s
        self._send = send
        self._counters = counters
        self._accounts: dict[AccountId, _Account] = {}
        self._calls = itertools.count(1)
        self._sent: dict[int, float] = {}
        self._granted = asyncio.Event()
        self._called_at = float("-inf")

    @property
    def has_unanswered_calls(self) -> bool:
        """Whether more than one recent call has not been answered."""
        return len(self._sent) > 1

    async def run(self) -> None:
        """Update the demand estimates and renew shares until cancelled."""
        period_s = self._lease_s / RENEWALS_PER_LEASE
        while True:
            await asyncio.sleep(period_s)
            for account in self._accounts.values():
                rate = account.arrivals / period_s
                account.demand += (rate - account.demand) * (1 - DEMAND_DECAY)
                account.arrivals = 0
            self._send_call()

    def handle_reply(self, reply: ShareReply) -> None:
        """Apply granted shares; a lease counts from when its call was sent."""
        sent_at = self._sent.pop(reply.call, None)
        if sent_at is None:
            return
        now = asyncio.get_running_loop().time()
        for grant in reply.grants:
            account = self._accounts.get(grant.account)
            if account is not None:
                if not account.per_s:
                    # The first share starts with a full burst.
                    account.bucket = TokenBucket(grant.per_s, now)
                account.bucket.set_rate(grant.per_s, now)
                account.per_s = grant.per_s
                account.concurrent = grant.concurrent
                account.end = sent_at + reply.lease_s
        self._granted.set()
        self._granted = asyncio.Event()

    async def admit(self, account_id: AccountId) -> Refusal | None:
        """Admit one request, or return the refusal.

        An admitted request counts as running until :meth:`release` is called. Without a
        valid share, this waits for one for up to 1.5 leases.
        """
        loop = asyncio.get_running_loop()
        account = self._accounts.get(account_id)
        if account is None:
            account = _Account(TokenBucket(0.0, loop.time()))
            self._accounts[account_id] = account
            self._send_call()
        account.arrivals += 1
        deadline = loop.time() + FIRST_SHARE_WAIT_LEASES * self._lease_s
        while account.end <= loop.time() or not account.concurrent:
            if loop.time() >= deadline:
                return self._refuse_without_share(account)
            if loop.time() - self._called_at >= CALL_INTERVAL_S:
                self._send_call()
            await self._wait_for_grant()
        return self._admit_within_share(account, loop.time())

    def release(self, account_id: AccountId) -> None:
        """Record that an admitted request has ended."""
        self._accounts[account_id].running -= 1

    def make_dump(self) -> dict[str, dict[str, float]]:
        """Return the share and the running requests of each client account."""
        return {
            name: {
                "per_s": account.per_s,
                "concurrent": account.concurrent,
                "running": account.running,
            }
            for name, account in self._accounts.items()
        }

    def _admit_within_share(self, account: _Account, now: float) -> Refusal | None:
        if account.running >= account.concurrent:
            self._counters.increment("limits.concurrent")
            detail = "the plan's limit of concurrent requests is reached"
            return Refusal(RefusalReason.LIMIT, detail, 1.0)
        if not account.bucket.take(now):
            self._counters.increment("limits.rate")
            detail = "the plan's limit of requests a second is reached"
            wait_s = account.bucket.get_wait_s(now)
            return Refusal(RefusalReason.LIMIT, detail, wait_s)
        account.running += 1
        return None

    def _refuse_without_share(self, account: _Account) -> Refusal:
        if account.end <= asyncio.get_running_loop().time():
            self._counters.increment("limits.no_control")
            detail = "no share of the plan's limit could be had"
            return Refusal(RefusalReason.NO_CONTROL, detail, 1.0)
        self._counters.increment("limits.concurrent")
        detail = "the plan's limit is in use at other instances"
        return Refusal(RefusalReason.LIMIT, detail, self._lease_s)

    def _send_call(self) -> None:
        now = asyncio.get_running_loop().time()
        self._called_at = now
        self._sent = {c: t for c, t in self._sent.items() if now - t < self._lease_s}
        requests = tuple(
            ShareRequest(
                name,
                account.demand + account.arrivals,
                account.running,
                account.per_s if account.end > now else 0.0,
                account.concurrent if account.end > now else 0,
            )
            for name, account in self._accounts.items()
        )
        call = next(self._calls)
        self._sent[call] = now
        # A call without requests is sent too, since it informs a new leader that this
        # process has no shares.
        self._send(ShareCall(call, requests))

    async def _wait_for_grant(self) -> None:
        try:
            async with asyncio.timeout(CALL_INTERVAL_S):
                await self._granted.wait()
        except TimeoutError:
            return
