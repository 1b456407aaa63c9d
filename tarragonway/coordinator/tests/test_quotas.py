import collections
import random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tarragonway.coordinator.quotas import QuotaBuckets, QuotaPolicy
from tarragonway.gateway.quota import LeaderlessBucket
from tarragonway.links.messages import GrantHistory, QuotaRequest
from tarragonway.routes import Account

WINDOW_S = 8.0
OVERRUN = 0.1
SLACK = 140_000.0
STEP_S = 0.02
LENGTH_S = 24.0
SIZES = (200, 900, 2400, 2400, 5000, 12000)


def simulate(rate, gateways, changes, seed):  # noqa: C901
    """Saturate one client account across changes of leader.

    Returns the most units admitted in any window.
    """
    source = random.Random(seed)
    account = Account("a", (), counts_tokens=True, per_s=rate, burst=rate)
    policy = QuotaPolicy(WINDOW_S, OVERRUN, SLACK)
    buckets = [LeaderlessBucket(source) for _ in range(gateways)]
    quota_buckets = QuotaBuckets(policy)
    window = collections.deque()
    total = max_window_units = 0.0
    # The first request lies a minute before the others, so the bucket is full.
    quota_buckets.handle_request(QuotaRequest(0, "a", 0.0), {"a": account}, -60.0)
    was_without_leader = False
    is_near_quota = False
    for step in range(int(LENGTH_S / STEP_S)):
        now = step * STEP_S
        without_leader = any(at <= now < at + length for at, length in changes)
        if without_leader:
            quota_buckets.clear()
        elif was_without_leader:
            for number, bucket in enumerate(buckets):
                units = {"a": bucket.list_grants(now)}
                history = GrantHistory(units, now + 60.0, gateways)
                quota_buckets.record_history(str(number), history, {"a": account}, now)
        was_without_leader = without_leader
        for _ in range(max(1, int(3 * rate * STEP_S / 4000))):
            units = float(source.choice(SIZES))
            bucket = source.choice(buckets)
            if without_leader:
                wait_s = bucket.take(units, rate, gateways, is_near_quota, now)
                admitted = wait_s == 0.0
                if admitted:
                    bucket.record_grant(units, now)
            else:
                quota_request = QuotaRequest(0, "a", units)
                admitted = quota_buckets.handle_request(
                    quota_request, {"a": account}, now
                ).granted
                if admitted:
                    bucket.record_grant(units, now)
                near = quota_buckets.list_near_quota({"a": account}, now)
                is_near_quota = bool(near)
            if admitted:
                window.append((now, units))
                total += units
        while window and window[0][0] <= now - WINDOW_S:
            total -= window.popleft()[1]
        max_window_units = max(max_window_units, total)
    return max_window_units


@settings(max_examples=100, deadline=None)
@given(
    rate=st.sampled_from([36_000.0, 100_000.0, 450_000.0, 900_000.0]),
    gateways=st.sampled_from([8, 64]),
    first=st.floats(1.0, 10.0),
    length=st.floats(0.2, 1.5),
    pause=st.floats(1.5, 6.0),
    seed=st.integers(0, 10**6),
)
# Exceeds the bound if a tenth of the tolerance is added to the refill.
@example(rate=36_000.0, gateways=64, first=1.5, length=1.5, pause=1.5, seed=43805)
def test_saturated_account_stays_within_quota_over_changes_of_leader(
    rate, gateways, first, length, pause, seed
):
    bound = (rate * WINDOW_S + rate) * (1 + OVERRUN) + SLACK
    changes = [(first, length), (first + length + pause, length)]
    assert simulate(rate, gateways, changes, seed) <= bound


# Seed 43805 exceeds the bound if a tenth of the tolerance is added to the refill. With
# the others, many gateways without a leader admitted a request beyond their part.
@pytest.mark.parametrize("seed", [43805, 134, 507211, 194170])
def test_account_with_many_gateways_stays_within_quota_for_known_seeds(seed):
    rate, length = 36_000.0, 1.5
    bound = (rate * WINDOW_S + rate) * (1 + OVERRUN) + SLACK
    changes = [(1.5, length), (4.5, length)]
    assert simulate(rate, 64, changes, seed) <= bound


def test_saturated_account_gets_its_whole_quota():
    rate = 100_000.0
    assert simulate(rate, 8, [], 1) >= rate * WINDOW_S + rate


