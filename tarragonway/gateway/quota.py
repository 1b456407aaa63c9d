"""Admission of requests within the shares of client accounts' quotas."""

import msgspec

from tarragonway.core.ids import AccountId
from tarragonway.links.messages import QuotaDemand, QuotaGrant
from tarragonway.routes.model import Account

UNKNOWN_GATEWAYS = 16
DEMAND_WEIGHT = 0.3


class _Share(msgspec.Struct):
    rate: float
    cap: float
    balance: float
    at: float
    lease_end: float = float("-inf")
    asked: float = 0.0
    demand: float = 0.0


class QuotaHolder:
    """One gateway's shares.

    A request is admitted while the balance is positive and may overdraw it, since a
    share is often smaller than one long prompt. Without a lease a share is an equal part.

    Examples
    --------
    >>> holder = QuotaHolder()
    >>> account = Account("a", ("k",), per_s=160.0, burst=160.0)
    >>> holder.admit(account, 12.0, 0.0)
    0.0
    >>> holder.admit(account, 12.0, 0.0)
    0.2
    """

    def __init__(self) -> None:
        self._shares: dict[AccountId, _Share] = {}
        self._gateways = UNKNOWN_GATEWAYS
        self._demand_at = 0.0

    def admit(self, account: Account, units: float, now: float) -> float:
        """Take units; return 0, or the seconds until a new try makes sense."""
        if account.per_s <= 0:
            return 0.0
        share = self._refill(account, now)
        share.asked += units
        if share.balance > 0:
            share.balance -= units
            return 0.0
        return max(0.1, round((1.0 - share.balance) / max(share.rate, 1.0), 3))

    def give_back(self, account: Account, units: float) -> None:
        """Return the units of a request that did not run."""
        share = self._shares.get(account.id)
        if share is not None:
            share.balance = min(share.cap, share.balance + units)

    def receive(
        self, grants: tuple[QuotaGrant, ...], gateways: int, end: float
    ) -> None:
        """Take over shares that may be used until ``end``."""
        self._gateways = max(1, gateways)
        for grant in grants:
            share = self._shares.get(grant.account)
            if share is not None:
                share.rate = grant.tokens_per_s
                share.cap = grant.burst
                share.lease_end = end

    def measure_demand(self, now: float) -> tuple[QuotaDemand, ...]:
        """Return smoothed demands and start a new interval."""
        interval_s = now - self._demand_at
        if interval_s <= 0:
            return ()
        self._demand_at = now
        demands = []
        for account, share in self._shares.items():
            rate = share.asked / interval_s
            share.demand += (rate - share.demand) * DEMAND_WEIGHT
            share.asked = 0.0
            if share.demand >= 1.0:
                demands.append(QuotaDemand(account, round(share.demand, 1)))
        return tuple(demands)

    def _refill(self, account: Account, now: float) -> _Share:
        share = self._shares.get(account.id)
        equal_rate = account.per_s / self._gateways
        equal_cap = max(1.0, account.burst / self._gateways)
        if share is None:
            share = _Share(equal_rate, equal_cap, equal_cap, now)
            self._shares[account.id] = share
        rate = min(share.rate, account.per_s)
        if share.lease_end <= now or share.rate > account.per_s:
            rate = min(rate, equal_rate)
            share.rate, share.cap = rate, min(share.cap, equal_cap)
        share.balance = min(share.cap, share.balance + rate * (now - share.at))
        share.at = now
        return share
