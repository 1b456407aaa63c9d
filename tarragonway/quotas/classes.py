"""Shares of one account's quota by class of requests, and waits of refused callers.

It addresses an account whose demand exceeds its quota for some seconds. The account's
own bucket bounds what is granted; the shares only decide to whom.
"""

import msgspec

from tarragonway.limits.overdraft import OverdraftBucket
from tarragonway.quotas.demand import DemandMeter
from tarragonway.quotas.division import RequestClass, classify, divide

# Shortest time between two divisions of an account's quota.
DIVISION_INTERVAL_S = 0.1
# A request whose account's division is older makes a new one itself. That takes several
# times as long as a decision, so the leader makes them between requests.
MAX_DIVISION_AGE_S = 0.25
# The units that the account's bucket holds are divided over this time.
STOCK_S = 2.0
# Fraction of the bucket's capacity that the divided rate aims to keep, so that classes
# are refused by their share rather than by an empty bucket, which serves whoever comes
# first.
RESERVE_FRACTION = 0.1
# Fraction of the capacity below which the classes that are cut get nothing. What the
# bucket still holds then goes to calls and to urgent classes that are not cut.
CUT_LEVEL_FRACTION = 0.05
# Least divided rate, relative to the quota, while the bucket holds less than that.
MIN_RATE_FRACTION = 0.25
# The bucket of a class holds its share of this time, and at first of a part of it.
SHARE_BURST_S = 0.5
SHARE_INITIAL_S = 0.1
# Shortest wait that is told to a refused caller.
MIN_WAIT_S = 0.05
# A class of which at least this fraction is served is not cut.
UNCUT_FRACTION = 0.999
# Callers wait for Retry-After only up to this fraction of the time that they have left.
RETURN_FRACTION = 1 / 3
# Longest return of callers whose remaining time is not known.
MAX_RETURN_S = 5.0
# Longest wait that is told to a caller for which no room is foreseen in time.
MAX_FORESEEN_S = 30.0
# Least part of a caller's longest wait after which it returns if all room is promised.
MIN_SPREAD_FRACTION = 0.5
# Multiples of the golden ratio are spread evenly, whatever their number.
SPREAD_STEP = 0.6180339887498949


class QuotaAsk(msgspec.Struct, frozen=True):
    """What the division needs to know of one request for units.

    ``time_left_s`` is the time until the caller's deadline, 0 if it is not known.
    ``is_repeated`` means that the gateway asks again for a caller that it holds.
    """

    priority: int
    units: float
    time_left_s: float = 0.0
    is_repeated: bool = False

    @property
    def request_class(self) -> RequestClass:
        """Class of the request."""
        return classify(self.priority, self.units)


class _Share(msgspec.Struct):
    per_s: float
    bucket: OverdraftBucket


