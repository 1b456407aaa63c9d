"""Orders of endpoints that the platform refuses."""

import asyncio
from types import SimpleNamespace

import pytest
import structlog

from tarragonway.capacity.fleet import EndpointKind
from tarragonway.coordinator.scaling import FleetReconciler
from tarragonway.core.counters import Counters
from tarragonway.endpoints.endpoint_list import EndpointView, ListedEndpoint
from tarragonway.http1.call import CallResponse
from tarragonway.pace import CombinedPaces, MeasuredPace
from tarragonway.rollouts import Rollout, RolloutOrder, RolloutState
from tarragonway.routes import Configuration, ConnectionLimits, Service
from tarragonway.routes.model import ScalingTraits

TRAITS = ScalingTraits(1, 4, 4.0, 0.2, {"a": 1.0, "b": 1.0})
SERVICE = Service("llm", "/", 9, scaling=TRAITS)


class StubPlatform:
    """Stub that refuses orders for some kinds of endpoints."""

    def __init__(self) -> None:
        self.refused = set()
        self.orders = []
        self.limits = SimpleNamespace(stated={})
        self.paces = CombinedPaces()

    async def call(self, order, timeout_s, may_send):
        zone, _count, reclaimable = order
        self.orders.append(order)
        return CallResponse(409 if (zone, reclaimable) in self.refused else 200, b"")


class StubLease:
    async def confirm(self):
        return SimpleNamespace(number=1, is_valid=lambda: True)


@pytest.fixture
def platform():
    return StubPlatform()


@pytest.fixture
def fleet(platform):
    view = EndpointView()
    view.apply_full_list(
        [ListedEndpoint("e1", "e1", "llm", "127.0.0.1:1", "a", 4, False)]
    )
    return FleetReconciler(
        "c1",
        ["a", "b"],
        SimpleNamespace(replica=SimpleNamespace(is_first_ready_leader=False)),
        StubLease(),
        SimpleNamespace(
            sum_offered_load=lambda service, now: 3.0,
            sum_refused_load=lambda service, now: 0.0,
            sum_request_rate=lambda service, now: 20.0,
            limits=platform.limits,
            paces=platform.paces,
        ),
        view,
        lambda: True,
        lambda: Configuration(1, (), (SERVICE,), ConnectionLimits()),
        platform,
        lambda holder, fence, service, zone, count, kind: (zone, count, kind),
        Counters(),
    )


async def test_refused_on_demand_order_does_not_stop_reclaimable_ones(fleet, platform):
    """An on-demand bound that is reached says nothing about reclaimable endpoints."""
    platform.refused = {("a", False)}
    now = asyncio.get_running_loop().time()
    kind = EndpointKind("a", False)
    await fleet._send_order("llm", kind, 4, 1, 4)
    assert fleet._is_order_due("llm", EndpointKind("a", True), 4, 0, now)
    assert not fleet._is_order_due("llm", kind, 4, 1, now)


async def test_refused_on_demand_endpoints_are_ordered_in_another_zone(fleet, platform):
    platform.refused = {("a", False), ("a", True), ("b", True)}
    for _ in range(4):
        await fleet._reconcile(SERVICE, TRAITS)
    on_demand = [order for order in platform.orders if not order[2]]
    assert on_demand == [("a", 4, False), ("b", 3, False)]


async def test_refused_orders_of_either_kind_are_not_repeated_at_once(fleet, platform):
    platform.refused = {("a", False), ("b", False), ("a", True), ("b", True)}
    for _ in range(4):
        await fleet._reconcile(SERVICE, TRAITS)
    assert len(platform.orders) == len(set(platform.orders)) == 4


# Guards against a plan that counts a limited endpoint as a whole one.
async def test_limited_endpoint_counts_for_what_it_takes(fleet, platform):
    needed = fleet._compute_recent_need("llm", {}, 100.0)
    platform.limits.stated = {"e1": 1.0, "other": 1.0}
    assert fleet._compute_recent_need("llm", {}, 100.0) == needed + 1


# Guards against a service that cannot be planned for and ends the leader's process.
async def test_service_without_a_plan_does_not_stop_the_others(fleet, platform):
    count = fleet._gateway_reports.sum_offered_load

    def count_or_raise(service, now):
        if service == "odd":
            raise OverflowError
        return count(service, now)

    fleet._gateway_reports.sum_offered_load = count_or_raise
    odd = Service("odd", "/", 9, scaling=TRAITS)
    with structlog.testing.capture_logs() as logs:
        for service in (odd, SERVICE, odd):
            await fleet._reconcile(service, TRAITS)
    assert platform.orders
    assert sum("exc_info" in row for row in logs) == 1


