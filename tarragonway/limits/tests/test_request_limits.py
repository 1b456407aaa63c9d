"""Load pattern: many gateways send to endpoints that state how much they take."""

import collections
import heapq
import itertools
import random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tarragonway.limits.request_limits import (
    MAX_LIMITED,
    MAX_PROMISE_S,
    MAX_SILENCE_S,
    LeaderlessPermits,
    Permit,
    PermitDenied,
    RequestLimits,
    UnreadableLimit,
    parse_limit,
)

# The users' bound: in any window, one and a half times what the limit allows, and five
# requests, from ``contact_ms`` after the first statement on.
WINDOW_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
CONTACT_S = 3.0
KNOWN_FOR_S = 0.5
REPORT_INTERVAL_S = 0.25
ANSWER_S = 0.1
END_S = 20.0
LIMITED_FROM_S = 2.0


class SimulatedGateways:
    """Gateways that send requests to one limited endpoint, on virtual time."""

    def __init__(self, seed, gateways, limit, rate, delay_s, leader_gaps, restarts):
        self.random = random.Random(seed)
        self.limit = limit
        self.delay_s = delay_s
        self.gaps = [(at, at + length) for at, length in leader_gaps]
        self.leader = RequestLimits()
        self.told_at = [None] * gateways
        self.knows = [False] * gateways
        self.blocked_until = [0.0] * gateways
        self.permits = [LeaderlessPermits(self.random) for _ in range(gateways)]
        self.arrivals = []
        self.now, self.queue, self.order = 0.0, [], itertools.count()
        for number in range(gateways):
            self.at(self.random.expovariate(rate / gateways), self.send, number)
            self.at(self.random.random() * REPORT_INTERVAL_S, self.report, number)
        for _, end in self.gaps:
            self.at(end, self.elect)
        for at in restarts:
            self.at(at, self.restart, self.random.randrange(gateways))
        self.rate = rate / gateways

    def run(self):
        while self.queue[0][0] < END_S:
            self.now, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        return self

    def at(self, time, call, *arguments):
        heapq.heappush(self.queue, (time, next(self.order), call, arguments))

    def later(self, call, *arguments):
        delay_s = self.random.uniform(0.0005, self.delay_s)
        self.at(self.now + delay_s, call, *arguments)

    def has_leader(self):
        return not any(start <= self.now < end for start, end in self.gaps)

    def send(self, number):
        self.at(self.now + self.random.expovariate(self.rate), self.send, number)
        if not self.knows[number]:
            self.arrive(number)
        elif not self.has_leader():
            permits = self.permits[number]
            if permits.take("e", self.limit, len(self.knows), self.now):
                self.later(self.arrive, number)
        elif self.now >= self.blocked_until[number]:
            self.later(self.ask, number)

    def ask(self, number):
        if not self.has_leader():
            return
        match self.leader.request_permit({"e": self.limit}, self.now):
            case Permit():
                self.later(self.later, self.arrive, number)
            case PermitDenied(waits_s):
                self.blocked_until[number] = self.now + waits_s["e"]

    def arrive(self, number):
        told_at = self.told_at[number]
        is_counted = told_at is not None and self.now - told_at >= KNOWN_FOR_S
        self.arrivals.append((self.now, is_counted))
        if self.now >= LIMITED_FROM_S:
            self.at(self.now + ANSWER_S, self.answer, number)

    def answer(self, number):
        self.knows[number] = True
        if self.told_at[number] is None:
            self.told_at[number] = self.now
        if self.has_leader():
            self.later(self.leader.record_statement, "e", self.limit, 0.0, self.now)

    def report(self, number):
        self.at(self.now + REPORT_INTERVAL_S, self.report, number)
        if self.has_leader() and self.leader.stated:
            self.knows[number] = True

    def elect(self):
        self.leader = RequestLimits()

    def restart(self, number):
        self.knows[number], self.told_at[number] = False, None
        self.blocked_until[number] = 0.0

    def count_most(self):
        start = LIMITED_FROM_S + CONTACT_S
        window, most = collections.deque(), 0
        for at in sorted(at for at, counted in self.arrivals if counted):
            if at < start:
                continue
            window.append(at)
            while window[0] <= at - WINDOW_S:
                window.popleft()
            most = max(most, len(window))
        return most


