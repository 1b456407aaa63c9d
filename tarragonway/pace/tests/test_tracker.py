import msgspec
import pytest

from tarragonway.pace import (
    MAX_PACE,
    MAX_SENT_PACES,
    MIN_PACE,
    CombinedPaces,
    EndpointPace,
    PaceTracker,
)


def make_tracker(*, usual=1.0, statements=64):
    tracker = PaceTracker()
    for second in range(statements):
        tracker.record_statement("s", "e1", usual, float(second))
    return tracker


# Guards against a choice by a slowdown that has long changed.
def test_old_statement_decays_to_the_long_mean():
    tracker = make_tracker(usual=1.0)
    tracker.record_statement("s", "e1", 5.0, 100.0)
    usual = tracker.get_usual("e1")
    assert usual == pytest.approx(1.0 + 4.0 / 64)
    assert tracker.get_pace("e1", 100.0) == pytest.approx(5.0)
    assert tracker.get_pace("e1", 100.3) < 2.2
    assert tracker.get_pace("e1", 101.0) == pytest.approx(usual)


# Guards against one absurd statement that attracts or excludes an endpoint for good.
def test_paces_are_bounded():
    tracker = PaceTracker()
    tracker.record_statement("s", "e1", 1e7, 0.0)
    tracker.record_statement("s", "e2", 0.01, 0.0)
    assert tracker.get_pace("e1", 0.0) == tracker.get_usual("e1") == MAX_PACE
    assert tracker.get_pace("e2", 0.0) == tracker.get_usual("e2") == MIN_PACE


# Guards against paces of endpoints that report three figures, as earlier ones do.
def test_times_without_a_statement_make_no_pace():
    tracker = PaceTracker()
    assert not tracker.record_time("e1", 900.0, 100.0, 0.0)
    assert tracker.get_pace("e1", 0.0) == tracker.get_usual("e1") == 1.0
    assert not tracker.has_paces("s")
    assert tracker.take_report() == {}


# Guards against reports that repeat measurements, which would then count again.
def test_report_contains_only_new_measurements():
    tracker = make_tracker(usual=2.0, statements=3)
    for taken_ms in (100.0, 300.0, 900.0):
        tracker.record_time("e1", taken_ms, 100.0, 2.0)
    row = tracker.take_report()["s"]["e1"]
    assert (row.slowdown, row.statements) == (200, 3)
    assert (row.ratio, row.times) == (150, 3)
    assert tracker.take_report() == {}


# Guards against messages that grow with the number of endpoints.
def test_report_of_many_endpoints_is_divided():
    tracker = PaceTracker()
    for number in range(MAX_SENT_PACES + 5):
        tracker.record_statement("s", f"e{number}", 1.0, 0.0)
    assert len(tracker.take_report()["s"]) == MAX_SENT_PACES
    assert len(tracker.take_report()["s"]) == 5


# Guards against an own statement that changes what all gateways have learned.
def test_shared_paces_take_precedence_over_own_means():
    tracker = make_tracker(usual=1.0, statements=4)
    tracker.set_shared({"s": {"e1": EndpointPace(150, 200)}})
    tracker.record_statement("s", "e1", 1.0, 50.0)
    assert tracker.get_usual("e1") == pytest.approx(3.0)
    assert tracker.get_pace("e1", 50.0) == pytest.approx(2.0)


def test_unlisted_endpoints_are_forgotten():
    tracker = make_tracker()
    tracker.retain([])
    assert not tracker.has_paces("s")
    assert tracker.get_usual("e1") == 1.0


# Guards against a leader that learns nothing from gateways with few measurements each.
def test_leader_combines_the_measurements_of_many_gateways():
    combined = CombinedPaces()
    for gateway in range(80):
        tracker = PaceTracker()
        for key, slowdown, pace in (("e1", 1.0, 1.0), ("e2", 1.5, 3.0), ("e3", 1, 1)):
            tracker.record_statement("s", key, slowdown, 0.0)
            wait = 3.0 if gateway % 10 == 0 else 1.2
            tracker.record_time(key, 100.0 * pace * wait, 100.0, 0.0)
        combined.exchange(tracker.take_report(), 8, True, gateway / 40)
    combined.combine(2.0)
    assert combined.get_pace("e1") == pytest.approx(1.0, abs=0.05)
    assert combined.get_pace("e2") == pytest.approx(3.0, abs=0.15)
    shared = combined.list_paces(0, 2.0)
    tracker.set_shared(shared)
    assert tracker.get_usual("e2") == pytest.approx(3.0, abs=0.15)


# Guards against a single gateway with inflated times that decides the pace for all.
def test_outlier_moves_a_combined_ratio_by_a_bounded_factor():
    combined = CombinedPaces()
    tracker = PaceTracker()

    def report(key, factor, times):
        tracker.record_statement("s", key, 1.0, 0.0)
        for _ in range(times):
            tracker.record_time(key, 100.0 * factor, 100.0, 0.0)
        combined.record(tracker.take_report(), 0.0)

    for key in ("e1", "e2", "e3"):
        report(key, 1.0, 10)
    report("e1", 8.0, 10)
    combined.combine(0.0)
    assert combined.get_pace("e1") <= 1.25


# Guards against paces of endpoints whose hardware was replaced long ago.
def test_combined_paces_expire_and_are_cleared():
    combined = CombinedPaces()
    tracker = make_tracker(usual=2.0, statements=20)
    combined.record(tracker.take_report(), 0.0)
    combined.combine(1.0)
    assert combined.get_pace("e1") == 2.0
    combined.combine(400.0)
    assert combined.get_pace("e1") == 1.0


# Guards against replies that grow with the number of endpoints.
def test_reply_sends_many_endpoints_in_turns():
    combined = CombinedPaces()
    keys = {f"e{number}" for number in range(2 * MAX_SENT_PACES + 5)}
    tracker = PaceTracker()
    for key in keys:
        tracker.record_statement("s", key, 1.0, 0.0)
    for _ in range(3):
        combined.record(tracker.take_report(), 0.0)
    replies = [combined.exchange({}, 8 * turn, True, 0.0)["s"] for turn in range(3)]
    assert all(len(reply) <= MAX_SENT_PACES for reply in replies)
    assert {key for reply in replies for key in reply} == keys
    assert combined.exchange({}, 9, False, 0.0) == {}


# Guards against paces that use up the gateways' share of the links: under 1 KB/s with a
# report and a reply every 2 seconds.
def test_messages_of_45_endpoints_are_small():
    tracker = PaceTracker()
    combined = CombinedPaces()
    for number in range(45):
        tracker.record_statement("service-1", f"replica-{number}@17", 1.33, 0.0)
        tracker.record_time(f"replica-{number}@17", 170.0, 100.0, 0.0)
    report = tracker.take_report()
    reply = combined.exchange(report, 8, True, 0.0)
    assert len(reply["service-1"]) == 45
    sizes = [len(msgspec.msgpack.encode(part)) for part in (report, reply)]
    assert sum(sizes) / 2 < 1000
