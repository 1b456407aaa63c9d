import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.quarantine import (
    HeldPart,
    PartCrash,
    PartQuarantine,
    PartTimes,
    ProbeId,
)
from tarragonway.quarantine.part_record import HOLD_DELAY_S
from tarragonway.quarantine.part_times import MAX_PARTS
from tarragonway.quarantine.parts import (
    JOINT_PROBE_DELAY_S,
    MAX_RECORDS,
    PROBE_BACKOFF_S,
    PROBE_TIMEOUT_S,
    PROBE_WAIT_S,
    RETENTION_S,
)
from tarragonway.quarantine.tests.fleet import Fleet, FleetSpec

# The users' ``contact_ms`` of a small and of the large deployment.
CONTACT_S = 3.0
MAX_LATE_SENDS = 3


def record_crash(
    quarantine, endpoint, parts, crashed_at, now, probe=None, content="", lasted_s=0.0
):
    content = content or f"content at {endpoint}"
    crash = PartCrash(endpoint, content, crashed_at, now, lasted_s)
    quarantine.record_crash(parts, crash, probe)


def hold(quarantine, *parts, now=0.0):
    for endpoint in ("e1", "e2"):
        record_crash(quarantine, endpoint, parts, now, now)
    quarantine.update(now + HOLD_DELAY_S)
    return now + HOLD_DELAY_S


def ask(quarantine, parts, now, number=1):
    return quarantine.request_probe(parts, ProbeId("g", number), now)


# Guards against a part that crashes engine after engine, in any fleet.
@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10**6),
    gateways=st.sampled_from([1, 3, 8, 40, 200]),
    share=st.floats(0.01, 0.3),
    position=st.integers(0, 2),
    sessions=st.integers(1, 60),
    innocent=st.sampled_from([0.0, 0.3, 1.0]),
    delay_s=st.floats(0.002, 0.2),
    loss=st.sampled_from([0.0, 0.05, 0.2]),
)
def test_harmful_part_is_contained_and_sound_requests_begin(
    seed, gateways, share, position, sessions, innocent, delay_s, loss
):
    spec = FleetSpec(
        seed,
        gateways,
        harmful_share=share,
        harmful_position=position,
        sessions=sessions,
        innocent_crashes_per_s=innocent,
        max_delay_s=delay_s,
        loss=loss,
    )
    fleet = Fleet(spec).run()
    assert fleet.count_late_arrivals(CONTACT_S) <= MAX_LATE_SENDS
    bound_from = (fleet.harmful_crashes[:5] or [spec.harmful_from])[-1]
    before = fleet.compute_served(0.0, spec.harmful_from)
    after = fleet.compute_served(bound_from + 2 * CONTACT_S, spec.harmful_to)
    assert math.isnan(after) or after >= before / 2


# Guards against a harmful part that is not held because of how many parts a prompt has:
# behind many sound ones, or among many that no other request has.
@pytest.mark.parametrize(
    ("position", "common", "own", "harmful"),
    [(129, 128, 0, 1), (301, 300, 0, 3), (900, 900, 0, 1), (400, 300, 300, 1)],
)
@pytest.mark.parametrize("gateways", [3, 200])
def test_harmful_part_of_a_long_prompt_is_contained(
    position, common, own, harmful, gateways
):
    spec = FleetSpec(
        5,
        gateways,
        requests_per_s=20.0,
        harmful_share=0.15,
        harmful_position=position,
        harmful_parts=harmful,
        common_parts=common,
        own_parts=own,
        end=22.0,
        harmful_to=20.0,
    )
    fleet = Fleet(spec).run()
    assert len(fleet.harmful_crashes) >= 3
    late = fleet.count_late_arrivals(CONTACT_S, crashes=5 * harmful)
    assert late <= MAX_LATE_SENDS * harmful
    before = fleet.compute_served(0.0, spec.harmful_from)
    after = fleet.compute_served(fleet.harmful_crashes[-1] + 2 * CONTACT_S, 20.0)
    assert math.isnan(after) or after >= before / 2


