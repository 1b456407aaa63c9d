"""The leader's buckets of client accounts' quotas."""

from collections.abc import Mapping

from tarragonway.core.ids import AccountId
from tarragonway.limits.tokens import UnitBucket
from tarragonway.links.messages import QuotaAnswer, QuotaAsk, QuotaReturn
from tarragonway.routes.model import Account

# A former leader has granted lately too, so a new bucket does not start full.
FIRST_FILL = 0.2
# Part of the slack that the deployment tolerates in a window; the rest is for requests
# that overdraw, and for gateways that admit without a leader.
SLACK_PART = 0.5
UNKNOWN_ACCOUNT_WAIT_S = 0.2


class QuotaBook:
    """Buckets by client account since this process leads.

    Parameters
    ----------
    slack : float
        Units by which a window's sum may exceed a quota.

    Examples
    --------
    >>> book = QuotaBook(0.0)
    >>> accounts = {"a": Account("a", (), per_s=10.0, burst=10.0)}
    >>> book.answer(QuotaAsk(1, "a", 7.0), accounts, 0.0).granted
    True
    >>> book.answer(QuotaAsk(2, "a", 7.0), accounts, 0.0)
    QuotaAnswer(sequence=2, granted=False, wait_s=0.5)
    """

    def __init__(self, slack: float) -> None:
        self._slack = slack * SLACK_PART
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
        bucket = self._buckets.get(account.id)
        if bucket is None:
            bucket = UnitBucket((account.burst + self._slack) * FIRST_FILL, now)
            self._buckets[account.id] = bucket
        burst = account.burst + (self._slack if account.counts_tokens else 0.0)
        wait_s = bucket.take(ask.units, account.per_s, burst, now)
        return QuotaAnswer(ask.sequence, wait_s == 0.0, wait_s)

    def give_back(self, message: QuotaReturn) -> None:
        """Take units back."""
        bucket = self._buckets.get(message.account)
        if bucket is not None:
            bucket.give_back(message.units)
