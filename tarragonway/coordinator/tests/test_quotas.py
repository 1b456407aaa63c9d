import collections
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.coordinator.quotas import QuotaBook, QuotaPolicy
from tarragonway.gateway.quota import LoneShare
from tarragonway.links.messages import GrantHistory, QuotaAsk
from tarragonway.routes import Account

WINDOW_S = 8.0
OVERRUN = 0.1
SLACK = 140_000.0
STEP_S = 0.02
LENGTH_S = 24.0
SIZES = (200, 900, 2400, 2400, 5000, 12000)


class Cluster:
    """A leader's book, gateways' shares, and marks that outlive both."""

    def __init__(self, rate, gateways):
        self.account = Account("a", (), counts_tokens=True, per_s=rate, burst=rate)
        self.accounts = {"a": self.account}
        self.marked = set()
        policy = QuotaPolicy(WINDOW_S, OVERRUN, SLACK)
        self.book = QuotaBook(policy, lambda: self.marked)
        self.started = [-60.0] * gateways
        self.shares = [LoneShare() for _ in self.started]
        # Before the saturation the account is quiet, so that its bucket is full.
        self.book.answer(QuotaAsk(0, "a", 0.0), self.accounts, -60.0)

    def kill_all(self, now):
        self.book.clear()
        self.started = [now] * len(self.started)
        self.shares = [LoneShare() for _ in self.started]

    def elect(self, now):
        self.book.clear()
        for number, share in enumerate(self.shares):
            units = {"a": share.list_granted(now)}
            seen_s = now - self.started[number]
            history = GrantHistory(units, seen_s, len(self.shares))
            self.book.take_history(str(number), history, self.accounts, now)

    def keep_marks(self, now):
        self.book.review(self.accounts, now)
        for account, bursting in self.book.take_wanted_marks().items():
            (self.marked.add if bursting else self.marked.discard)(account)

    def ask(self, share, units, led, now):
        """Ask by way of one gateway; return whether the request may be sent."""
        if not led:
            rate, gateways = self.account.per_s, len(self.shares)
            granted = share.take(units, rate, gateways, now) == 0.0
        else:
            ask = QuotaAsk(0, "a", units)
            answer = self.book.answer(ask, self.accounts, now)
            granted = answer.granted
            if answer.bursting:
                share.note_bursting(now)
        if granted:
            share.note_granted(units, now)
        return granted


def play(rate, gateways, changes, seed, kills=(), pauses=()):
    """Saturate one account while leaders change; return the fullest window."""
    source = random.Random(seed)
    cluster = Cluster(rate, gateways)
    window = collections.deque()
    total = fullest = 0.0
    led_before = True
    for step in range(int(LENGTH_S / STEP_S)):
        now = step * STEP_S
        killed = any(at <= now < at + length for at, length in kills)
        led = not killed and not any(at <= now < at + n for at, n in changes)
        if killed:
            cluster.kill_all(now)
        elif led and not led_before:
            cluster.elect(now)
        led_before = led
        if led:
            cluster.keep_marks(now)
        quiet = killed or any(at <= now < at + n for at, n in pauses)
        for _ in range(0 if quiet else max(1, int(3 * rate * STEP_S / 4000))):
            units = float(source.choice(SIZES))
            if cluster.ask(source.choice(cluster.shares), units, led, now):
                window.append((now, units))
                total += units
        while window and window[0][0] <= now - WINDOW_S:
            total -= window.popleft()[1]
        fullest = max(fullest, total)
    return fullest


def compute_bound(rate):
    return (rate * WINDOW_S + rate) * (1 + OVERRUN) + SLACK


@settings(max_examples=100, deadline=None)
@given(
    rate=st.sampled_from([36_000.0, 100_000.0, 450_000.0, 900_000.0]),
    gateways=st.sampled_from([8, 64]),
    first=st.floats(1.0, 10.0),
    length=st.floats(0.2, 1.5),
    pause=st.floats(1.5, 6.0),
    seed=st.integers(0, 10**6),
)
def test_hot_account_stays_within_the_bound_over_changes_of_leader(
    rate, gateways, first, length, pause, seed
):
    bound = compute_bound(rate)
    changes = [(first, length), (first + length + pause, length)]
    assert play(rate, gateways, changes, seed) <= bound