# Guards against crashes beside long prompts that push out the sighting of a part.
def test_part_among_many_thousands_is_held():
    quarantine = PartQuarantine()
    for crash, endpoint in enumerate(("e1", "e2")):
        for request in range(64):
            own = [f"{endpoint}-{request}-{n}" for n in range(1000)]
            parts = [*own, "harmful"] if request == 30 else own
            record_crash(quarantine, endpoint, parts, crash, crash)
    quarantine.update(1.0 + HOLD_DELAY_S)
    assert list(quarantine.held) == ["harmful"]


# Guards against a quarantine that a new leader or a started gateway does not know.
@settings(max_examples=20, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10**6),
    gateways=st.sampled_from([1, 8, 200]),
    leader_changes=st.lists(st.floats(4.5, 24.0), max_size=3),
    restarts=st.lists(st.floats(4.5, 24.0), max_size=6),
)
def test_restarts_and_new_leaders_do_not_send_a_harmful_part_again(
    seed, gateways, leader_changes, restarts
):
    fleet = Fleet(
        FleetSpec(
            seed,
            gateways,
            leader_changes=tuple(leader_changes),
            gateway_restarts=tuple(restarts),
        )
    ).run()
    unstable_until = max((*leader_changes, *restarts, 0.0)) + CONTACT_S
    if len(fleet.harmful_crashes) >= 5:
        limit = max(fleet.harmful_crashes[4] + CONTACT_S, unstable_until)
        late = [at for at, _ in fleet.harmful_arrivals if at > limit]
        assert len(late) <= MAX_LATE_SENDS


# Guards against the quarantine of sound popular parts in a minute of many crashes.
@settings(max_examples=20, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10**6),
    gateways=st.sampled_from([1, 8, 200]),
    crashes_per_s=st.floats(0.2, 2.0),
    sessions=st.integers(1, 60),
)
def test_crashes_without_a_harmful_part_hold_nothing_for_long(
    seed, gateways, crashes_per_s, sessions
):
    spec = FleetSpec(
        seed,
        gateways,
        harmful_share=0.0,
        sessions=sessions,
        innocent_crashes_per_s=crashes_per_s,
    )
    fleet = Fleet(spec).run()
    assert "first" not in fleet.leader.held
    calm = Fleet(FleetSpec(seed, gateways, harmful_share=0.0, sessions=sessions)).run()
    served = fleet.compute_served(5.0, 30.0)
    assert served >= calm.compute_served(5.0, 30.0) / 2


def test_part_beside_the_harmful_one_is_released_by_a_probe_of_it_alone():
    quarantine = PartQuarantine()
    now = hold(quarantine, "session", "harmful")
    assert ask(quarantine, ["session", "harmful"], now) > 0
    assert ask(quarantine, ["session"], now) == 0
    quarantine.record_ended("session", now + 0.2)
    assert list(quarantine.held) == ["harmful"]


def test_parts_that_only_come_together_get_a_joint_probe_later():
    quarantine = PartQuarantine()
    now = hold(quarantine, "a", "b")
    assert ask(quarantine, ["a", "b"], now) == JOINT_PROBE_DELAY_S
    assert ask(quarantine, ["a", "b"], now + JOINT_PROBE_DELAY_S) == 0


def test_one_probe_at_a_time_and_a_lost_one_counts_as_failed():
    quarantine = PartQuarantine()
    now = hold(quarantine, "p")
    assert ask(quarantine, ["p"], now, 1) == 0
    assert ask(quarantine, ["p"], now, 2) == PROBE_WAIT_S
    quarantine.end_probe(ProbeId("g", 1))
    assert ask(quarantine, ["p"], now, 3) == 0
    now += PROBE_TIMEOUT_S
    assert ask(quarantine, ["p"], now, 4) == PROBE_BACKOFF_S
    assert ask(quarantine, ["p"], now + PROBE_BACKOFF_S, 5) == 0


