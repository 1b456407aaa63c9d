"""The leader's buckets of client accounts' quotas."""

from collections.abc import Callable, Collection, Mapping

import msgspec

from tarragonway.core.ids import AccountId, ProcessName
from tarragonway.limits.tokens import UnitBucket
from tarragonway.limits.window import SlidingWindow
from tarragonway.links.messages import (
    GrantHistory,
    QuotaAnswer,
    QuotaAsk,
    QuotaReturn,
)
from tarragonway.routes.model import Account

# A former leader may have granted lately, so what is unknown starts next to empty.
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
# An account is marked as bursting before its bucket is empty, and until it is full
# enough that what it used could have been its rate.
MARK_LEVEL_PART = 0.35
CLEAR_LEVEL_PART = 0.75
# Part of a window's worth that a bursting account may use, and of what is left of the
# bound that it may use while nobody knows what it has used.
BURST_PART = 0.9
BLIND_PART = 0.6
BLIND_WINDOW_S = 0.5
# More unseen gateways than this, and the past counts as unknown.
UNSEEN_PART = 0.5


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

    def compute_worth(self, account: Account) -> float:
        """Return what the account may use in a window."""
        return account.per_s * self.window_s + account.burst

    def compute_burst_limit(self, account: Account) -> float:
        """Return what a bursting account may use in a window."""
        return BURST_PART * self.compute_worth(account)

    def compute_blind_rate(self, account: Account) -> float:
        """Return a rate that keeps the bound if all of a burst was used just now."""
        bound = self.compute_worth(account) + self.compute_tolerance(account)
        left = bound - self.compute_burst_limit(account)
        return BLIND_PART * left / self.window_s

    def compute_tolerance(self, account: Account) -> float:
        """Return by how much the account may exceed its quota in a window."""
        tolerated = self.overrun * self.compute_worth(account)
        return tolerated + (self.slack if account.counts_tokens else 0.0)


