"""Which endpoints requests are sent to during rollouts."""

import random

import msgspec
import pytest

from tarragonway.core.counters import Counters
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutOrders,
    RolloutShare,
    RolloutState,
)
from tarragonway.rollouts.send_counts import SendResult
from tarragonway.rollouts.traffic import SHARE_HOLD_S, RolloutTraffic, RoutedRequest

RESUME_S = 2.5


def make_rows(version, count, start=0, service="s"):
    return [
        ListedEndpoint(
            f"{version}-{n}", f"{version}-{n}", service, "127.0.0.1:1", "a", 4, False,
            version=version,
        )
        for n in range(start, start + count)
    ]  # fmt: skip


ROWS = make_rows("v1", 6) + make_rows("v2", 6)


def make_rollout(
    number=1,
    version="v2",
    state=RolloutState.IN_PROGRESS,
    replaced=(),
    ended_s=0.0,
    excluded=(),
):
    order = RolloutOrder("s", version, 12.0)
    return Rollout(number, order, 0.0, state, ended_s, replaced, excluded)


def make_traffic(share=None, fraction=1.0, seed=1, slow_ms=None):
    """Return a gateway's traffic while a rollout to v2 is in progress."""
    traffic = RolloutTraffic(RESUME_S, Counters(), random.Random(seed))
    set_rollout(traffic, 1, make_rollout())
    if share is not None:
        reply(traffic, share, fraction, slow_ms=slow_ms)
    return traffic


def set_rollout(traffic, revision, rollout, now=0.0, clock_s=0.0):
    return traffic.set_orders(RolloutOrders(revision, (rollout,)), now, clock_s)


def reply(traffic, share, fraction=1.0, now=0.0, number=1, slow_ms=None):
    shares = (RolloutShare(number, share, fraction, slow_ms or {}),)
    traffic.set_shares(shares, now)


def list_versions(traffic, *, tried=(), resumed=None, now=0.0, rows=ROWS, route="r"):
    request = RoutedRequest("s", route, set(tried))
    allowed = traffic.list_allowed(rows, request, resumed, now)
    if resumed is not None:
        allowed = [row for row in allowed if row.version == resumed]
    return sorted({row.version for row in allowed})


def make_leaving(rows, version):
    return [
        msgspec.structs.replace(row, leaving=row.version == version) for row in rows
    ]


# Guards against a small share that rounds to nothing at each of many small gateways, or
# that they all send at once, or that a busy route takes from a quiet one.
def test_share_is_met_on_each_route_over_many_gateways():
    share = 0.02
    gateways = [make_traffic(share, seed=seed) for seed in range(68)]
    sent = {"busy": 0, "quiet": 0}
    for _ in range(10):
        for traffic in gateways:
            for route in ("busy",) * 4 + ("quiet",):
                sent[route] += list_versions(traffic, route=route) == ["v2"]
    assert sent["busy"] == pytest.approx(68 * 40 * share, rel=0.25)
    assert sent["quiet"] == pytest.approx(68 * 10 * share, rel=0.6)


# Guards against a rarely used route on which a fault shows too late, and against its
# larger share on other routes, or once the version is given up.
def test_rare_route_has_a_larger_share():
    traffic = make_traffic()
    shares = (RolloutShare(1, 0.1, route_shares={"rare": 0.5}),)
    traffic.set_shares(shares, 0.0)
    counts = {
        route: sum(list_versions(traffic, route=route) == ["v2"] for _ in range(40))
        for route in ("rare", "busy")
    }
    assert counts == {"rare": 20, "busy": 4}
    traffic.set_shares((RolloutShare(1, 0.0, route_shares={"rare": 0.5}),), 1.0)
    assert list_versions(traffic, route="rare", now=1.0) == ["v1"]


# Guards against a random choice by request, which sends many or none at times.
def test_choice_is_even_within_a_route():
    traffic = make_traffic(0.25)
    chosen = [list_versions(traffic) == ["v2"] for _ in range(400)]
    assert all(chosen[n : n + 4].count(True) == 1 for n in range(0, 400, 4))


# Guards against a request that draws again after each pause until it gets the new side.
def test_request_chooses_its_version_once():
    traffic = make_traffic(0.5)
    request = RoutedRequest("s", "r", set())
    first = traffic.list_allowed(ROWS, request, None, 0.0)
    assert all(
        traffic.list_allowed(ROWS, request, None, 0.0) == first for _ in range(5)
    )


# Guards against a gateway that goes on sending to a bad version while no leader can
# tell it to stop.
def test_share_is_held_and_then_falls_to_nothing():
    traffic = make_traffic(1.0)
    assert list_versions(traffic, now=SHARE_HOLD_S - 0.01) == ["v2"]
    assert list_versions(traffic, now=SHARE_HOLD_S) == ["v1"]
    reply(traffic, 1.0, now=5.0)
    assert list_versions(traffic, now=5.0) == ["v2"]


