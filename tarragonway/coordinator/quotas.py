"""The leader's buckets of client accounts' quotas."""

from collections.abc import Mapping

import msgspec

from tarragonway.core.ids import AccountId, ProcessName
from tarragonway.limits.tokens import UnitBucket
from tarragonway.links.messages import (
    GrantHistory,
    QuotaAnswer,
    QuotaAsk,
    QuotaReturn,
)
from tarragonway.routes.model import Account

# A former leader has granted lately too, so a new bucket starts with next to nothing.
FIRST_FILL_S = 0.05
# Part of what the deployment tolerates beyond a quota that bursts may use; the rest is
# for requests that overdraw, and for gateways that admit without a leader.
TOLERANCE_PART = 0.5
# A request of this part of a second's quota is small: it does not wait until a long
# prompt, which may overdraw the bucket for a second, is paid off.
SMALL_PART = 0.01
# Part of the quota, and of the tolerance, that small requests may use out of turn.
SMALL_RATE_PART = 0.03
SMALL_TOLERANCE_PART = 0.05
UNKNOWN_ACCOUNT_WAIT_S = 0.2


class QuotaPolicy(msgspec.Struct, frozen=True):
    """How a deployment measures quotas.

    In any ``window_s`` an account may use its rate times the window plus its burst.
    That sum may be exceeded by the fraction ``overrun``, and by ``slack`` tokens.
    """

    window_s: float = 8.0
    overrun: float = 0.0
    slack: float = 0.0

    def compute_capacity(self, account: Account) -> float:
        """Return how much the account may use at once.

        Examples
        --------
        >>> account = Account("a", (), counts_tokens=True, per_s=10.0, burst=20.0)
        >>> QuotaPolicy(8.0, 0.1, 5.0).compute_capacity(account)
        27.5
        """
        return account.burst + TOLERANCE_PART * self.compute_tolerance(account)

    def compute_tolerance(self, account: Account) -> float:
        """Return by how much the account may exceed its quota in a window."""
        tolerated = self.overrun * (account.per_s * self.window_s + account.burst)
        return tolerated + (self.slack if account.counts_tokens else 0.0)


class QuotaBook:
    """Buckets by client account since this process leads.

    Parameters
    ----------
    policy : QuotaPolicy
        How the deployment measures quotas.

    Examples
    --------
    >>> book = QuotaBook(QuotaPolicy())
    >>> accounts = {"a": Account("a", (), per_s=10.0, burst=10.0)}
    >>> book.answer(QuotaAsk(1, "a", 7.0), accounts, 0.0).granted
    True
    >>> book.answer(QuotaAsk(2, "a", 7.0), accounts, 0.0)
    QuotaAnswer(sequence=2, granted=False, wait_s=0.65)
    """

    def __init__(self, policy: QuotaPolicy) -> None:
        self._policy = policy
        self._histories: dict[ProcessName, GrantHistory] = {}
        self._judged = False
        self._buckets: dict[AccountId, UnitBucket] = {}
        self._small: dict[AccountId, UnitBucket] = {}

    def clear(self) -> None:
        """Forget all: another process leads."""
        self._buckets.clear()
        self._small.clear()
        self._histories.clear()
        self._judged = False

    def take_history(
        self,
        gateway: ProcessName,
        history: GrantHistory,
        accounts: Mapping[AccountId, Account],
        now: float,
    ) -> None:
        """Take what a gateway was granted before this process led.

        Once all gateways have told it, each account's bucket holds what the account may
        still use, so that only those near their quota feel a change of leader.
        """
        self._histories[gateway] = history
        expected = max(known.gateways for known in self._histories.values())
        if self._judged or len(self._histories) < expected:
            return
        self._judged = True
        for account in accounts.values():
            if account.per_s > 0:
                bucket = self._get_bucket(account, now)
                bucket.level = max(bucket.level, self._compute_level(account))

    def _compute_level(self, account: Account) -> float:
        """Return what keeps all windows that reach into the past within the quota."""
        capacity = self._policy.compute_capacity(account)
        seconds = int(self._policy.window_s)
        whole = capacity + account.per_s * seconds
        past = self._sum_past(account, whole / seconds)
        level = capacity
        for back in range(seconds + 1):
            # The latest second is not over, so the window reaches one further back.
            used = sum(past[: back + 1])
            ahead = account.per_s * (seconds - back)
            level = min(level, whole - used - ahead)
        return max(0.0, level)

    def _sum_past(self, account: Account, most: float) -> list[float]:
        """Return what was granted in each of the last seconds, the latest first.

        A second that a gateway has not seen counts with its part of ``most``.
        """
        past = [0.0] * (int(self._policy.window_s) + 1)
        for history in self._histories.values():
            known = history.units.get(account.id, ())
            for age in range(len(past)):
                past[age] += known[age] if age < len(known) else 0.0
                if age >= history.seen_s:
                    past[age] += most / len(self._histories)
        return past

    def answer(
        self, ask: QuotaAsk, accounts: Mapping[AccountId, Account], now: float
    ) -> QuotaAnswer:
        """Take the units from the account's bucket if its level is positive."""
        account = accounts.get(ask.account)
        if account is None:
            # The gateway knows a newer or older configuration than this process.
            return QuotaAnswer(ask.sequence, False, UNKNOWN_ACCOUNT_WAIT_S)
        if account.per_s <= 0:
            return QuotaAnswer(ask.sequence, True)
        bucket = self._get_bucket(account, now)
        capacity = self._policy.compute_capacity(account)
        wait_s = bucket.take(ask.units, account.per_s, capacity, now)
        if wait_s > 0 and self._take_out_of_turn(account, ask.units, now):
            bucket.level -= ask.units
            wait_s = 0.0
        return QuotaAnswer(ask.sequence, wait_s == 0.0, wait_s)

    def _take_out_of_turn(self, account: Account, units: float, now: float) -> bool:
        """Return whether a small request passes an overdrawn bucket."""
        if not account.counts_tokens or units > account.per_s * SMALL_PART:
            return False
        most = SMALL_TOLERANCE_PART * self._policy.compute_tolerance(account)
        small = self._small.setdefault(account.id, UnitBucket(most, now))
        return small.take(units, account.per_s * SMALL_RATE_PART, most, now) == 0.0

    def _get_bucket(self, account: Account, now: float) -> UnitBucket:
        bucket = self._buckets.get(account.id)
        if bucket is None:
            bucket = UnitBucket(account.per_s * FIRST_FILL_S, now)
            self._buckets[account.id] = bucket
        return bucket

    def give_back(self, message: QuotaReturn) -> None:
        """Take units back."""
        bucket = self._buckets.get(message.account)
        if bucket is not None:
            bucket.give_back(message.units)