def test_probes_end_after_a_number_of_crashes():
    quarantine = PartQuarantine()
    now = hold(quarantine, "p")
    for number in range(3, 9):
        probe = ProbeId("g", number)
        assert quarantine.request_probe(["p"], probe, now) == 0
        record_crash(quarantine, f"e{number}", ["p"], now, now, probe)
        now += 5000.0 if number < 8 else 0.0
        quarantine._records["p"].requested_at = now
    assert ask(quarantine, ["p"], now + 100.0) == math.inf


def test_hold_ends_once_nobody_asks_any_more():
    quarantine = PartQuarantine()
    now = hold(quarantine, "p")
    quarantine.update(now + RETENTION_S - 1)
    assert quarantine.held
    ask(quarantine, ["p"], now + RETENTION_S - 1)
    quarantine.update(now + RETENTION_S + 2)
    assert quarantine.held
    quarantine.update(now + 2 * RETENTION_S)
    assert not quarantine.held


def test_ended_answer_before_the_crash_is_no_excuse():
    """A part may turn harmful later."""
    quarantine = PartQuarantine()
    for endpoint, at in (("e1", 10.0), ("e2", 11.0)):
        record_crash(quarantine, endpoint, ["p"], at, at)
        quarantine.record_ended("p", 9.0)
    quarantine.update(11.0 + HOLD_DELAY_S)
    assert list(quarantine.held) == ["p"]


def test_answers_of_one_endpoint_to_many_requests_are_one_crash():
    quarantine = PartQuarantine()
    for _ in range(50):
        record_crash(quarantine, "e1", ["p"], 1.0, 1.0)
    quarantine.update(10.0)
    assert not quarantine.held


# Guards against callers whose many parts push out the record of a harmful one.
def test_many_distinct_parts_do_not_push_out_a_part_with_more_crashes():
    quarantine = PartQuarantine()
    record_crash(quarantine, "e1", ["p"], 0.0, 0.0)
    record_crash(quarantine, "e2", ["p"], 0.1, 0.1)
    for number in range(2 * MAX_RECORDS):
        record_crash(quarantine, "e3", [f"x{number}"], 0.2, 0.2)
    assert len(quarantine._records) <= MAX_RECORDS
    quarantine.update(0.1 + HOLD_DELAY_S)
    assert list(quarantine.held) == ["p"]


def test_new_leader_keeps_holds_and_does_not_count_retold_crashes_twice():
    quarantine = PartQuarantine()
    quarantine.restore({"p": HeldPart(("e1", "e2", "e3", "e4"), 1)}, 100.0)
    record_crash(quarantine, "e1", ["p"], 99.0, 100.1)
    assert quarantine.held == {"p": HeldPart(("e1", "e2", "e3", "e4"), 1)}
    quarantine.record_ended("p", 99.5)
    assert quarantine.held
    quarantine.record_ended("p", 100.5)
    assert not quarantine.held


@pytest.mark.parametrize("count", [10, MAX_PARTS])
def test_gateway_reports_answers_from_before_a_part_was_watched(count):
    ended = PartTimes()
    ended.record(["p"], 1.0, 0.0)
    ended.record([f"x{n}" for n in range(count)], 2.0, 0.0)
    ended.watch(["p"])
    assert ended.take(3.0) == ({"p": (2.0, 0.0)} if count < MAX_PARTS else {})


# Guards against a long answer that hides behind the report of a short one.
def test_longest_of_the_answers_that_go_on_is_reported():
    continued = PartTimes()
    continued.watch(["p"])
    continued.record(["p"], 10.0, 4.0)
    continued.record(["p"], 10.2, 0.5)
    assert continued.take(10.25) == {"p": (0.25, 4.0)}
    continued.record(["p"], 10.6, 1.0)
    assert continued.take(10.6) == {"p": (0.0, 1.0)}


def test_crash_that_a_new_leader_has_not_committed_is_counted():
    quarantine = PartQuarantine()
    quarantine.restore({"p": HeldPart(("e1", "e2"), 0)}, 100.0)
    record_crash(quarantine, "e3", ["p"], 99.0, 100.1)
    assert quarantine.held == {"p": HeldPart(("e1", "e2", "e3"), 0)}


