"""A gateway's requests and reports while a service moves to another version."""

import asyncio

import pytest

from tarragonway.gateway.tests.harness import (
    NOT_RUN,
    SIGNED,
    make_answer,
    make_events,
)
from tarragonway.gateway.tests.test_control_link import (
    deliver,
    link,
    status,
)
from tarragonway.gateway.tests.test_mixed_versions import (
    ATTEMPT,
    LAST_EVENT_ID,
    RESUMED_ATTEMPT,
    add_endpoints,
    answer_in_parts,
    count_requests,
)
from tarragonway.limits.request_limits import Permit
from tarragonway.links.messages import (
    EndpointUpdate,
    GatewayReportReply,
    HeldParts,
)
from tarragonway.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutOrders,
    RolloutShare,
    RolloutState,
    RouteCounts,
    VersionCounts,
)
from tarragonway.rollouts.tests.test_traffic import make_rows

__all__ = ["link"]

# Stub endpoints close each connection, so that a kept one would break the next request.
CLOSES = f"{SIGNED}Connection: close\r\n"
GOOD = make_answer(extra=CLOSES)
BAD = make_answer(500, extra=CLOSES)
BROKEN = [f"HTTP/1.1 200 X\r\n{SIGNED}Content-Length: 9\r\n\r\nok".encode()]


def make_rollout(state=RolloutState.IN_PROGRESS, replaced=(), ended_s=0.0):
    return Rollout(1, RolloutOrder("s", "v2", 12.0), 0.0, state, ended_s, replaced)


def set_rollout(harness, revision, rollout=None):
    now = asyncio.get_running_loop().time()
    orders = RolloutOrders(revision, (rollout or make_rollout(),))
    harness.state.rollouts.set_orders(orders, now, harness.state.clock.now())


def set_share(harness, share, *, age_s=0.0, slow_ms=None):
    now = asyncio.get_running_loop().time()
    shares = (RolloutShare(1, share, 1.0, slow_ms or {}),)
    harness.state.rollouts.set_shares(shares, now - age_s)


def end_rollout(harness, state, replaced=()):
    ended_s = harness.state.clock.now()
    set_rollout(harness, 2, make_rollout(state, replaced, ended_s))


def report(harness):
    now = asyncio.get_running_loop().time()
    rows = harness.state.endpoints.rows.values()
    (counts,) = harness.state.rollouts.make_report(rows, 0, True, now)
    return counts


async def make_versions(harness, choose=lambda head: GOOD, count=2):
    """Return the endpoints of both versions, while a rollout to v2 is in progress."""
    old = await add_endpoints(harness, "v1", count, choose)
    new = await add_endpoints(harness, "v2", count, choose)
    set_rollout(harness, 1)
    return old, new


async def ask(harness, path, times):
    return [(await harness.ask(path))[9:12] for _ in range(times)]


# Guards against requests to a version under test while no leader watches them.
async def test_disconnected_gateway_sends_to_the_old_version(harness):
    old, new = await make_versions(harness)
    assert set(await ask(harness, "/single/", 4)) == {b"200"}
    set_share(harness, 1.0, age_s=1.6)
    assert set(await ask(harness, "/single/", 4)) == {b"200"}
    assert (count_requests(old), count_requests(new)) == (8, 0)
    for endpoint in list(harness.state.endpoints.rows.values()):
        if endpoint.version == "v1":
            harness.state.endpoints.apply_delta([], [endpoint.key])
    assert set(await ask(harness, "/single/", 2)) == {b"200"}
    assert count_requests(new) == 2


# Guards against a request to the new version before its order is known.
async def test_orders_are_known_before_requests_are_accepted(link):
    link._state.table = object()
    deliver(link, "c2:1", EndpointUpdate(1, 1, True, tuple(make_rows("v1", 1)), ()))
    deliver(link, "c2:1", RolloutOrders(0, (make_rollout(),)))
    assert not link._state.is_complete
    deliver(link, "c2:1", HeldParts(0, ()))
    assert link._state.is_complete
    assert link._state.rollouts.restricts("s")


# Guards against shares that the control link does not pass on, and counts that it does
# not report.
async def test_share_of_the_leader_is_used_and_reported(link):
    deliver(link, "c2:1", status(2, "c2:1", True))
    rows = make_rows("v1", 1) + make_rows("v2", 1)
    deliver(link, "c2:1", EndpointUpdate(1, 1, True, tuple(rows), ()))
    deliver(link, "c2:1", RolloutOrders(0, (make_rollout(),)))
    link._send_report()
    first = link._link_pool.sent[-1][1]
    assert [counts.share for counts in first.rollouts] == [0.0]
    reply = GatewayReportReply(
        2, first.sequence, 0.0, 1, 1, 0.0, rollouts=(RolloutShare(1, 0.25),)
    )
    deliver(link, "c2:1", reply)
    link._send_report()
    second = link._link_pool.sent[-1][1]
    assert [counts.share for counts in second.rollouts] == [0.25]
    end = make_rollout(RolloutState.COMPLETED, ("v1",))
    deliver(link, "c2:1", RolloutOrders(1, (end,)))
    link._send_report()
    assert link._link_pool.sent[-1][1].rollouts == ()


