"""Admission of requests within client accounts' quotas.

The leader keeps one bucket for each client account and is asked once a request, which
costs a round trip inside the region. Dividing a quota among gateways in advance refuses
far too much: a single long prompt is larger than most gateways' part of a second.
While there is no leader, a gateway admits what it was granted lately, so that
all gateways together stay within the quota.
"""

import asyncio
import itertools
from collections.abc import Callable

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.ids import AccountId
from tarragonway.gateway.beliefs import UNKNOWN_GATEWAYS
from tarragonway.limits.tokens import UnitBucket
from tarragonway.links.messages import QuotaAnswer, QuotaAsk, QuotaReturn
from tarragonway.routes.model import Account

ANSWER_LIMIT_S = 0.25
# Without a leader, a request needs this much of the own rate at hand, or its size.
ALONE_WINDOW_S = 2.0
ALONE_START_S = 0.3
ALONE_PAUSE_S = 2.0
GRANTED_MEMORY_S = 8.0

_log = structlog.get_logger()


class _Alone(msgspec.Struct):
    """What a gateway admits of a client account's quota without a leader."""

    bucket: UnitBucket
    granted: float = 0.0
    granted_at: float = 0.0


class QuotaHolder:
    """Asks the leader for quota, or admits an equal part without one.

    Parameters
    ----------
    send : callable
        Sends a message to the leader; returns False if there is none.
    counters : Counters
        Receives ``quota.*`` counters.
    """

    def __init__(
        self, send: Callable[[QuotaAsk | QuotaReturn], bool], counters: Counters
    ) -> None:
        self._send = send
        self._counters = counters
        self._alone: dict[AccountId, _Alone] = {}
        self._waiting: dict[int, asyncio.Future[QuotaAnswer]] = {}
        self._sequence = itertools.count(1)
        self.gateways = UNKNOWN_GATEWAYS

    async def admit(
        self, account: Account, units: float, patience_s: float = 0.0
    ) -> float:
        """Take units; return 0, or the seconds until a new try makes sense.

        If that is within ``patience_s``, the request is held and asks once more.
        """
        if account.per_s <= 0:
            return 0.0
        answer = await self._ask(account.id, units)
        if answer is not None and not answer.granted and answer.wait_s <= patience_s:
            await asyncio.sleep(answer.wait_s)
            answer = await self._ask(account.id, units)
        if answer is not None:
            if answer.granted:
                self._note_granted(account.id, units)
            return 0.0 if answer.granted else answer.wait_s
        self._counters.increment("quota.without_leader")
        return self._admit_alone(account, units)

    def give_back(self, account: Account, units: float) -> None:
        """Return the units of a request that did not run."""
        if account.per_s > 0:
            self._send(QuotaReturn(account.id, units))

    def receive(self, answer: QuotaAnswer) -> None:
        """Take the leader's answer."""
        future = self._waiting.get(answer.sequence)
        if future is not None and not future.done():
            future.set_result(answer)

    async def _ask(self, account: AccountId, units: float) -> QuotaAnswer | None:
        sequence = next(self._sequence)
        if not self._send(QuotaAsk(sequence, account, units)):
            return None
        future: asyncio.Future[QuotaAnswer] = asyncio.get_running_loop().create_future()
        self._waiting[sequence] = future
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                return await future
        except TimeoutError:
            _log.info("leader does not answer", account=account, sequence=sequence)
            return None
        finally:
            del self._waiting[sequence]

    def _note_granted(self, account: AccountId, units: float) -> None:
        """Remember the rate at which the leader has granted."""
        now = asyncio.get_running_loop().time()
        alone = self._alone.setdefault(account, _Alone(UnitBucket(0.0, -1e9)))
        fraction = min(1.0, (now - alone.granted_at) / GRANTED_MEMORY_S)
        alone.granted = alone.granted * (1 - fraction) + units
        alone.granted_at = now

    def _admit_alone(self, account: Account, units: float) -> float:
        now = asyncio.get_running_loop().time()
        alone = self._alone.setdefault(account.id, _Alone(UnitBucket(0.0, -1e9)))
        equal = account.per_s / self.gateways
        rate = max(equal, min(account.per_s, alone.granted / GRANTED_MEMORY_S))
        if now - alone.bucket.at > ALONE_PAUSE_S:
            alone.bucket = UnitBucket(rate * ALONE_START_S, now)
        return alone.bucket.take_strictly(units, rate, ALONE_WINDOW_S, now)