# Guards against replies that waited in a buffer while the process was stopped.
def test_reply_to_an_old_report_does_not_extend_the_share():
    traffic = make_traffic()
    reply(traffic, 0.0, now=3.0)
    reply(traffic, 1.0, now=2.0)
    assert list_versions(traffic, now=3.0) == ["v1"]


# Guards against an outage where only new endpoints are left while no leader replies.
def test_new_version_serves_if_no_old_endpoint_can():
    traffic = make_traffic()
    assert list_versions(traffic, rows=make_rows("v2", 2)) == ["v2"]
    assert list_versions(traffic, rows=make_leaving(ROWS, "v1")) == ["v2"]
    set_rollout(traffic, 2, make_rollout(state=RolloutState.ROLLED_BACK))
    assert list_versions(traffic, rows=make_rows("v2", 2)) == []


# Guards against a restarted gateway that goes on with a share, or splits evenly, before
# the leader has replied.
def test_restarted_gateway_begins_without_a_share():
    traffic = make_traffic()
    assert [list_versions(traffic) for _ in range(100)] == [["v1"]] * 100
    (counts,) = traffic.make_report(ROWS, 0, True, 0.0)
    assert (counts.number, counts.routes, counts.share) == (1, {}, 0.0)


# Guards against a share that arrives before the order and is lost.
def test_share_may_arrive_before_its_order():
    traffic = RolloutTraffic(RESUME_S)
    reply(traffic, 1.0, now=0.0)
    set_rollout(traffic, 1, make_rollout())
    assert list_versions(traffic) == ["v2"]


# Guards against a coordinator that lags behind and reopens a version.
def test_orders_never_go_back():
    traffic = make_traffic(1.0)
    set_rollout(traffic, 3, make_rollout(state=RolloutState.ROLLED_BACK))
    assert not set_rollout(traffic, 2, make_rollout())
    assert list_versions(traffic) == ["v1"]


# Guards against requests to endpoints that the platform stops without draining.
def test_replaced_versions_get_nothing_after_completion():
    traffic = make_traffic(1.0)
    done = make_rollout(state=RolloutState.COMPLETED, replaced=("v1",))
    set_rollout(traffic, 2, done)
    assert list_versions(traffic) == ["v2"]
    assert list_versions(traffic, tried=["v2-0"]) == ["v2"]
    assert list_versions(traffic, resumed="v1") == []
    assert list_versions(traffic, rows=make_rows("v1", 2)) == []
    # The platform may replace the completed version itself.
    rows = ROWS + make_rows("v2b", 1)
    assert list_versions(traffic, rows=rows) == ["v2", "v2b"]


# Guards against requests to a bad version, and against streams that are cut at once.
def test_rolled_back_version_gets_resumed_streams_only_and_for_a_while():
    traffic = make_traffic(0.5)
    end = make_rollout(state=RolloutState.ROLLED_BACK, ended_s=100.0)
    set_rollout(traffic, 2, end, now=10.0, clock_s=100.1)
    assert list_versions(traffic, now=10.0) == ["v1"]
    assert list_versions(traffic, now=10.0, tried=["v1-0"]) == ["v1"]
    until = 10.0 + RESUME_S
    assert list_versions(traffic, now=until - 0.01, resumed="v2") == ["v2"]
    assert list_versions(traffic, now=until, resumed="v2") == []
    # Another change of the log does not begin the time again.
    set_rollout(traffic, 3, end, now=until, clock_s=103.0)
    assert list_versions(traffic, now=until, resumed="v2") == []


# Guards against a gateway that learns late of the end, or starts after it, and sends
# streams to a bad version for the whole time again.
def test_time_for_resumed_streams_counts_from_the_decision():
    traffic = RolloutTraffic(RESUME_S)
    end = make_rollout(state=RolloutState.ROLLED_BACK, ended_s=100.0)
    set_rollout(traffic, 1, end, now=10.0, clock_s=160.0)
    assert list_versions(traffic, now=10.0, resumed="v2") == []


# Guards against a version that comes back into use since only the latest rollout of
# each service is in the log.
def test_version_stays_excluded_until_an_order_names_it():
    traffic = make_traffic()
    rows = ROWS + make_rows("v3", 2)
    set_rollout(traffic, 2, make_rollout(state=RolloutState.ROLLED_BACK))
    set_rollout(traffic, 3, make_rollout(number=2, version="v3"))
    assert list_versions(traffic, rows=rows) == ["v1"]
    done = make_rollout(2, "v3", RolloutState.COMPLETED, ("v1",))
    set_rollout(traffic, 4, done)
    assert list_versions(traffic, rows=rows) == ["v3"]
    set_rollout(traffic, 5, make_rollout(number=3, version="v2"))
    reply(traffic, 1.0, number=3)
    assert list_versions(traffic, rows=rows) == ["v2"]


# Guards against the same where a gateway has started since and knows only the log.
def test_versions_that_the_log_excludes_get_nothing():
    traffic = RolloutTraffic(RESUME_S)
    set_rollout(traffic, 9, make_rollout(2, "v3", excluded=("v2",)))
    assert list_versions(traffic) == ["v1"]


