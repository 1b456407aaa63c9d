"""Token buckets with which the leader enforces the quotas of client accounts.

A bucket bounds what its account is granted. While the demand of an account exceeds its
quota, :mod:`tarragonway.quotas` decides which of its requests get the units.
"""

from collections.abc import Mapping

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.ids import AccountId, ProcessName
from tarragonway.limits.overdraft import OverdraftBucket
from tarragonway.links.messages import (
    GrantHistory,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
)
from tarragonway.node.settings import Bounds
from tarragonway.quotas import (
    DIVISION_INTERVAL_S,
    MAX_DIVISION_AGE_S,
    ClassShares,
    QuotaAsk,
    RequestClass,
)
from tarragonway.routes.model import Account

# A bucket starts with the quota of this time when this process becomes the leader, so
# almost empty, since a former leader may have granted the rest just before.
INITIAL_FILL_S = 0.05
# Fraction of the tolerated overrun that is added to the burst. The rest covers requests
# that overdraw the bucket, and gateways that admit requests without a leader.
BURST_TOLERANCE_FRACTION = 0.5
# A request of at most this fraction of a second's quota is small. It does not wait for
# the refill after a long prompt, which may overdraw the bucket by a second's quota.
SMALL_REQUEST_FRACTION = 0.01
# Fractions of the quota and of the tolerance that small requests may use while the
# bucket is overdrawn.
SMALL_RATE_FRACTION = 0.03
SMALL_TOLERANCE_FRACTION = 0.05
# An account whose bucket holds less than this fraction of its capacity is near its
# quota.
NEAR_QUOTA_FRACTION = 0.5
# Shortest time between two examinations of all accounts for this.
NEAR_QUOTA_INTERVAL_S = 0.1
UNKNOWN_ACCOUNT_RETRY_DELAY_S = 0.2
# A division is logged again once the fraction of a class has changed by this.
LOGGED_CHANGE = 0.25
# Shortest time between two such lines on one account.
LOG_INTERVAL_S = 1.0

_log = structlog.get_logger()


class QuotaPolicy(msgspec.Struct, frozen=True):
    """How a deployment measures quotas.

    In any ``window_s`` seconds a client account may use its rate times the window plus
    its burst. That sum may be exceeded by the fraction ``overrun``, and by ``slack``
    tokens if the account's quota counts tokens.
    """

    window_s: float = 8.0
    overrun: float = 0.0
    slack: float = 0.0

    @classmethod
    def from_bounds(cls, bounds: Bounds) -> "QuotaPolicy":
        """Return the policy that the settings of a process state."""
        return cls(bounds.quota_window_s, bounds.quota_overrun, bounds.quota_slack)

    def compute_capacity(self, account: Account) -> float:
        """Return the bucket's capacity: the units that the account may use at once.

        Examples
        --------
        >>> account = Account("a", (), counts_tokens=True, per_s=10.0, burst=20.0)
        >>> QuotaPolicy(8.0, 0.1, 5.0).compute_capacity(account)
        27.5
        """
        return account.burst + BURST_TOLERANCE_FRACTION * self.compute_tolerance(
            account
        )

    def compute_tolerance(self, account: Account) -> float:
        """Return the units by which the account may exceed its quota in a window."""
        tolerated = self.overrun * (account.per_s * self.window_s + account.burst)
        return tolerated + (self.slack if account.counts_tokens else 0.0)