def count_granted(used, uptime_s, reporting=4):
    account = Account("a", (), counts_tokens=True, per_s=1000.0, burst=1000.0)
    quota_buckets = QuotaBuckets(QuotaPolicy(WINDOW_S, OVERRUN, 0.0))
    for number in range(reporting):
        history = GrantHistory({"a": (used / 32,) * 8}, uptime_s, 4)
        quota_buckets.record_history(f"g{number}", history, {"a": account}, 0.0)
    answers = [
        quota_buckets.handle_request(QuotaRequest(n, "a", 100.0), {"a": account}, 0.0)
        for n in range(9)
    ]
    return sum(answer.granted for answer in answers)


def test_quiet_account_is_not_limited_by_a_change_of_leader():
    assert count_granted(used=4000.0, uptime_s=60.0) == 9


def test_account_that_used_its_burst_starts_with_an_empty_bucket():
    assert count_granted(used=8000.0 + 1450.0, uptime_s=60.0) == 1


def test_quota_without_a_history_counts_as_used():
    assert count_granted(used=0.0, uptime_s=0.0) == 1
    assert count_granted(used=0.0, uptime_s=60.0, reporting=3) == 1


def test_small_requests_do_not_wait_for_the_refill_after_a_long_prompt():
    """A long prompt overdraws the bucket of a client account that sends both kinds.

    Without the exception for small requests, a booking of 200 tokens would wait for
    the refill after a digest of 40,000 tokens.
    """
    account = Account("a", (), counts_tokens=True, per_s=36_000.0, burst=36_000.0)
    quota_buckets = QuotaBuckets(QuotaPolicy(WINDOW_S, OVERRUN, SLACK))

    def ask(units, now):
        return quota_buckets.handle_request(
            QuotaRequest(0, "a", units), {"a": account}, now
        ).granted

    ask(0.0, -60.0)
    while ask(40_000.0, 0.0):
        pass
    ask(200.0, 0.0)
    granted = [ask(200.0, 0.1 + 0.02 * n) for n in range(10)]
    assert all(granted)
    assert not ask(2400.0, 0.3)


def test_small_requests_alone_stay_within_the_quota():
    account = Account("a", (), counts_tokens=True, per_s=36_000.0, burst=36_000.0)
    quota_buckets = QuotaBuckets(QuotaPolicy(WINDOW_S, OVERRUN, SLACK))
    quota_buckets.handle_request(QuotaRequest(0, "a", 0.0), {"a": account}, -60.0)
    granted = 0.0
    for step in range(int(WINDOW_S * 2000)):
        quota_request = QuotaRequest(0, "a", 200.0)
        if quota_buckets.handle_request(
            quota_request, {"a": account}, step / 2000
        ).granted:
            granted += 200.0
    assert granted <= (36_000.0 * (WINDOW_S + 1)) * (1 + OVERRUN) + SLACK


def test_buckets_have_filled_before_the_first_requests_of_a_deployment():
    """The pattern is the start of a day, seconds after the processes have started.

    All gateways report that they have just started, so what they were granted before
    is not known. Nothing was granted since.
    """
    account = Account("a", (), counts_tokens=True, per_s=85_000.0, burst=85_000.0)
    quota_buckets = QuotaBuckets(QuotaPolicy(WINDOW_S, OVERRUN, SLACK))
    for number in range(4):
        history = GrantHistory({}, 0.3, 4)
        quota_buckets.record_history(f"g{number}", history, {"a": account}, 0.0)
    granted = sum(
        quota_buckets.handle_request(
            QuotaRequest(n, "a", 12_000.0), {"a": account}, WINDOW_S + n / 100
        ).granted
        for n in range(10)
    )
    assert granted == 10


class CountingAccounts(dict):
    """Client accounts that count how often all of them are read."""

    reads = 0

    def values(self):
        self.reads += 1
        return super().values()


# Guards against a leader that is busy with the quotas of all accounts for each of many
# gateways' reports.
def test_accounts_are_not_examined_for_each_report():
    accounts = CountingAccounts(a=Account("a", (), per_s=10.0, burst=10.0))
    quota_buckets = QuotaBuckets(QuotaPolicy())
    quota_buckets.handle_request(QuotaRequest(0, "a", 0.0), accounts, -60.0)
    for report in range(800):
        assert not quota_buckets.list_near_quota(accounts, report / 800)
    assert accounts.reads <= 11
    quota_buckets.handle_request(QuotaRequest(0, "a", 9.0), accounts, 1.0)
    assert quota_buckets.list_near_quota(accounts, 1.2) == ("a",)
    assert not quota_buckets.list_near_quota({}, 1.2)
