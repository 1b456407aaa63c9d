"""The leader's buckets of client accounts' quotas."""

from collections.abc import Mapping

import msgspec

from tarragonway.core.ids import AccountId
from tarragonway.limits.tokens import UnitBucket
from tarragonway.links.messages import QuotaAnswer, QuotaAsk, QuotaReturn
from tarragonway.routes.model import Account

# A former leader has granted lately too, so a new bucket starts with next to nothing.
FIRST_FILL_S = 0.05
# Part of what the deployment tolerates beyond a quota that bursts may use; the rest is
# for requests that overdraw, and for gateways that admit without a leader.
TOLERANCE_PART = 0.5
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
        tolerated = self.overrun * (account.per_s * self.window_s + account.burst)
        if account.counts_tokens:
            tolerated += self.slack
        return account.burst + TOLERANCE_PART * tolerated


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
        self._buckets: dict[AccountId, UnitBucket] = {}

    def clear(self) -> None:
        """Forget all: another process leads."""
        self._buckets.clear()

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
        capacity = self._policy.compute_capacity(account)
        bucket = self._buckets.get(account.id)
        if bucket is None:
            level = min(capacity, account.per_s * FIRST_FILL_S)
            bucket = UnitBucket(level, now)
            self._buckets[account.id] = bucket
        wait_s = bucket.take(ask.units, account.per_s, capacity, now)
        return QuotaAnswer(ask.sequence, wait_s == 0.0, wait_s)

    def give_back(self, message: QuotaReturn) -> None:
        """Take units back."""
        bucket = self._buckets.get(message.account)
        if bucket is not None:
            bucket.give_back(message.units)