@settings(max_examples=100, deadline=None)
@given(
    rate=st.sampled_from([36_000.0, 100_000.0, 450_000.0, 900_000.0]),
    gateways=st.sampled_from([8, 64]),
    kill=st.floats(0.5, 16.0),
    length=st.floats(0.2, 1.5),
    change=st.floats(0.5, 16.0),
    pause=st.floats(0.0, 14.0),
    seed=st.integers(0, 10**6),
)
def test_hot_account_stays_within_the_bound_when_all_processes_are_killed(
    rate, gateways, kill, length, change, pause, seed
):
    """Nobody knows then what a bursting account has used, but for its mark."""
    kills, changes, pauses = [(kill, length)], [(change, length)], [(pause, 3.0)]
    assert play(rate, gateways, changes, seed, kills, pauses) <= compute_bound(rate)


def test_hot_account_may_use_its_windows_worth_at_once():
    """An account that sends several times its usual is within its quota for seconds."""
    rate = 100_000.0
    cluster = Cluster(rate, 8)
    cluster.book.answer(QuotaAsk(0, "a", 0.0), cluster.accounts, -9.0)
    granted = 0.0
    for step in range(100):
        now = step * STEP_S
        cluster.keep_marks(now)
        for _ in range(4):
            if cluster.ask(cluster.shares[step % 8], 2400.0, True, now):
                granted += 2400.0
    assert granted >= 0.85 * (rate * WINDOW_S + rate)


def test_first_request_of_a_quiet_deployment_marks_nobody():
    """The leader knows that nothing was granted, and a mark would cost after a kill."""
    account = Account("a", (), counts_tokens=True, per_s=36_000.0, burst=36_000.0)
    book = QuotaBook(QuotaPolicy(WINDOW_S, OVERRUN, SLACK))
    book.review({"a": account}, 0.0)
    assert book.answer(QuotaAsk(0, "a", 12_000.0), {"a": account}, 9.0).granted
    assert not book.take_wanted_marks()


def test_hot_account_gets_what_it_is_allowed():
    rate = 100_000.0
    assert play(rate, 8, [], 1) >= rate * WINDOW_S + rate


def make_book(used, seen_s, told=4):
    account = Account("a", (), counts_tokens=True, per_s=1000.0, burst=1000.0)
    book = QuotaBook(QuotaPolicy(WINDOW_S, OVERRUN, 0.0))
    for number in range(told):
        history = GrantHistory({"a": (used / 32,) * 8}, seen_s, 4)
        book.take_history(f"g{number}", history, {"a": account}, 0.0)
    answers = [
        book.answer(QuotaAsk(n, "a", 100.0), {"a": account}, 0.0) for n in range(9)
    ]
    return sum(answer.granted for answer in answers)


def test_quiet_account_does_not_feel_a_change_of_leader():
    assert make_book(used=4000.0, seen_s=60.0) == 9


def test_account_that_used_its_burst_starts_with_an_empty_bucket():
    assert make_book(used=8000.0 + 1450.0, seen_s=60.0) == 1


def test_what_nobody_has_seen_counts_as_used():
    assert make_book(used=0.0, seen_s=0.0) == 1
    assert make_book(used=0.0, seen_s=60.0, told=3) == 1


def test_small_requests_do_not_wait_for_a_long_prompt_to_be_paid_off():
    """A booking counts 200 tokens and a digest 40,000, of one client account."""
    account = Account("a", (), counts_tokens=True, per_s=36_000.0, burst=36_000.0)
    book = QuotaBook(QuotaPolicy(WINDOW_S, OVERRUN, SLACK))

    def ask(units, now):
        return book.answer(QuotaAsk(0, "a", units), {"a": account}, now).granted

    ask(0.0, -60.0)
    while ask(40_000.0, 0.0):
        pass
    ask(200.0, 0.0)
    granted = [ask(200.0, 0.1 + 0.02 * n) for n in range(10)]
    assert all(granted)
    assert not ask(2400.0, 0.3)


def test_small_requests_alone_stay_within_the_quota():
    account = Account("a", (), counts_tokens=True, per_s=36_000.0, burst=36_000.0)
    book = QuotaBook(QuotaPolicy(WINDOW_S, OVERRUN, SLACK))
    book.answer(QuotaAsk(0, "a", 0.0), {"a": account}, -60.0)
    granted = 0.0
    for step in range(int(WINDOW_S * 2000)):
        ask = QuotaAsk(0, "a", 200.0)
        if book.answer(ask, {"a": account}, step / 2000).granted:
            granted += 200.0
    assert granted <= (36_000.0 * (WINDOW_S + 1)) * (1 + OVERRUN) + SLACK