def test_new_leader_grants_no_probe_while_a_former_one_may_be_under_way():
    quarantine = PartQuarantine()
    quarantine.restore({"p": HeldPart(("e1", "e2"), 0)}, 100.0)
    assert ask(quarantine, ["p"], 100.1) > 0
    assert ask(quarantine, ["p"], 100.0 + PROBE_TIMEOUT_S) == 0


# Guards against the hold of sound parts by probes of the harmful one beside them.
def test_crash_of_a_proved_part_is_not_counted_for_the_parts_beside_it():
    quarantine = PartQuarantine()
    now = hold(quarantine, "harmful")
    probe = ProbeId("g", 1)
    assert quarantine.request_probe(["session", "harmful"], probe, now) == 0
    record_crash(quarantine, "e3", ["session", "queued"], now, now)
    record_crash(quarantine, "e3", ["session", "harmful"], now, now, probe)
    record_crash(quarantine, "e3", ["session", "other"], now, now)
    assert quarantine.watched == ("harmful", "queued", "session")
    assert list(quarantine._records) == ["harmful"]
    # The explained crash does not count with the next one.
    record_crash(quarantine, "e4", ["session", "queued"], now, now)
    quarantine.update(now + HOLD_DELAY_S)
    assert list(quarantine.held) == ["harmful"]


# Guards against the hold of all parts of a fleet whose engines a new part crashes at
# once, so that no answer can clear the sound ones.
def test_new_part_explains_its_crashes_for_parts_whose_answers_have_ended():
    quarantine = PartQuarantine()
    for endpoint in ("e1", "e2"):
        record_crash(quarantine, endpoint, ["popular", "harmful"], 10.0, 10.0)
    quarantine.record_ended("popular", 9.0)
    quarantine.update(10.0 + HOLD_DELAY_S)
    assert list(quarantine.held) == ["harmful"]


# Guards against a part that crashes engines some time after they have begun an answer,
# and is cleared by answers that have lasted for less or as long.
def test_answers_that_outlive_no_crash_clear_nothing():
    quarantine = PartQuarantine()
    for number in range(4):
        at = float(number)
        record_crash(quarantine, f"e{number}", ["p"], at, at, lasted_s=1.0)
        quarantine.record_lasted("p", 1.2, at + 0.5)
    quarantine.update(3.0 + HOLD_DELAY_S)
    assert list(quarantine.held) == ["p"]


# Guards against the hold of a sound part of long answers that engines' ends break.
def test_answer_that_outlives_the_crashes_clears_the_part():
    quarantine = PartQuarantine()
    for number in range(4):
        at = float(number)
        record_crash(quarantine, f"e{number}", ["p"], at, at, lasted_s=1.0)
    quarantine.record_lasted("p", 2.0, 3.5)
    quarantine.update(3.0 + HOLD_DELAY_S)
    assert not quarantine.held


# Guards against a request that is resumed after ends of engines that have other causes.
def test_crashes_of_one_request_in_the_middle_of_its_answers_hold_nothing():
    quarantine = PartQuarantine()
    for number in range(8):
        at = float(number)
        record_crash(
            quarantine, f"e{number}", ["p"], at, at, content="one", lasted_s=1.0
        )
    quarantine.update(7.0 + HOLD_DELAY_S)
    assert not quarantine.held


# Guards against a joint probe of a part whose own probes have failed.
def test_joint_probe_waits_for_the_backoff_of_each_part():
    quarantine = PartQuarantine()
    now = hold(quarantine, "harmful")
    probe = ProbeId("g", 1)
    quarantine.request_probe(["harmful"], probe, now)
    record_crash(quarantine, "e3", ["harmful"], now, now, probe)
    later = hold(quarantine, "session", now=now) + JOINT_PROBE_DELAY_S
    assert ask(quarantine, ["session"], later) == 0
    quarantine.end_probe(ProbeId("g", 1))
    assert ask(quarantine, ["session", "harmful"], later + 0.1) > 0
    for number in range(4, 9):
        probe = ProbeId("g", number)
        record_crash(quarantine, f"e{number}", ["harmful"], later, later, probe)
    assert ask(quarantine, ["session", "harmful"], later + 5000.0) == math.inf