@pytest.mark.parametrize(
    ("answer", "path", "expected"),
    [
        (make_answer(), "/single/", (1, 1, 0)),
        (make_answer(404), "/single/", (1, 1, 0)),
        (make_answer(500), "/single/", (1, 1, 1)),
        (make_answer(503, "", SIGNED), "/single/", (1, 1, 1)),
        (make_answer(503, "", NOT_RUN), "/single/", (1, 0, 0)),
        (make_answer(421, "", NOT_RUN), "/single/", (1, 0, 0)),
        (BROKEN, "/single/", (1, 1, 1)),
        ([], "/single/", (1, 1, 1)),
        (make_events(1, 2), "/stream/", (1, 1, 0)),
        (make_events(1, 2, end=False), "/stream/", (1, 1, 1)),
    ],
)
# Guards against failures that are not counted, or that are no fault of the endpoint.
@pytest.mark.parametrize("share", [0.0, 1.0])
async def test_outcomes_are_counted(harness, answer, path, expected, share):
    await make_versions(harness, lambda head: answer, count=1)
    set_share(harness, share)
    await harness.ask(path)
    (route,) = report(harness).routes.values()
    side, other = (route.new, route.old) if share else (route.old, route.new)
    assert (side.sent, side.answers, side.failures) == expected
    assert side.slow == 0
    assert other == VersionCounts()


# Guards against a version that passes since it never answers.
async def test_expired_deadline_is_a_failure(harness):
    _, (new,) = await make_versions(harness, count=1)
    new.hang = True
    set_share(harness, 1.0)
    await harness.ask("/short/")
    counts = report(harness)
    assert counts.routes["short"].new == VersionCounts(1, 1, 1)
    assert counts.old_in_flight == 0


# Guards against callers that count as failures, or as requests in flight for ever.
async def test_caller_that_leaves_is_no_failure(harness):
    (old,), _ = await make_versions(harness, count=1)
    old.hang = True
    await harness.ask("/single/", wait_s=0.1)
    await asyncio.wait_for(old.disconnected.wait(), 2.0)
    counts = report(harness)
    assert counts.routes["single"].old == VersionCounts(1, 0, 0)
    assert counts.old_in_flight == 0


# Guards against a stream of many seconds that counts as slow.
async def test_time_of_a_stream_ends_with_its_first_event(harness):
    (old,), _ = await make_versions(
        harness, lambda head: make_events(1, 2, 3, 4), count=1
    )
    old.pause_s = 0.1
    set_share(harness, 0.0, slow_ms={"stream": 250.0, "single": 50.0})
    await harness.ask("/stream/")
    assert report(harness).routes["stream"].old.slow == 0
    old.choose = lambda head: [GOOD[0][:-1], GOOD[0][-1:]]
    await harness.ask("/single/")
    assert report(harness).routes["single"].old.slow == 1


# Guards against a refused connection that costs the caller its request, or that is held
# against the old version.
async def test_new_endpoint_without_connection_is_a_failure(harness):
    (old,) = await add_endpoints(harness, "v1", 1, lambda head: GOOD)
    await harness.add(harness.ports(), listens=False, version="v2")
    set_rollout(harness, 1)
    set_share(harness, 0.999999)
    await ask(harness, "/single/", 2)
    assert await ask(harness, "/single/", 1) == [b"200"]
    route = report(harness).routes["single"]
    assert route.new.failures == route.new.answers == route.new.sent >= 2
    assert route.old.failures == 0
    assert len(old.heads) == 3


# Guards against retries that meet the version under test again.
async def test_retry_goes_to_the_old_version(harness):
    old, new = await make_versions(harness)
    for endpoint in new:
        endpoint.choose = lambda head: BAD
    set_share(harness, 0.999999)
    assert await ask(harness, "/read/", 3) == [b"200"] * 3
    assert (count_requests(old), count_requests(new)) == (3, 3)
    route = report(harness).routes["read"]
    assert route == RouteCounts(
        VersionCounts(3, 3, 0, 0, route.old.log_ms), VersionCounts(3, 3, 3)
    )


# Guards against a request that is refused since the new endpoints are full, although
# others are not.
async def test_request_goes_to_the_old_version_if_the_new_one_is_full(harness):
    old, new = await make_versions(harness)
    set_share(harness, 0.999999)
    harness.forwarder.pool.count_used = lambda key: 9 if key in ("e3", "e4") else 0
    assert await ask(harness, "/single/", 3) == [b"200"] * 3
    assert (count_requests(old), count_requests(new)) == (3, 0)


