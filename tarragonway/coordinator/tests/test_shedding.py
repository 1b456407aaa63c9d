from types import SimpleNamespace

from tarragonway.coordinator.gateways import GatewayReports
from tarragonway.coordinator.service_capacity import list_capacities
from tarragonway.core.clock import WallClock
from tarragonway.endpoints.endpoint_list import EndpointView, ListedEndpoint
from tarragonway.links.messages import GatewayReport
from tarragonway.overload import OfferedRow, OfferedService
from tarragonway.routes import Account, Configuration, ConnectionLimits
from tarragonway.routes.model import EngineTraits, Service


def make_view(*, leaving=False):
    view = EndpointView()
    rows = [
        ListedEndpoint(key, key, service, f"10.0.0.{n}:80", "a", 12, gone)
        for n, (key, service, gone) in enumerate(
            [("e1", "s", False), ("e2", "s", False), ("e3", "s", leaving)], 1
        )
    ]
    view.apply_delta(rows, [])
    return view


def make_configuration(per_s=5.0, slots=12):
    service = Service("s", "/", 9, EngineTraits(slots, 0))
    accounts = (Account("a", ("k",), per_s=per_s),)
    plain = Service("plain", "/", 9)
    return Configuration(1, (), (service, plain), ConnectionLimits(), accounts)


def test_capacity_is_the_sum_of_speeds_of_endpoints_that_stay():
    paces = {"e1": 1.0, "e2": 2.0, "e3": 1.0}
    view = make_view(leaving=True)
    assert list_capacities(make_configuration(), view, paces.get) == {"s": 1.5}
    assert list_capacities(make_configuration(), make_view()) == {"s": 3.0}


# Guards against changes to deployments without quotas or without known slots.
def test_services_without_quotas_or_slots_have_no_planned_capacity():
    assert list_capacities(make_configuration(per_s=0.0), make_view()) == {}
    assert list_capacities(make_configuration(slots=0), make_view()) == {}
    assert list_capacities(None, make_view()) == {}


def report(reports, work_ms, now, version=-1):
    offered = {"s": OfferedService((OfferedRow("a", 2, 2, work_ms, 100),))}
    message = GatewayReport(
        "g", 1, 0.0, 1, 0, (), (), offered=offered, admitted_version=version
    )
    return reports.handle_report(message, 0, 0.0, now)


def test_replies_have_fractions_only_while_a_service_is_overloaded():
    driver = SimpleNamespace(replica=SimpleNamespace(term=1))
    lease = SimpleNamespace(leadership_age_s=9.0)
    reports = GatewayReports(driver, lease, WallClock(), lambda get_pace: {"s": 3.0})
    reply = report(reports, 2900, 0.0)
    assert (reply.admitted_version, reply.admitted) == (-1, None)
    reply = report(reports, 6000, 1.0)
    (row,) = reply.admitted["s"]
    assert row.percent == 45
    known = report(reports, 6000, 2.0, reply.admitted_version)
    assert (known.admitted_version, known.admitted) == (reply.admitted_version, None)
    reply = report(reports, 2000, 3.0, reply.admitted_version)
    assert (reply.admitted_version, reply.admitted) == (-1, None)