# Guards against gateways that together exceed the limit that an endpoint states.
@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10**6),
    gateways=st.sampled_from([1, 2, 8, 64, 200]),
    limit=st.sampled_from([0.0, 0.2, 1.0, 1.6, 8.0, 60.0]),
    load=st.floats(0.5, 30.0),
    delay_s=st.floats(0.001, 0.2),
    leader_gaps=st.lists(
        st.tuples(st.floats(0.5, 18.0), st.floats(0.1, 4.0)), max_size=3
    ),
    restarts=st.lists(st.floats(3.0, 18.0), max_size=4),
)
@example(1, 200, 1.0, 30.0, 0.005, [], [])
def test_gateways_together_stay_within_a_stated_limit(
    seed, gateways, limit, load, delay_s, leader_gaps, restarts
):
    rate = max(1.0, limit) * load
    fleet = SimulatedGateways(
        seed, gateways, limit, rate, delay_s, leader_gaps, restarts
    ).run()
    allowed = TOLERATED_FACTOR * limit * WINDOW_S + TOLERATED_REQUESTS
    assert fleet.count_most() <= allowed


def test_limit_is_used_to_the_full_while_there_is_demand():
    fleet = SimulatedGateways(1, 200, 4.0, 120.0, 0.005, [], []).run()
    counted = [at for at, _ in fleet.arrivals if 6.0 <= at < END_S]
    assert len(counted) >= 0.9 * 4.0 * (END_S - 6.0)


def test_limit_ends_with_an_answer_to_a_later_request_only():
    limits = RequestLimits()
    limits.record_statement("e", 2.0, 0.0, now=10.0)
    limits.record_statement("e", None, 1.5, now=11.0)
    assert limits.stated == {"e": 2.0}
    limits.record_statement("e", None, 0.2, now=11.0)
    assert limits.stated == {}
    # A gateway that has not heard of the end yet is not limited by it any more.
    assert limits.request_permit({"e": 2.0}, 11.1) == Permit("e")
    limits.record_statement("e", 2.0, 0.6, now=11.2)
    assert limits.stated == {}
    limits.record_statement("e", 2.0, 0.0, now=11.3)
    assert limits.stated == {"e": 2.0}


def test_changed_limit_is_in_force_at_once():
    limits = RequestLimits()
    limits.record_statement("e", 1.0, 0.0, now=0.0)
    limits.record_statement("e", 5.0, 0.0, now=1.0)
    granted = [limits.request_permit({"e": 1.0}, 1.0 + n / 100) for n in range(300)]
    assert 14 <= sum(isinstance(reply, Permit) for reply in granted) <= 19


def test_endpoint_that_takes_nothing_is_asked_now_and_then():
    limits = RequestLimits()
    limits.record_statement("e", 0.0, 0.0, now=0.0)
    steps = int(10 * MAX_SILENCE_S)
    replies = [limits.request_permit({"e": 0.0}, n) for n in range(steps)]
    assert 8 <= sum(isinstance(reply, Permit) for reply in replies) <= 11


def test_denied_callers_are_told_different_times():
    limits = RequestLimits()
    limits.record_statement("e", 2.0, 0.0, now=0.0)
    times = [limits.request_permit({"e": 2.0}, 0.0).return_s for _ in range(30)]
    assert times[:4] == [0.5, 1.0, 1.5, 2.0]
    assert max(times) == MAX_PROMISE_S


def test_new_leader_learns_limits_from_the_requests_for_permits():
    limits = RequestLimits()
    assert isinstance(limits.request_permit({"e": 2.0}, 5.0), PermitDenied)
    assert limits.stated == {"e": 2.0}


def test_limit_belongs_to_one_incarnation_and_leaves_with_it():
    limits = RequestLimits()
    limits.record_statement("e@1", 1.0, 0.0, now=0.0)
    version = limits.version
    limits.retain(["e@2"])
    assert limits.stated == {}
    assert limits.version > version


def test_number_of_limits_is_bounded():
    limits = RequestLimits()
    for number in range(MAX_LIMITED + 10):
        limits.record_statement(f"e{number}", 1.0, 0.0, now=0.0)
    assert len(limits.stated) == MAX_LIMITED


@pytest.mark.parametrize(
    ("texts", "limit"),
    [
        ((), None),
        (("1.5",), 1.5),
        (("0",), 0.0),
        ((" 2 ",), 2.0),
        (("1e300",), 1e300),
        (("3", "2"), 2.0),
        (("3", ""), 3.0),
        (("",), UnreadableLimit(("",))),
        (("-1",), UnreadableLimit(("-1",))),
        (("nan",), UnreadableLimit(("nan",))),
        (("inf",), UnreadableLimit(("inf",))),
        (("many",), UnreadableLimit(("many",))),
    ],
)
def test_stated_texts_are_read_or_rejected(texts, limit):
    assert parse_limit(texts) == limit
