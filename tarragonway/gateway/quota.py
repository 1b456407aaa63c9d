"""Admission of requests within client accounts' quotas.

The leader keeps one token bucket for each client account. A gateway requests units from
it for each request, which costs a round trip within the region. Dividing a quota among
gateways in advance would refuse far too many requests: a single long prompt needs more
units than most gateways' part of a second's quota. The route's priority is sent too: an
account that exceeds its quota is served by urgency. While there is no leader, a gateway
admits requests at the rate of its recent grants, so that all gateways together stay
within the quota.
"""

import asyncio
import itertools
import random
from collections.abc import Callable

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.ids import AccountId
from tarragonway.gateway.state import DEFAULT_GATEWAYS
from tarragonway.limits.overdraft import OverdraftBucket
from tarragonway.links.messages import (
    DEFAULT_PRIORITY,
    GrantHistory,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
)
from tarragonway.routes.model import Account

ANSWER_TIMEOUT_S = 0.25
# Without a leader, a bucket's capacity is what its rate refills in this time. A request
# that counts more units is admitted once the bucket is full.
LEADERLESS_WINDOW_S = 0.5
# Initial level of a bucket, in seconds of its rate.
LEADERLESS_INITIAL_S = 0.1
# Fraction of the gateway's part of a quota that it uses without a leader. The parts of
# all gateways add up to more than the quota if their recent grants were unequal.
LEADERLESS_FRACTION = 0.7
# A bucket that has not been used for this time is replaced by a new one.
LEADERLESS_RETENTION_S = 2.0
# A window of 8 s and the current second, which is not over yet.
GRANT_HISTORY_S = 9
# Number of the latest requests without an answer whose late grants are returned.
MAX_UNANSWERED = 256

_log = structlog.get_logger()