class ClassShares:
    """Division of one account's quota, in force while its demand exceeds the quota.

    Examples
    --------
    >>> shares = ClassShares(now=0.0)
    >>> for _ in range(30):
    ...     shares.record(QuotaAsk(2, 2400.0), now=0.2)
    >>> shares.update(36_000.0, 0.0, 36_000.0, now=0.3)
    >>> round(shares.fractions[RequestClass(2, 6)], 2)
    0.52
    """

    def __init__(self, now: float) -> None:
        self._demand = DemandMeter()
        self._shares: dict[RequestClass, _Share] = {}
        self._promised_at: dict[RequestClass, float] = {}
        self._refused = 0
        self._updated_at = now
        self._cut_level = 0.0
        self.fractions: dict[RequestClass, float] = {}
        self.demand_per_s = 0.0

    @property
    def is_divided(self) -> bool:
        """Whether the demand exceeds the quota."""
        return bool(self.fractions)

    def record(self, ask: QuotaAsk, now: float) -> None:
        """Count the request in the demand of its class, once for each caller."""
        if ask.is_repeated:
            self._demand.cancel_return(ask.request_class)
        else:
            self._demand.record(ask.request_class, ask.units, now)

    def compute_age(self, now: float) -> float:
        """Return the seconds since the last division."""
        return now - self._updated_at

    def update(self, per_s: float, level: float, capacity: float, now: float) -> None:
        """Divide the quota anew by the measured demand.

        Parameters
        ----------
        per_s : float
            The account's quota in units per second.
        level : float
            Units in the account's bucket, negative if it is overdrawn.
        capacity : float
            Capacity of the account's bucket in units.
        now : float
            Current time in seconds.
        """
        self._updated_at = now
        demands = self._demand.measure(now)
        self.demand_per_s = sum(demand.units_per_s for demand in demands)
        rate = per_s + (level - RESERVE_FRACTION * capacity) / STOCK_S
        rate = max(rate, MIN_RATE_FRACTION * per_s)
        if self.demand_per_s <= max(per_s, rate):
            self.fractions = {}
            self._shares.clear()
            return
        self.fractions = divide(rate, demands)
        self._cut_level = CUT_LEVEL_FRACTION * capacity
        shares: dict[RequestClass, _Share] = {}
        for demand in demands:
            fraction = self.fractions[demand.request_class]
            if fraction >= UNCUT_FRACTION:
                continue
            share_per_s = max(fraction * demand.units_per_s, 1e-9)
            share = self._shares.get(demand.request_class)
            if share is None:
                bucket = OverdraftBucket(share_per_s * SHARE_INITIAL_S, now)
                share = _Share(share_per_s, bucket)
            else:
                share.bucket.refill(share.per_s, share.per_s * SHARE_BURST_S, now)
                share.per_s = share_per_s
            shares[demand.request_class] = share
        self._shares = shares

    def find_wait(
        self, request_class: RequestClass, level: float, per_s: float, now: float
    ) -> float:
        """Return 0 if the class has room, or the seconds until it has.

        Parameters
        ----------
        request_class : RequestClass
            Class of the request.
        level : float
            Units in the account's bucket.
        per_s : float
            The account's quota in units per second.
        now : float
            Current time in seconds.
        """
        share = self._shares.get(request_class)
        if share is None:
            return 0.0
        share.bucket.refill(share.per_s, share.per_s * SHARE_BURST_S, now)
        if share.bucket.level > 0 and level > self._cut_level:
            return 0.0
        account_s = (self._cut_level - level) / per_s
        return max(MIN_WAIT_S, -share.bucket.level / share.per_s, account_s)

    def take(self, request_class: RequestClass, units: float) -> None:
        """Take the granted units from the share of the class."""
        share = self._shares.get(request_class)
        if share is not None:
            share.bucket.level -= units

    def foresee_return(
        self, ask: QuotaAsk, wait_s: float, per_s: float, now: float
    ) -> float:
        """Return the seconds after which a refused caller may find room.

        Room that was promised to others is not foreseen again. If all room within the
        caller's time is promised, returns are spread over the later part of that time.

        Parameters
        ----------
        ask : QuotaAsk
            The refused request.
        wait_s : float
            Seconds until the class, or the account, has room.
        per_s : float
            The account's quota in units per second.
        now : float
            Current time in seconds.
        """
        key = ask.request_class
        share = self._shares.get(key)
        rate = share.per_s if share is not None else per_s
        foreseen_at = max(now + wait_s, self._promised_at.get(key, 0.0))
        foreseen_s = foreseen_at - now
        if 0 < ask.time_left_s < foreseen_s:
            return min(MAX_FORESEEN_S, foreseen_s)
        max_s = MAX_RETURN_S
        if ask.time_left_s > 0:
            max_s = min(max_s, RETURN_FRACTION * ask.time_left_s)
        if foreseen_s <= max_s:
            self._promised_at[key] = foreseen_at + ask.units / rate
        else:
            self._refused += 1
            spread = MIN_SPREAD_FRACTION + (1 - MIN_SPREAD_FRACTION) * (
                self._refused * SPREAD_STEP % 1.0
            )
            foreseen_s = spread * max_s
        self._demand.expect_return(key, now + foreseen_s)
        return foreseen_s
