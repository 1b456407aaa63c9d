"""Waves of reclaims: three zones lose their reclaimable endpoints within some seconds.

The load pattern is that of the hardest day of a deployment with three zones: 90
reclaimable endpoints, a need of 30, and notices at 7.2 s, 11.3 s and 13.2 s.
"""

import collections

import pytest
import structlog

from tarragonway.capacity.fleet import EndpointKind, FleetState, plan_fleet
from tarragonway.capacity.reclaim_insurance import (
    INSURED_FRACTION,
    WAVE_TIMEOUT_S,
    ReclaimInsurance,
    infer_former_need,
)
from tarragonway.core.counters import Counters
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.routes.model import ScalingTraits

ZONES = ("a", "b", "c")
TRAITS = ScalingTraits(1, 60, 4.0, 0.18, {"a": 1.0, "b": 1.0, "c": 1.0})
NEEDED = 30
NOTICES = {"a": 7.2, "b": 11.3, "c": 13.2}
NOTICE_S = 2.9
UNAVAILABLE_S = 13.0
STEP_S = 0.4


def play(insurance, until_s=40.0):
    """Return the numbers of serving endpoints and of on-demand ones by time."""
    on_demand, booting, rows = 0, [], {}
    reclaimed = set()
    for step in range(int(until_s / STEP_S)):
        now = step * STEP_S
        noticed = {zone for zone, at in NOTICES.items() if at <= now}
        away = {z for z in noticed if now < NOTICES[z] + UNAVAILABLE_S + TRAITS.boot_s}
        if insurance is not None and noticed - reclaimed:
            insurance.record_notice("s", now)
        reclaimed |= noticed
        on_demand += sum(n for at, n in booting if at <= now)
        booting = [(at, n) for at, n in booting if at > now]
        listed = {EndpointKind(z, True): 30 for z in ZONES if z not in away}
        listed[EndpointKind("a", False)] = on_demand
        expected = collections.Counter(listed)
        expected[EndpointKind("a", False)] += sum(n for _, n in booting)
        state = FleetState(listed, expected, frozenset(away))
        insured = 0
        if insurance is not None:
            insured = insurance.compute_insured("s", NEEDED, state, now)
        state = FleetState(listed, expected, frozenset(away), insured=insured)
        plan = plan_fleet(TRAITS, ZONES, NEEDED, state)
        wanted = sum(n for kind, n in plan.items() if not kind.reclaimable)
        ordered = on_demand + sum(n for _, n in booting)
        if wanted > ordered:
            booting.append((now + TRAITS.boot_s, wanted - ordered))
        elif wanted < ordered:
            booting, on_demand = [], min(on_demand, wanted)
        # Endpoints with a notice serve until they are stopped.
        serving = sum(30 for z in ZONES if z not in away or now < NOTICES[z] + NOTICE_S)
        rows[round(now, 1)] = (serving + on_demand, on_demand)
    return rows


# Guards against a service without any endpoint after the third reclaim of a wave.
def test_insured_fraction_is_left_after_all_reclaims():
    with structlog.testing.capture_logs() as logs:
        rows = play(ReclaimInsurance(Counters()))
    assert min(total for total, _ in rows.values()) >= NEEDED * INSURED_FRACTION
    assert min(total for total, _ in play(None).values()) < NEEDED * INSURED_FRACTION
    events = [row["event"] for row in logs]
    assert events == ["on-demand insurance ordered", "on-demand insurance given up"]
    assert rows[39.6][1] == 0


def make_state(lost=()):
    serving = {EndpointKind(z, True): 0 if z in lost else 30 for z in ZONES}
    return FleetState(serving, serving, frozenset(lost))


# Guards against on-demand endpoints that are paid for long after a wave, or although
# reclaimable endpoints are back.
@pytest.mark.parametrize(
    ("lost", "after_s", "insured"),
    [
        ("a", 0.0, 18),
        ("a", WAVE_TIMEOUT_S - 0.1, 18),
        ("a", WAVE_TIMEOUT_S, 0),
        ("", 1.0, 0),
    ],
)
def test_insurance_ends(lost, after_s, insured):
    insurance = ReclaimInsurance(Counters())
    assert insurance.compute_insured("s", NEEDED, make_state("a"), 0.0) == 0
    insurance.record_notice("s", 1.0)
    assert insurance.compute_insured("s", NEEDED, make_state("a"), 1.0) == 18
    state = make_state(lost)
    assert insurance.compute_insured("s", NEEDED, state, 1.0 + after_s) == insured


def list_rows(**leaving_by_zone):
    return [
        ListedEndpoint(
            f"{zone}{n}", f"{zone}{n}", "s", "127.0.0.1:1", zone, 4, leaving, True
        )
        for zone, leaving in leaving_by_zone.items()
        for n in range(30)
    ]


# Guards against a new leader that infers no need, or three times the need, while
# endpoints have their notice.
@pytest.mark.parametrize(
    "leaving",
    [{"a": True, "b": False, "c": False}, {"b": True, "c": False}, {"c": True}],
)
def test_former_need_is_inferred_during_a_wave(leaving):
    assert infer_former_need(list_rows(**leaving), ZONES) == NEEDED