class LeaderlessBucket:
    """Token bucket that limits a client account on one gateway without a leader.

    Its rate follows the leader's recent grants to this gateway, or an equal part of the
    quota if that is more.

    Parameters
    ----------
    source : random.Random
        Decides on requests that count more units than the bucket can hold.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._bucket = OverdraftBucket(0.0, -LEADERLESS_RETENTION_S)
        self._seconds: dict[int, float] = {}

    def record_grant(self, units: float, now: float) -> None:
        """Record units that were granted at the time ``now``, in seconds."""
        second = int(now)
        self._seconds[second] = self._seconds.get(second, 0.0) + units
        for old in [at for at in self._seconds if at <= second - GRANT_HISTORY_S]:
            del self._seconds[old]

    def list_grants(self, now: float) -> tuple[float, ...]:
        """Return the units granted in each of the last seconds, the latest first."""
        second = int(now)
        return tuple(
            self._seconds.get(second - age, 0.0) for age in range(GRANT_HISTORY_S)
        )

    def take(
        self,
        units: float,
        per_s: float,
        gateways: int,
        is_near_quota: bool,
        now: float,
    ) -> float:
        """Take units if available; return 0, or the seconds to wait.

        A request may count more units than the bucket can hold, and many gateways may
        get one at the same moment. If the account has used most of its quota, such a
        request takes what the full bucket holds, and is admitted with the probability
        that this is of its units. So all gateways together admit what they refill.

        Parameters
        ----------
        units : float
            Units that the request counts.
        per_s : float
            The account's quota for all gateways together, in units per second.
        gateways : int
            Number of gateways that share the quota.
        is_near_quota : bool
            Whether the account had used most of its quota when the leader was last
            heard of.
        now : float
            Time of the event loop's clock, in seconds.
        """
        recent_rate = min(per_s, sum(self.list_grants(now)) / GRANT_HISTORY_S)
        rate = LEADERLESS_FRACTION * max(per_s / gateways, recent_rate)
        if now - self._bucket.refilled_at > LEADERLESS_RETENTION_S:
            self._bucket = OverdraftBucket(rate * LEADERLESS_INITIAL_S, now)
        capacity = rate * LEADERLESS_WINDOW_S
        if not is_near_quota or units <= capacity:
            return self._bucket.take_strictly(units, rate, LEADERLESS_WINDOW_S, now)
        wait_s = self._bucket.take_strictly(capacity, rate, LEADERLESS_WINDOW_S, now)
        if wait_s == 0 and self._random.random() * units > capacity:
            return LEADERLESS_WINDOW_S
        return wait_s


class QuotaClient:
    """Requests quota units from the leader, or limits requests locally without one.

    Parameters
    ----------
    send : callable
        Sends a message to the leader; returns False if there is none.
    counters : Counters
        Receives ``quota.*`` counters.

    Attributes
    ----------
    near_quota : frozenset of AccountId or None
        Accounts that had used most of their quota when the leader was last heard of;
        None if it has not been heard of.
    """

    def __init__(
        self, send: Callable[[QuotaRequest | QuotaReturn], bool], counters: Counters
    ) -> None:
        self._send = send
        self._counters = counters
        self._leaderless: dict[AccountId, LeaderlessBucket] = {}
        self._pending: dict[int, asyncio.Future[QuotaReply]] = {}
        self._unanswered: dict[int, QuotaReturn] = {}
        self._sequence = itertools.count(1)
        self._started = asyncio.get_running_loop().time()
        self._random = random.Random()
        self.gateways = DEFAULT_GATEWAYS
        self.near_quota: frozenset[AccountId] | None = None

    async def admit(
        self,
        account: Account,
        units: float,
        max_wait_s: float = 0.0,
        priority: int = DEFAULT_PRIORITY,
        time_left_s: float = 0.0,
    ) -> float:
        """Take units; return 0, or the seconds after which a retry may succeed.

        If the leader's wait is at most ``max_wait_s`` seconds, this waits and requests
        the units once more.

        Parameters
        ----------
        account : Account
            Account whose quota is used.
        units : float
            Units that the request counts.
        max_wait_s : float
            Longest wait of the request here.
        priority : int
            Priority of the request's route.
        time_left_s : float
            Time until the caller's deadline, 0 if it is not known.
        """
        if account.per_s <= 0:
            return 0.0
        request = QuotaRequest(0, account.id, units, priority, time_left_s)
        sequence, reply = await self._request_units(request)
        if reply is not None and not reply.granted and reply.wait_s <= max_wait_s:
            await asyncio.sleep(reply.wait_s)
            left_s = max(0.0, time_left_s - reply.wait_s)
            sequence, reply = await self._request_units(
                QuotaRequest(0, account.id, units, priority, left_s, is_repeated=True)
            )
        if reply is not None:
            if reply.granted:
                now = asyncio.get_running_loop().time()
                self._get_leaderless(account.id).record_grant(units, now)
            return 0.0 if reply.granted else reply.wait_s
        self._counters.increment("quota.without_leader")
        now = asyncio.get_running_loop().time()
        leaderless = self._get_leaderless(account.id)
        is_near = self.near_quota is None or account.id in self.near_quota
        wait_s = leaderless.take(units, account.per_s, self.gateways, is_near, now)
        if wait_s <= 0:
            leaderless.record_grant(units, now)
            # A late grant then counts what was admitted, so it is not returned.
            self._unanswered.pop(sequence, None)
        return wait_s

    def refund(self, account: Account, units: float) -> None:
        """Return the units of a request that did not run."""
        if account.per_s > 0:
            self._send(QuotaReturn(account.id, units))

    def make_history(self) -> GrantHistory:
        """Return the recent grants, for a new leader."""
        now = asyncio.get_running_loop().time()
        units = {
            name: leaderless.list_grants(now)
            for name, leaderless in self._leaderless.items()
        }
        return GrantHistory(units, now - self._started, self.gateways)

    def handle_reply(self, reply: QuotaReply) -> None:
        """Pass the leader's reply to the request that waits for it.

        Units that are granted too late, once nothing waits for them, are returned.
        """
        future = self._pending.get(reply.sequence)
        if future is not None and not future.done():
            future.set_result(reply)
            return
        unused = self._unanswered.pop(reply.sequence, None)
        if unused is not None and reply.granted:
            self._counters.increment("quota.late_grants")
            self._send(unused)

    def forget_unanswered(self) -> None:
        """Forget the requests to a former leader.

        Its late grants must not be returned, as a new leader has not charged them.
        """
        self._unanswered.clear()

    async def _request_units(
        self, request: QuotaRequest
    ) -> tuple[int, QuotaReply | None]:
        """Return the request's new sequence number and the leader's reply, if any."""
        account, units = request.account, request.units
        sequence = next(self._sequence)
        if not self._send(msgspec.structs.replace(request, sequence=sequence)):
            return sequence, None
        future: asyncio.Future[QuotaReply] = asyncio.get_running_loop().create_future()
        self._pending[sequence] = future
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return sequence, await future
        except TimeoutError:
            _log.info(
                "no quota answer from the leader; quota limited locally",
                account=account,
                sequence=sequence,
            )
            return sequence, None
        finally:
            del self._pending[sequence]
            if future.cancelled():
                self._unanswered[sequence] = QuotaReturn(account, units)
                while len(self._unanswered) > MAX_UNANSWERED:
                    del self._unanswered[next(iter(self._unanswered))]

    def _get_leaderless(self, account: AccountId) -> LeaderlessBucket:
        return self._leaderless.setdefault(account, LeaderlessBucket(self._random))