# Guards against an outage where an order states what it is going to replace.
def test_versions_to_be_replaced_serve_until_completion():
    for state in RolloutState:
        traffic = RolloutTraffic(RESUME_S)
        set_rollout(traffic, 1, make_rollout(state=state, replaced=("v1",)))
        is_completed = state is RolloutState.COMPLETED
        assert list_versions(traffic) == (["v2"] if is_completed else ["v1"])


# Guards against a stream whose text goes on at another version, and against a share
# that resumed streams use up.
def test_resumed_stream_stays_at_its_version():
    traffic = RolloutTraffic(RESUME_S)
    assert not traffic.restricts("s")
    set_rollout(traffic, 1, make_rollout())
    for share in (0.0, 0.5, 1.0):
        reply(traffic, share)
        for version in ("v1", "v2"):
            assert list_versions(traffic, resumed=version) == [version]
    reply(traffic, 0.25)
    chosen = []
    for _ in range(8):
        list_versions(traffic, resumed="v2")
        chosen.append(list_versions(traffic))
    assert chosen.count(["v2"]) == 2
    done = make_rollout(state=RolloutState.COMPLETED, replaced=("v1",))
    set_rollout(traffic, 2, done)
    assert list_versions(traffic, resumed="v2") == ["v2"]


# Guards against a caller whose second try also meets the version under test.
def test_retry_goes_to_the_old_version():
    traffic = make_traffic(0.99)
    assert list_versions(traffic, tried=["v2-0"]) == ["v1"]
    assert list_versions(traffic, tried=["v1-0"]) == ["v1"]
    # No old endpoint is left that the request has not tried.
    tried = [row.key for row in make_rows("v1", 6)]
    assert list_versions(traffic, tried=tried) == ["v2"]


# Guards against a request at an old endpoint after the gateway has reported that there
# is none, upon which the platform stops the endpoint.
def test_old_version_gets_nothing_at_a_share_of_one():
    traffic = make_traffic(1.0)
    assert list_versions(traffic, tried=["v2-0"]) == ["v2"]
    request = RoutedRequest("s", "r", set())
    traffic.list_allowed(ROWS, request, None, 0.0)
    assert not traffic.give_up_new(request, 0.0)
    (counts,) = traffic.make_report(ROWS, 0, True, 0.0)
    assert counts.share == 1.0
    # Without a new endpoint the old ones serve, and the leader is told.
    rows = make_rows("v1", 2)
    assert list_versions(traffic, rows=rows) == ["v1"]
    (counts,) = traffic.make_report(rows, 0, True, 0.0)
    assert counts.share == 0.0


# Guards against requests that fail since the few endpoints of the new version are full.
def test_request_that_the_new_version_cannot_take_goes_to_the_old_one():
    traffic = make_traffic(0.999999)
    for _ in range(2):
        request = RoutedRequest("s", "r", set())
        rows = traffic.list_allowed(ROWS, request, None, 0.0)
    assert {row.version for row in rows} == {"v2"}
    assert traffic.give_up_new(request, 0.0)
    rows = traffic.list_allowed(ROWS, request, None, 0.0)
    assert {row.version for row in rows} == {"v1"}
    assert not traffic.give_up_new(request, 0.0)
    assert traffic._counters.snapshot()["rollout.fallback"] == 1


def list_canaries(traffic, rows):
    request = RoutedRequest("s", "r", set())
    allowed = traffic.list_allowed(rows, request, None, 0.0)
    return {row.key for row in allowed}


# Guards against gateways that spread a small share over all new endpoints, so that none
# has the load that would show a fault.
def test_endpoint_fraction_selects_the_same_endpoints_at_all_gateways():
    new = make_rows("v2", 20)
    rows = make_rows("v1", 3) + new
    chosen = [
        list_canaries(
            make_traffic(1.0, 0.25, seed), random.Random(seed).sample(rows, 23)
        )
        for seed in range(10)
    ]
    assert all(keys == chosen[0] for keys in chosen)
    assert len(chosen[0]) == 5
    # One more endpoint changes at most one of them, and adds at most one.
    more = list_canaries(make_traffic(1.0, 0.25), rows + make_rows("v2", 1, 20))
    assert len(chosen[0] - more) <= 1
    assert len(more) == 6
    assert len(list_canaries(make_traffic(1.0, 0.0), rows)) == 1
    assert len(list_canaries(make_traffic(1.0, 1.0), rows)) == 20


# Guards against a rollout of one service that affects another.
def test_other_services_are_not_restricted():
    traffic = make_traffic(1.0)
    assert traffic.restricts("s")
    assert not traffic.restricts("other")
    row = make_rows("v1", 1, service="other")[0]
    traffic.end_send(traffic.start_send(row, "r"), SendResult.FAILED, 1.0, True)
    (counts,) = traffic.make_report(ROWS, 0, True, 0.0)
    assert (counts.routes, counts.old_in_flight) == ({}, 0)
