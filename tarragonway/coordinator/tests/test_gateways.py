from types import SimpleNamespace

import msgspec
import pytest

from tarragonway.coordinator.gateways import GATEWAY_TIMEOUT_S, GatewayReports
from tarragonway.coordinator.suspects import CRASH_RETENTION_S
from tarragonway.core.clock import WallClock
from tarragonway.exchange import EngineSpeed
from tarragonway.links.messages import CrashReport, GatewayReport, WindowCounts
from tarragonway.pace import EndpointPace, PaceTracker


@pytest.fixture
def reports():
    driver = SimpleNamespace(replica=SimpleNamespace(term=1))
    return GatewayReports(driver, SimpleNamespace(leadership_age_s=9.0), WallClock())


def make_gateway_report(reports, name, *, offset_s=0.0, usage=(), crashes=()):
    clock_s = reports._clock.now() + offset_s
    return GatewayReport(name, 1, clock_s, 1, 0, usage, crashes)


def test_repeated_reports_count_once_and_gateways_add_up(reports):
    usage = (WindowCounts(7, {"a": 2, "b": 1}),)
    for _ in range(3):
        reports.handle_report(
            make_gateway_report(reports, "g1", usage=usage), 0, 0.0, 0.0
        )
    reports.handle_report(
        make_gateway_report(reports, "g2", usage=(WindowCounts(7, {"a": 5}),)),
        0,
        0.0,
        0.0,
    )
    assert reports.sum_window(7) == {"a": 7, "b": 1}


def test_clock_step_of_gateway_is_corrected_to_the_median(reports):
    for name in ("g1", "g2", "g3"):
        reply = reports.handle_report(make_gateway_report(reports, name), 0, 0.0, 0.0)
        assert abs(reply.clock_correction_s) < 0.1
    reply = reports.handle_report(
        make_gateway_report(reports, "g4", offset_s=2.4), 0, 0.0, 0.0
    )
    assert reply.clock_correction_s == pytest.approx(-2.4, abs=0.1)


def test_clock_step_of_leader_is_corrected_to_the_median(reports):
    reports._clock.correct(5.0)
    for name in ("g1", "g2", "g3"):
        reply = reports.handle_report(
            make_gateway_report(reports, name, offset_s=-5.0), 0, 0.0, 0.0
        )
    assert abs(reply.clock_correction_s) < 0.1


def test_silent_gateways_are_not_counted(reports):
    reports.handle_report(make_gateway_report(reports, "g1"), 0, 0.0, 0.0)
    reply = reports.handle_report(
        make_gateway_report(reports, "g2"), 0, 0.0, GATEWAY_TIMEOUT_S + 1
    )
    assert reply.gateways == 1


def test_content_is_quarantined_after_three_endpoints(reports):
    for endpoint in ("e1", "e2", "e2"):
        reports.suspects.record_crash(CrashReport("f", endpoint), 0.0)
    assert not reports.suspects.quarantined
    reports.handle_report(
        make_gateway_report(reports, "g1", crashes=(CrashReport("f", "e3"),)),
        0,
        0.0,
        0.0,
    )
    assert list(reports.suspects.quarantined) == ["f"]


def test_crash_record_is_removed_when_content_runs_to_its_end(reports):
    for endpoint in ("e1", "e2"):
        reports.suspects.record_crash(CrashReport("f", endpoint), 0.0)
    assert reports.handle_report(
        make_gateway_report(reports, "g1"), 0, 0.0, 0.0
    ).suspects == ("f",)
    reports.suspects.clear_suspect("f")
    reports.suspects.record_crash(CrashReport("f", "e3"), 0.0)
    assert not reports.suspects.quarantined


def test_quarantine_ends_after_the_last_crash_and_reports_again_do_not_extend_it(
    reports,
):
    crashes = tuple(CrashReport("f", endpoint) for endpoint in ("e1", "e2", "e3"))
    report = make_gateway_report(reports, "g1", crashes=crashes)
    for now in (0.0, CRASH_RETENTION_S - 1):
        reply = reports.handle_report(report, 0, 0.0, now)
        assert reply.quarantined == ("f",)
    silent = make_gateway_report(reports, "g1")
    reply = reports.handle_report(silent, 0, 0.0, CRASH_RETENTION_S + 1)
    assert reply.quarantined == ()


def test_speeds_are_combined_and_a_gateway_with_a_wrong_fit_has_no_effect(reports):
    for name, token_ms in (("g1", 0.02), ("g2", 0.021), ("g3", 0.9)):
        speed = EngineSpeed(token_ms, 3.0, 0.1, 4.0, 0.5)
        report = msgspec.structs.replace(
            make_gateway_report(reports, name), speeds={"llm": speed}
        )
        reply = reports.handle_report(report, 0, 0.0, 5.0 * len(name))
    report = msgspec.structs.replace(make_gateway_report(reports, "g4"), speeds={})
    reply = reports.handle_report(report, 0, 0.0, 11.5)
    assert reply.speeds["llm"].prompt_token_ms == 0.021


def test_reports_without_speeds_get_none_back(reports):
    reply = reports.handle_report(make_gateway_report(reports, "g"), 0, 0.0, 0.0)
    assert reply.speeds is None


# Guards against paces that each gateway has to learn alone.
def test_paces_of_one_gateway_reach_the_others(reports):
    tracker = PaceTracker()
    for _ in range(4):
        tracker.record_statement("s", "e1", 2.0, 0.0)
    report = msgspec.structs.replace(
        make_gateway_report(reports, "g1"), paces=tracker.take_report()
    )
    # Only replies to reports with speeds contain paces.
    assert reports.handle_report(report, 0, 0.0, 0.0).paces == {}
    report = msgspec.structs.replace(make_gateway_report(reports, "g2"), speeds={})
    reply = reports.handle_report(report, 0, 0.0, 1.0)
    assert reply.paces == {"s": {"e1": EndpointPace(200, 100)}}
    assert reports.paces.get_pace("e1") == 2.0
    reports.clear()
    assert reports.paces.get_pace("e1") == 1.0


# Guards against parts by the load of one gateway: the load pattern is that of a
# balancer that hashes callers. Gateways with even loads get no part.
def test_parts_follow_the_requests_of_all_gateways(reports):
    def report(rates, now):
        replies = {}
        for name, rate in rates.items():
            message = msgspec.structs.replace(
                make_gateway_report(reports, name), request_rates={"s": rate}
            )
            replies[name] = reports.handle_report(message, 0, 0.0, now).part
        return replies

    for second in range(3):
        # Without a stated slowdown, parts stay equal.
        uneven = report({"g1": 10.0, "g2": 30.0}, float(second))
        assert uneven == {"g1": 0.0, "g2": 0.0}
    tracker = PaceTracker()
    for _ in range(4):
        tracker.record_statement("s", "e1", 2.0, 0.0)
    message = msgspec.structs.replace(
        make_gateway_report(reports, "g1"), paces=tracker.take_report(), speeds={}
    )
    reports.handle_report(message, 0, 0.0, 3.0)
    report({"g1": 10.0, "g2": 11.0}, 4.0)
    report({"g1": 10.0, "g2": 11.0}, 6.0)
    assert report({"g1": 10.0, "g2": 30.0}, 7.0) == {"g1": 0.0, "g2": 0.0}
    assert report({"g1": 10.0, "g2": 30.0}, 8.0) == {"g1": 0.25, "g2": 0.75}
