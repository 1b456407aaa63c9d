from types import SimpleNamespace

import pytest

from tarragonway.coordinator.gateways import GATEWAY_TIMEOUT_S, GatewayReports
from tarragonway.core.clock import WallClock
from tarragonway.links.messages import Beat, Crash, WindowCounts


@pytest.fixture
def book():
    driver = SimpleNamespace(replica=SimpleNamespace(term=1))
    return GatewayReports(driver, SimpleNamespace(leadership_age_s=9.0), WallClock())


def beat(book, name, *, lead_s=0.0, usage=(), crashes=()):
    clock_s = book._clock.now() + lead_s
    return Beat(name, 1, clock_s, 1, 0, usage, crashes)


def test_repeated_reports_count_once_and_gateways_add_up(book):
    usage = (WindowCounts(7, {"a": 2, "b": 1}),)
    for _ in range(3):
        book.handle_report(beat(book, "g1", usage=usage), 0, 0.0, 0.0)
    book.handle_report(
        beat(book, "g2", usage=(WindowCounts(7, {"a": 5}),)), 0, 0.0, 0.0
    )
    assert book.sum_window(7) == {"a": 7, "b": 1}


def test_clock_that_jumped_is_corrected_to_the_median(book):
    for name in ("g1", "g2", "g3"):
        reply = book.handle_report(beat(book, name), 0, 0.0, 0.0)
        assert abs(reply.clock_correction_s) < 0.1
    reply = book.handle_report(beat(book, "g4", lead_s=2.4), 0, 0.0, 0.0)
    assert reply.clock_correction_s == pytest.approx(-2.4, abs=0.1)


def test_leader_whose_own_clock_jumped_follows_the_median(book):
    book._clock.correct(5.0)
    for name in ("g1", "g2", "g3"):
        reply = book.handle_report(beat(book, name, lead_s=-5.0), 0, 0.0, 0.0)
    assert abs(reply.clock_correction_s) < 0.1


def test_silent_gateways_are_not_counted(book):
    book.handle_report(beat(book, "g1"), 0, 0.0, 0.0)
    reply = book.handle_report(beat(book, "g2"), 0, 0.0, GATEWAY_TIMEOUT_S + 1)
    assert reply.gateways == 1


def test_content_is_quarantined_after_three_endpoints(book):
    for endpoint in ("e1", "e2", "e2"):
        book.record_crash(Crash("f", endpoint))
    assert not book.quarantined
    book.handle_report(beat(book, "g1", crashes=(Crash("f", "e3"),)), 0, 0.0, 0.0)
    assert list(book.quarantined) == ["f"]


def test_content_that_ran_to_its_end_starts_anew(book):
    for endpoint in ("e1", "e2"):
        book.record_crash(Crash("f", endpoint))
    assert book.handle_report(beat(book, "g1"), 0, 0.0, 0.0).suspects == ("f",)
    book.clear_suspect("f")
    book.record_crash(Crash("f", "e3"))
    assert not book.quarantined