# Guards against an endpoint in a zone that is not configured and ends the process.
async def test_endpoint_in_an_unknown_zone_stops_no_order(fleet, platform):
    row = ListedEndpoint("e2", "e2", "llm", "127.0.0.1:2", "odd", 4, False, True)
    fleet._view.apply_delta([row], [])
    await fleet._reconcile(SERVICE, TRAITS)
    assert platform.orders and not fleet._unplanned


# Guards against a leader that orders too few endpoints at once, because it infers the
# need from those that it knew when it was the leader before.
async def test_need_is_not_inferred_from_an_earlier_leadership(fleet, platform):
    fleet._driver.is_leader = True
    fleet._has_current_list = lambda: False
    fleet._gateway_reports.sum_offered_load = lambda service, now: 0.0
    task = asyncio.create_task(fleet.run())
    fleet.notify_endpoints_changed()
    await asyncio.sleep(0.05)
    assert not platform.orders
    fleet._view.apply_full_list(
        ListedEndpoint(f"e{n}", f"e{n}", "llm", "127.0.0.1:1", "ab"[n % 2], 4, False)
        for n in range(4)
    )
    fleet._has_current_list = lambda: True
    # The reports of most gateways have not arrived yet.
    fleet._gateway_reports.sum_offered_load = lambda service, now: 0.1
    fleet.notify_endpoints_changed()
    await asyncio.sleep(0.05)
    assert [count for _, count, _ in platform.orders] == [2, 2]
    task.cancel()
    await asyncio.wait([task])


def list_versions(fleet, *versions):
    fleet._view.apply_full_list(
        [
            ListedEndpoint(
                f"e{n}",
                f"e{n}",
                "llm",
                f"127.0.0.1:{n + 1}",
                "a",
                4,
                False,
                version=version,
            )
            for n, version in enumerate(versions)
        ]
    )


def set_rollout(fleet, state, replaced=()):
    order = RolloutOrder("llm", "v2", 12.0)
    rollout = Rollout(1, order, 0.0, state, 0.0, replaced)
    fleet._list_rollouts = lambda: {"llm": rollout}


# Guards against endpoints of a rollout that count as capacity: the plan would remove
# old ones, and be short of them after a rollback.
@pytest.mark.parametrize(
    ("state", "replaced", "listed"),
    [
        (RolloutState.IN_PROGRESS, (), 2),
        (RolloutState.ROLLED_BACK, (), 2),
        (RolloutState.COMPLETED, ("v1",), 3),
    ],
)
async def test_endpoints_of_one_side_are_counted(fleet, state, replaced, listed):
    list_versions(fleet, "v1", "v1", "v2", "v2", "v2")
    set_rollout(fleet, state, replaced)
    plan = fleet._make_plan(SERVICE, TRAITS, asyncio.get_running_loop().time())
    assert plan.listed == {EndpointKind("a", False): listed}


# Guards against an order during a rollout that takes the endpoints it needs.
async def test_no_fewer_endpoints_are_ordered_during_a_rollout(fleet, platform):
    kind = EndpointKind("a", False)
    list_versions(fleet, *["v1"] * 4, "v2")
    now = asyncio.get_running_loop().time()
    await fleet._send_order("llm", kind, 4, 3, 4)
    fleet._gateway_reports.sum_offered_load = lambda service, now: 0.1
    fleet._services_with_load.add("llm")
    fleet._need_history["llm"] = []
    set_rollout(fleet, RolloutState.ROLLED_BACK)
    assert fleet._make_plan(SERVICE, TRAITS, now).planned[kind] < 4
    set_rollout(fleet, RolloutState.IN_PROGRESS)
    assert fleet._make_plan(SERVICE, TRAITS, now).planned[kind] == 4


# Guards against slow endpoints that the leader counts as whole ones: the load pattern
# is that of a deployment whose endpoints differ in speed.
async def test_slow_endpoint_counts_for_what_it_serves(fleet, platform):
    now = asyncio.get_running_loop().time()
    fleet._gateway_reports.sum_offered_load = lambda service, now: 3.2
    list_versions(fleet, *["v1"] * 4)
    platform.refused = {("a", True), ("b", True)}
    fleet._unavailable = {("llm", EndpointKind(z, True)): now + 9.0 for z in "ab"}
    kind = EndpointKind("b", False)
    assert fleet._make_plan(SERVICE, TRAITS, now).planned[kind] == 0
    platform.paces.record({"llm": {"e0": MeasuredPace(400, 9, 100, 0)}}, now)
    platform.paces.combine(now)
    assert fleet._make_plan(SERVICE, TRAITS, now).planned[kind] == 1