class QuotaBook:
    """Buckets by client account since this process leads.

    Parameters
    ----------
    policy : QuotaPolicy
        How the deployment measures quotas.
    read_marked : callable
        Returns the accounts whose mark as bursting is durable. Without a mark an
        account has a bucket, whose bursts the tolerance covers even if nobody knows of
        them; with it, a sliding window.

    Examples
    --------
    >>> book = QuotaBook(QuotaPolicy())
    >>> accounts = {"a": Account("a", (), per_s=10.0, burst=10.0)}
    >>> book.answer(QuotaAsk(1, "a", 7.0), accounts, 0.0).granted
    True
    >>> book.answer(QuotaAsk(2, "a", 7.0), accounts, 0.0)
    QuotaAnswer(sequence=2, granted=False, wait_s=0.65, bursting=False)
    """

    def __init__(
        self,
        policy: QuotaPolicy,
        read_marked: Callable[[], Collection[AccountId]] = tuple,
    ) -> None:
        self._policy = policy
        self._read_marked = read_marked
        self._since: float | None = None
        self._windows: dict[AccountId, SlidingWindow] = {}
        self._blind: dict[AccountId, UnitBucket] = {}
        self.wanted_marks: dict[AccountId, bool] = {}
        self._histories: dict[ProcessName, GrantHistory] = {}
        self._judged = False
        self._buckets: dict[AccountId, UnitBucket] = {}
        self._small: dict[AccountId, UnitBucket] = {}

    def clear(self) -> None:
        """Forget all: another process leads."""
        self._buckets.clear()
        self._small.clear()
        self._windows.clear()
        self._blind.clear()
        self.wanted_marks.clear()
        self._since = None
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
        self._note_start(now)
        self._histories[gateway] = history
        expected = max(known.gateways for known in self._histories.values())
        if self._judged or len(self._histories) < expected:
            return
        self._judged = True
        for account in accounts.values():
            if account.per_s > 0:
                bucket = self._get_bucket(account, now)
                level = self._compute_level(account)
                if account.id in self._read_marked():
                    # What it owes tells how long it is marked.
                    bucket.level = level
                else:
                    bucket.level = max(bucket.level, level)
                self._load_window(account, now)
        unseen = [h for h in self._histories.values() if not self._has_seen(h)]
        if len(unseen) <= UNSEEN_PART * len(self._histories):
            self._since = now - self._policy.window_s

    def _has_seen(self, history: GrantHistory) -> bool:
        return history.seen_s >= self._policy.window_s

    def _load_window(self, account: Account, now: float) -> None:
        """Put into the account's window what gateways were granted.

        A gateway that has not seen the whole window counts with its part of it.
        """
        window = self._get_window(account.id)
        part = self._policy.compute_burst_limit(account) / len(self._histories)
        for history in self._histories.values():
            for age, units in enumerate(history.units.get(account.id, ())):
                window.add(units, now - age)
            if not self._has_seen(history) and account.id in self._read_marked():
                window.add(part, now)

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
        return level

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
        self._note_start(now)
        bucket = self._get_bucket(account, now)
        capacity = self._policy.compute_capacity(account)
        bursting = account.id in self._read_marked()
        if bursting:
            wait_s = self._take_in_burst(account, ask.units, now)
            bucket.spend(0.0 if wait_s else ask.units, account.per_s, capacity, now)
        else:
            wait_s = bucket.take(ask.units, account.per_s, capacity, now)
        if wait_s > 0 and self._take_out_of_turn(account, ask.units, now):
            bucket.level -= ask.units
            wait_s = 0.0
        if not wait_s:
            self._get_window(account.id).add(ask.units, now)
        self._judge_mark(account, bursting, now)
        return QuotaAnswer(ask.sequence, wait_s == 0.0, wait_s, bursting)

    def take_wanted_marks(self) -> dict[AccountId, bool]:
        """Return and clear the marks to be set or ended."""
        marked = self._read_marked()
        wanted, self.wanted_marks = self.wanted_marks, {}
        return {a: mark for a, mark in wanted.items() if mark != (a in marked)}

    def review(self, accounts: Mapping[AccountId, Account], now: float) -> None:
        """Look at the marks of accounts that may have fallen silent."""
        self._note_start(now)
        for name in list(self._read_marked()):
            account = accounts.get(name)
            if account is None or account.per_s <= 0:
                self.wanted_marks[name] = False
                continue
            capacity = self._policy.compute_capacity(account)
            self._get_bucket(account, now).spend(0.0, account.per_s, capacity, now)
            self._judge_mark(account, True, now)

    def _judge_mark(self, account: Account, bursting: bool, now: float) -> None:
        """Ask for a mark before the bucket is empty, and for its end once it is full.

        Where requests are counted, windows are small and buckets suffice.
        """
        level = self._get_bucket(account, now).level
        capacity = self._policy.compute_capacity(account)
        if bursting:
            if self._is_past_known(now) and level >= CLEAR_LEVEL_PART * capacity:
                self.wanted_marks[account.id] = False
            return
        low = level < MARK_LEVEL_PART * capacity
        if low and account.counts_tokens and self._is_past_known(now):
            self.wanted_marks[account.id] = True

    def _take_in_burst(self, account: Account, units: float, now: float) -> float:
        """Take units from the sliding window; return 0, or the seconds to wait."""
        if not self._is_past_known(now):
            rate = self._policy.compute_blind_rate(account)
            blind = self._blind.setdefault(account.id, UnitBucket(0.0, now))
            return blind.take_strictly(units, rate, BLIND_WINDOW_S, now)
        limit = self._policy.compute_burst_limit(account)
        return self._get_window(account.id).compute_wait(limit, now)

    def _note_start(self, now: float) -> None:
        if self._since is None:
            self._since = now

    def _is_past_known(self, now: float) -> bool:
        """Return whether this leader knows all that was granted in the window."""
        return self._since is not None and now - self._since >= self._policy.window_s

    def _get_window(self, account: AccountId) -> SlidingWindow:
        window = self._windows.get(account)
        if window is None:
            window = self._windows[account] = SlidingWindow(self._policy.window_s)
        return window

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
            level = account.per_s * FIRST_FILL_S
            if self._is_past_known(now):
                level = self._policy.compute_capacity(account)
            bucket = UnitBucket(level, now)
            self._buckets[account.id] = bucket
        return bucket

    def give_back(self, message: QuotaReturn, now: float) -> None:
        """Take units back."""
        bucket = self._buckets.get(message.account)
        if bucket is not None:
            bucket.give_back(message.units)
            self._get_window(message.account).add(-message.units, now)