# Guards against a request that is refused since the few new endpoints are loaded.
async def test_request_goes_to_the_old_version_if_the_new_one_is_loaded(
    harness, monkeypatch
):
    old, new = await make_versions(harness)
    set_share(harness, 0.999999)
    for module in ("forward", "selection"):
        monkeypatch.setattr(
            f"tarragonway.gateway.{module}.is_overloaded",
            lambda attempt, choice, now: choice.endpoint.version == "v2",
        )
    assert await ask(harness, "/single/", 3) == [b"200"] * 3
    assert (count_requests(old), count_requests(new)) == (3, 0)
    set_share(harness, 1.0)
    assert await ask(harness, "/single/", 1) == [b"503"]


# Guards against requests to a bad version after the decision, by any path.
async def test_rolled_back_version_gets_no_request(harness):
    old, new = await make_versions(harness)
    set_share(harness, 1.0)
    await ask(harness, "/read/", 2)
    assert count_requests(new) == 2
    end_rollout(harness, RolloutState.ROLLED_BACK)
    for endpoint in old:
        endpoint.choose = lambda head: BAD
    await ask(harness, "/read/", 4)
    await ask(harness, "/single/", 4)
    for row in list(harness.state.endpoints.rows.values()):
        if row.version == "v1":
            harness.state.endpoints.apply_delta([], [row.key])
    assert await ask(harness, "/read/", 2) == [b"503"] * 2
    assert count_requests(new) == 2


async def begin_and_resume(harness, share, change):
    """Begin a stream, change the rollout, and return the answer of its resumption."""
    choose = answer_in_parts(make_events(1, 2, end=False), make_events(3, 4))
    old, new = await make_versions(harness, choose, count=1)
    set_share(harness, share)
    begun = asyncio.create_task(harness.ask("/resume/", f"{ATTEMPT}: a1", wait_s=0.3))
    side = new if share else old
    # The stream breaks off, and so does the gateway's own try to go on with it.
    side[0].choose = lambda head: make_events(1, 2, end=False)
    await begun
    side[0].choose = choose
    change()
    before = count_requests(old), count_requests(new)
    received = await harness.ask(
        "/resume/", f"{ATTEMPT}: a2", f"{RESUMED_ATTEMPT}: a1", f"{LAST_EVENT_ID}: 2"
    )
    return received, count_requests(old) - before[0], count_requests(new) - before[1]


# Guards against a stream whose text goes on at the old version after a roll back.
async def test_stream_goes_on_at_a_version_that_is_rolled_back(harness):
    received, old, new = await begin_and_resume(
        harness, 1.0, lambda: end_rollout(harness, RolloutState.ROLLED_BACK)
    )
    assert received.endswith(b"0\r\n\r\n")
    assert (old, new) == (0, 1)


# Guards against a bad version that gets streams for ever.
async def test_stream_of_a_rolled_back_version_is_refused_later(harness):
    harness.state.rollouts._resume_s = 0.0
    received, old, new = await begin_and_resume(
        harness, 1.0, lambda: end_rollout(harness, RolloutState.ROLLED_BACK)
    )
    assert b"version_gone" in received
    assert (old, new) == (0, 0)


# Guards against a stream that changes its version as the share rises.
async def test_stream_goes_on_at_the_old_version_at_a_share_of_one(harness):
    received, old, new = await begin_and_resume(
        harness, 0.0, lambda: set_share(harness, 1.0)
    )
    assert received.endswith(b"0\r\n\r\n")
    assert (old, new) == (1, 0)


# Guards against answers that the gateway cuts as a rollout completes, and against a
# completion that does not wait for them.
async def test_request_in_flight_at_an_old_endpoint_ends(harness):
    (old,) = await add_endpoints(harness, "v1", 1, lambda head: make_events(1, 2, 3))
    (new,) = await add_endpoints(harness, "v2", 1, lambda head: make_events(1))
    for row in list(harness.state.endpoints.rows.values()):
        if row.version == "v2":
            harness.forwarder._chooser.record_unreachable(row.key, 1e9)
    old.pause_s = 0.1
    running = asyncio.create_task(harness.ask("/stream/"))
    while not old.heads:
        await asyncio.sleep(0.01)
    # The request began before the order.
    set_rollout(harness, 1)
    set_share(harness, 1.0)
    assert report(harness).old_in_flight == 1
    end_rollout(harness, RolloutState.COMPLETED, ("v1",))
    received = await running
    assert b"id: 3" in received
    assert received.endswith(b"0\r\n\r\n")
    assert await ask(harness, "/stream/", 3) == [b"200"] * 3
    assert (len(old.heads), len(new.heads)) == (1, 3)


# Guards against a request that waits for a permit while the share becomes 1, and is
# then sent to an old endpoint that the leader takes for unused.
async def test_choice_is_made_again_after_the_wait_for_a_permit(harness):
    (old,), (new,) = await make_versions(harness, count=1)
    now = asyncio.get_running_loop().time()
    harness.limit_guard.set_published(1, {"e1": 5.0}, now)

    async def grant_late(keys):
        set_share(harness, 1.0)
        return Permit(keys[0])

    harness.limit_guard.request_permit = grant_late
    assert await ask(harness, "/single/", 1) == [b"200"]
    assert (len(old.heads), len(new.heads)) == (0, 1)