def set_load(fleet, offered, refused):
    fleet._gateway_reports.sum_offered_load = lambda service, now: offered
    fleet._gateway_reports.sum_refused_load = lambda service, now: refused


# Guards against 164 endpoints for a need of 30: the load pattern is that of a service
# without any endpoint left, whose requests are refused and come back.
async def test_refused_requests_that_come_back_do_not_raise_the_need(fleet, platform):
    platform.paces.record({"llm": {"e1": MeasuredPace(100, 9, 100, 0)}}, 0.0)
    platform.paces.combine(0.0)
    set_load(fleet, 24.0, 0.0)
    assert fleet._compute_recent_need("llm", {}, 0.0) == 30
    for second, offered in enumerate((30.0, 40.0, 48.0), start=1):
        set_load(fleet, offered, 2 * (offered - 24.0))
        assert fleet._compute_recent_need("llm", {}, float(second)) <= 31
    # The estimated work of each request has doubled as well.
    set_load(fleet, 130.0, 130.0)
    assert fleet._compute_recent_need("llm", {}, 4.0) <= 60


# Guards against other needs on deployments whose endpoints state no slowdown.
async def test_need_without_paces_is_that_of_the_offered_load(fleet):
    set_load(fleet, 24.0, 0.0)
    fleet._compute_recent_need("llm", {}, 0.0)
    set_load(fleet, 130.0, 130.0)
    assert fleet._compute_recent_need("llm", {}, 1.0) == 163


def list_reclaimed(fleet):
    fleet._view.apply_full_list(
        ListedEndpoint(
            f"{zone}{n}",
            f"{zone}{n}",
            "llm",
            "127.0.0.1:1",
            zone,
            4,
            zone == "a",
            True,
            leaves_s=2.0 if zone == "a" else -1.0,
        )
        for zone in "ab"
        for n in range(4)
    )


# Guards against insurance on deployments whose endpoints state no slowdown: the load
# pattern is that of a zone whose reclaimable endpoints get their notice.
@pytest.mark.parametrize(("is_paced", "on_demand"), [(True, 3), (False, 0)])
async def test_notice_orders_insurance_where_paces_are_known(
    fleet, platform, is_paced, on_demand
):
    list_reclaimed(fleet)
    set_load(fleet, 3.2, 0.0)
    if is_paced:
        platform.paces.record({"llm": {"b1": MeasuredPace(100, 9, 100, 0)}}, 0.0)
        platform.paces.combine(0.0)
    await fleet._reconcile(SERVICE, TRAITS)
    assert sum(count for _, count, kind in platform.orders if not kind) == on_demand


# Guards against a new leader that orders nothing for endpoints with a notice until the
# reports of most gateways have arrived; it must not order anything more for those of
# deployments whose endpoints state no slowdown.
@pytest.mark.parametrize(("is_paced", "on_demand"), [(True, 3), (False, 0)])
async def test_new_leader_orders_for_endpoints_with_a_notice(
    fleet, platform, is_paced, on_demand
):
    list_reclaimed(fleet)
    set_load(fleet, 0.1, 0.0)
    if is_paced:
        platform.paces.record({"llm": {"b1": MeasuredPace(100, 9, 100, 0)}}, 0.0)
        platform.paces.combine(0.0)
    await fleet._reconcile(SERVICE, TRAITS)
    assert sum(count for _, count, kind in platform.orders if not kind) == on_demand


# Guards against a new leader that orders spare endpoints for twice the former need: the
# load pattern is that of a change of leader while no zone is lost.
@pytest.mark.parametrize(("is_paced", "needed"), [(True, 4), (False, 8)])
async def test_new_leader_plans_for_the_former_need(fleet, platform, is_paced, needed):
    fleet._zones = ["a", "b", "c"]
    fleet._view.apply_full_list(
        ListedEndpoint(f"{z}{n}", f"{z}{n}", "llm", "127.0.0.1:1", z, 4, False, True)
        for z in "abc"
        for n in range(4)
    )
    set_load(fleet, 0.1, 0.0)
    if is_paced:
        platform.paces.record({"llm": {"b1": MeasuredPace(100, 9, 100, 0)}}, 0.0)
        platform.paces.combine(0.0)
    assert fleet._make_plan(SERVICE, TRAITS, 0.0).needed == needed
