"""What gateways count of rollouts, and report to the leader."""

import math

import msgspec
import pytest

from tarragonway.rollouts import RolloutState, VersionCounts
from tarragonway.rollouts.send_counts import SendResult
from tarragonway.rollouts.tests.test_traffic import (
    RESUME_S,
    ROWS,
    make_rollout,
    make_traffic,
    reply,
    set_rollout,
)
from tarragonway.rollouts.traffic import RolloutTraffic


def send(traffic, row, result, taken_ms=100.0, *, first_ms=None, is_sent=True,
         is_active=True, route="r"):  # fmt: skip
    started = traffic.start_send(row, route)
    if is_sent:
        traffic.record_sent(started)
    started.first_ms = first_ms
    traffic.end_send(started, result, taken_ms, is_active)


def count(traffic):
    """Return the counts of both sides of the only route, and the sum of logarithms."""
    (counts,) = traffic.make_report(ROWS, 0, True, 0.0)
    (route,) = counts.routes.values()
    return route.old, route.new


OLD, NEW = ROWS[0], ROWS[-1]
LOG_100 = round(math.log(100), 3)
LOG_300 = round(math.log(300), 3)


@pytest.mark.parametrize(
    ("result", "arguments", "expected"),
    [
        (SendResult.ANSWERED, {}, (1, 1, 0, 0, LOG_100)),
        (SendResult.ANSWERED, {"taken_ms": 300.0}, (1, 1, 0, 1, LOG_300)),
        # Of a stream, the time until its first event counts.
        (
            SendResult.STREAMED,
            {"taken_ms": 9e3, "first_ms": 100.0},
            (1, 1, 0, 0, LOG_100),
        ),
        (
            SendResult.STREAMED,
            {"taken_ms": 9e3, "first_ms": 300.0},
            (1, 1, 0, 1, LOG_300),
        ),
        (SendResult.FAILED, {"taken_ms": 300.0}, (1, 1, 1, 0, 0.0)),
        (SendResult.NO_EVIDENCE, {}, (1, 0, 0, 0, 0.0)),
        (SendResult.CALLER_LEFT, {}, (1, 0, 0, 0, 0.0)),
        (
            SendResult.CALLER_LEFT,
            {"taken_ms": 300.0, "first_ms": 100.0},
            (1, 0, 0, 0, 0.0),
        ),
        # A version that hangs must not pass since its callers leave first.
        (SendResult.CALLER_LEFT, {"taken_ms": 300.0}, (1, 1, 0, 1, LOG_300)),
    ],
)
# Guards against evidence that differs between the sides, or is lost on one of them.
def test_sends_count_on_their_side(result, arguments, expected):
    for row, other in ((OLD, 1), (NEW, 0)):
        traffic = make_traffic(0.5, slow_ms={"r": 200.0})
        send(traffic, row, result, **arguments)
        sides = count(traffic)
        assert sides[1 - other] == VersionCounts(*expected)
        assert sides[other] == VersionCounts()


# Guards against a reclaimed or overloaded endpoint that counts as a bad version, and
# against a version that passes since it never takes a connection.
def test_endpoint_without_connection_fails_if_new_and_in_service():
    traffic = make_traffic(0.5)
    send(traffic, NEW, SendResult.UNREACHED, is_sent=False)
    assert count(traffic)[1] == VersionCounts(1, 1, 1)
    send(traffic, NEW, SendResult.UNREACHED, is_sent=False, is_active=False)
    send(traffic, OLD, SendResult.UNREACHED, is_sent=False)
    assert count(traffic) == (VersionCounts(), VersionCounts(1, 1, 1))


# Guards against a version that is rolled back for the cold start of its endpoints.
def test_answers_in_a_cold_start_are_not_slow():
    traffic = make_traffic(0.5, slow_ms={"r": 200.0})
    cold = msgspec.structs.replace(NEW, cold_s=3.0)
    send(traffic, cold, SendResult.ANSWERED, 300.0)
    assert count(traffic)[1].slow == 0


# Guards against a rollout that completes while requests which began before the order
# still run at old endpoints.
def test_requests_from_before_the_order_are_in_flight():
    traffic = RolloutTraffic(RESUME_S)
    before = traffic.start_send(OLD, "r")
    set_rollout(traffic, 1, make_rollout())
    traffic.start_send(NEW, "r")
    (counts,) = traffic.make_report(ROWS, 0, True, 0.0)
    assert counts.old_in_flight == 1
    traffic.end_send(before, SendResult.ANSWERED, 1.0, True)
    (counts,) = traffic.make_report(ROWS, 0, True, 0.0)
    assert counts.old_in_flight == 0
    assert counts.routes == {}


# Guards against counts of a former rollout that count for the next one.
def test_counts_begin_again_with_each_order():
    traffic = make_traffic(0.5)
    late = traffic.start_send(NEW, "r")
    traffic.record_sent(late)
    set_rollout(traffic, 2, make_rollout(state=RolloutState.ROLLED_BACK))
    assert traffic.make_report(ROWS, 0, True, 0.0) == ()
    set_rollout(traffic, 3, make_rollout(number=2))
    traffic.end_send(late, SendResult.FAILED, 1.0, True)
    (counts,) = traffic.make_report(ROWS, 0, True, 0.0)
    assert (counts.number, counts.routes) == (2, {})


# Guards against a leader that waits half a second more, or completes a rollout although
# a request has begun at an old endpoint.
def test_what_completion_waits_for_is_reported_at_once():
    traffic = make_traffic(0.5)
    running = traffic.start_send(OLD, "r")
    assert traffic.make_report(ROWS, 2, False, 0.0)
    assert traffic.make_report(ROWS, 3, False, 0.0) == ()
    reply(traffic, 1.0, now=0.1)
    assert traffic.make_report(ROWS, 5, False, 0.1)[0].share == 1.0
    assert traffic.make_report(ROWS, 7, False, 0.1) == ()
    traffic.end_send(running, SendResult.ANSWERED, 1.0, True)
    assert traffic.make_report(ROWS, 9, False, 0.1)[0].old_in_flight == 0
    traffic.start_send(OLD, "r")
    assert traffic.make_report(ROWS, 11, False, 0.1)[0].old_in_flight == 1
    assert traffic.make_report(ROWS, 13, False, 0.1) == ()
    assert traffic.make_report(ROWS, 15, True, 0.1)


# Guards against reports that take over 1 KB/s of each gateway.
def test_counts_are_small():
    traffic = make_traffic(0.5, slow_ms={})
    for route in ("long-streams", "short-streams", "calls-once", "calls-safe"):
        for row in (OLD, NEW):
            for result in (SendResult.ANSWERED, SendResult.FAILED):
                for _ in range(200):
                    send(traffic, row, result, route=route)
    sizes = [
        len(msgspec.msgpack.encode(traffic.make_report(ROWS, n, False, 0.0)))
        for n in range(4)
    ]
    assert sum(sizes) < 4 * 250
    assert max(sizes) < 500