class QuotaBuckets:
    """Token buckets by client account, which take former leaders' grants into account.

    Parameters
    ----------
    policy : QuotaPolicy
        How the deployment measures quotas.
    counters : Counters, optional
        Receives ``quota.divided.*`` counters by priority and size class.

    Examples
    --------
    >>> buckets = QuotaBuckets(QuotaPolicy())
    >>> accounts = {"a": Account("a", (), per_s=10.0, burst=10.0)}
    >>> buckets.handle_request(QuotaRequest(1, "a", 7.0), accounts, 0.0).granted
    True
    >>> buckets.handle_request(QuotaRequest(2, "a", 7.0), accounts, 0.0)
    QuotaReply(sequence=2, granted=False, wait_s=0.65)
    """

    def __init__(self, policy: QuotaPolicy, counters: Counters | None = None) -> None:
        self._policy = policy
        self._counters = counters or Counters()
        self._histories: dict[ProcessName, GrantHistory] = {}
        self._has_restored_levels = False
        self._leader_since: float | None = None
        self._buckets: dict[AccountId, OverdraftBucket] = {}
        self._small_buckets: dict[AccountId, OverdraftBucket] = {}
        self._classes: dict[AccountId, ClassShares] = {}
        self._logged: dict[AccountId, tuple[dict[RequestClass, float], float]] = {}
        self._near_quota: tuple[AccountId, ...] = ()
        self._examined: tuple[Mapping[AccountId, Account] | None, float] = (None, 0.0)

    def clear(self) -> None:
        """Remove all buckets; called while this process is not the leader."""
        self._buckets.clear()
        self._small_buckets.clear()
        self._classes.clear()
        self._logged.clear()
        self._histories.clear()
        self._has_restored_levels = False
        self._leader_since = None
        self._examined = (None, 0.0)

    def record_history(
        self,
        gateway: ProcessName,
        history: GrantHistory,
        accounts: Mapping[AccountId, Account],
        now: float,
    ) -> None:
        """Record what former leaders granted a gateway.

        Once all gateways have sent their history, each bucket is raised to what its
        account may still use, so that a change of leader limits only accounts that are
        near their quota.
        """
        if self._leader_since is None:
            self._leader_since = now
        self._histories[gateway] = history
        expected = max(grants.gateways for grants in self._histories.values())
        if self._has_restored_levels or len(self._histories) < expected:
            return
        self._has_restored_levels = True
        for account in accounts.values():
            if account.per_s > 0:
                bucket = self._get_bucket(account, now)
                bucket.level = max(bucket.level, self._compute_level(account))

    def _compute_level(self, account: Account) -> float:
        """Return the highest level that keeps all windows with past grants in quota.

        The quota of a window here includes the tolerance that bursts may use.
        """
        capacity = self._policy.compute_capacity(account)
        seconds = int(self._policy.window_s)
        window_units = capacity + account.per_s * seconds
        past_grants = self._sum_past_grants(account, window_units / seconds)
        level = capacity
        for seconds_ago in range(seconds + 1):
            # The latest second is incomplete, so the window includes one second more.
            past_units = sum(past_grants[: seconds_ago + 1])
            future_units = account.per_s * (seconds - seconds_ago)
            level = min(level, window_units - past_units - future_units)
        return max(0.0, level)

    def _sum_past_grants(self, account: Account, max_units: float) -> list[float]:
        """Return the units granted in each of the last seconds, the latest first.

        A second before a gateway's start counts as if ``max_units`` had been granted in
        it, divided by the number of gateways.
        """
        past_grants = [0.0] * (int(self._policy.window_s) + 1)
        for history in self._histories.values():
            grants = history.units.get(account.id, ())
            for age in range(len(past_grants)):
                past_grants[age] += grants[age] if age < len(grants) else 0.0
                if age >= history.uptime_s:
                    past_grants[age] += max_units / len(self._histories)
        return past_grants

    def handle_request(
        self,
        quota_request: QuotaRequest,
        accounts: Mapping[AccountId, Account],
        now: float,
    ) -> QuotaReply:
        """Grant the units if the bucket's level is positive, or return a wait.

        While the account's demand exceeds its quota, the request's class needs room
        too. A small request may be granted even if the bucket is overdrawn.
        """
        account = accounts.get(quota_request.account)
        if account is None:
            # The gateway has a newer or older configuration than this process.
            return QuotaReply(
                quota_request.sequence, False, UNKNOWN_ACCOUNT_RETRY_DELAY_S
            )
        if account.per_s <= 0:
            return QuotaReply(quota_request.sequence, True)
        ask = QuotaAsk(
            quota_request.priority,
            quota_request.units,
            quota_request.time_left_s,
            quota_request.is_repeated,
        )
        classes = self._get_classes(account, now)
        classes.record(ask, now)
        if classes.compute_age(now) >= MAX_DIVISION_AGE_S:
            self._divide(account, classes, now)
        level = self._refill(account, now)
        wait_s = classes.find_wait(ask.request_class, level, account.per_s, now)
        if wait_s <= 0:
            capacity = self._policy.compute_capacity(account)
            bucket = self._get_bucket(account, now)
            wait_s = bucket.take(ask.units, account.per_s, capacity, now)
        if wait_s > 0 and self._take_small(account, ask.units, now):
            self._get_bucket(account, now).level -= ask.units
            wait_s = 0.0
        if classes.is_divided:
            verb = "refused" if wait_s > 0 else "granted"
            priority, size = ask.request_class
            self._counters.increment(f"quota.divided.{verb}.p{priority}.s{size}")
        if wait_s <= 0:
            classes.take(ask.request_class, ask.units)
            return QuotaReply(quota_request.sequence, True)
        wait_s = round(classes.foresee_return(ask, wait_s, account.per_s, now), 3)
        return QuotaReply(quota_request.sequence, False, wait_s)

    def update_divisions(
        self, accounts: Mapping[AccountId, Account], now: float
    ) -> None:
        """Divide the quotas anew whose division is older than its interval."""
        for account_id, classes in self._classes.items():
            account = accounts.get(account_id)
            is_due = classes.compute_age(now) >= DIVISION_INTERVAL_S
            if is_due and account is not None and account.per_s > 0:
                self._divide(account, classes, now)

    def _refill(self, account: Account, now: float) -> float:
        """Return the units in the account's bucket."""
        bucket = self._get_bucket(account, now)
        bucket.refill(account.per_s, self._policy.compute_capacity(account), now)
        return bucket.level

    def _get_classes(self, account: Account, now: float) -> ClassShares:
        classes = self._classes.get(account.id)
        if classes is None:
            classes = self._classes[account.id] = ClassShares(now)
        return classes

    def _divide(self, account: Account, classes: ClassShares, now: float) -> None:
        """Divide the account's quota by its demand, and log a notable change."""
        level = self._refill(account, now)
        capacity = self._policy.compute_capacity(account)
        classes.update(account.per_s, level, capacity, now)
        logged, logged_at = self._logged.get(account.id, ({}, float("-inf")))
        fractions = classes.fractions
        is_notable = bool(logged) != bool(fractions) or any(
            abs(fraction - logged.get(key, 1.0)) > LOGGED_CHANGE
            for key, fraction in fractions.items()
        )
        if is_notable and now - logged_at >= LOG_INTERVAL_S:
            self._logged[account.id] = (fractions, now)
            _log.info(
                "division of a quota changed",
                account=account.id,
                quota_per_s=account.per_s,
                demand_per_s=round(classes.demand_per_s),
                level=round(level),
                fractions={
                    f"p{p}.s{s}": round(f, 2) for (p, s), f in fractions.items()
                },
            )

    def list_near_quota(
        self, accounts: Mapping[AccountId, Account], now: float
    ) -> tuple[AccountId, ...]:
        """Return the limited accounts that have used most of their quota.

        As many gateways ask, the answer may be :data:`NEAR_QUOTA_INTERVAL_S` old.
        """
        examined, examined_at = self._examined
        if examined is not accounts or now - examined_at >= NEAR_QUOTA_INTERVAL_S:
            self._examined = (accounts, now)
            self._near_quota = tuple(
                account.id
                for account in accounts.values()
                if account.per_s > 0 and self._is_near_quota(account, now)
            )
        return self._near_quota

    def _is_near_quota(self, account: Account, now: float) -> bool:
        capacity = self._policy.compute_capacity(account)
        return self._refill(account, now) < NEAR_QUOTA_FRACTION * capacity

    def _take_small(self, account: Account, units: float, now: float) -> bool:
        """Return whether a small request is admitted despite an overdrawn bucket."""
        if not account.counts_tokens or units > account.per_s * SMALL_REQUEST_FRACTION:
            return False
        max_units = SMALL_TOLERANCE_FRACTION * self._policy.compute_tolerance(account)
        small = self._small_buckets.setdefault(
            account.id, OverdraftBucket(max_units, now)
        )
        return (
            small.take(units, account.per_s * SMALL_RATE_FRACTION, max_units, now)
            == 0.0
        )

    def _get_bucket(self, account: Account, now: float) -> OverdraftBucket:
        bucket = self._buckets.get(account.id)
        if bucket is None:
            # The account has used nothing since this process became the leader.
            since = now if self._leader_since is None else self._leader_since
            bucket = OverdraftBucket(account.per_s * INITIAL_FILL_S, since)
            self._buckets[account.id] = bucket
        return bucket

    def return_units(self, message: QuotaReturn) -> None:
        """Return the units of a request that did not run to the bucket."""
        bucket = self._buckets.get(message.account)
        if bucket is not None:
            bucket.refund(message.units)
