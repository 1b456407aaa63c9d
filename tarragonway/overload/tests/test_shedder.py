import random

import msgspec
import pytest

from tarragonway.core.counters import Counters
from tarragonway.exchange import Load
from tarragonway.overload import AdmittedRow, LoadKey, LoadShedder, SheddingPlanner

KEY = LoadKey(2, 2, "a")


@pytest.fixture
def shedder():
    """Shedder of a full service, of which half is admitted."""
    shedder = LoadShedder(random.Random(1))
    shedder.set_admitted(1, {"s": (AdmittedRow("a", 2, 2, 50),)}, 0.0)
    for _ in range(3):
        shedder.record_load("s", Load(12, 3, 12), 0.0)
    return shedder


def decide(shedder, now=0.0, key=KEY, time_left_s=2.5):
    return shedder.decide("s", key, time_left_s, now)


def test_fraction_is_admitted_evenly(shedder):
    admitted = [decide(shedder) == 0 for _ in range(100)]
    assert sum(admitted) == pytest.approx(50, abs=1)
    assert all(any(admitted[n : n + 2]) for n in range(98))


# Guards against refusals by old fractions while endpoints have free slots.
@pytest.mark.parametrize("running", [0, 3, 6, 9, 11])
def test_nothing_is_refused_while_endpoints_have_free_slots(shedder, running):
    for _ in range(12):
        shedder.record_load("s", Load(running, 0, 12), 0.5)
    assert all(decide(shedder, 0.5) == 0 for _ in range(20))


def test_nothing_is_refused_without_recent_loads(shedder):
    assert all(decide(shedder, 1.5) == 0 for _ in range(20))


# Guards against refusals by a gateway that no longer hears from the leader.
def test_fractions_end_without_a_leader(shedder):
    for _ in range(3):
        shedder.record_load("s", Load(12, 3, 12), 2.1)
    assert all(decide(shedder, 2.1) == 0 for _ in range(20))


def test_end_of_the_overload_ends_refusals(shedder):
    shedder.set_admitted(-1, None, 0.1)
    assert all(decide(shedder, 0.1) == 0 for _ in range(20))
    assert shedder.version == -1


def test_account_without_a_fraction_is_admitted(shedder):
    other = LoadKey(2, 2, "b")
    assert all(decide(shedder, key=other) == 0 for _ in range(20))


# Guards against refused callers who return together or after their time.
def test_returns_are_spread_within_the_callers_time(shedder):
    for _ in range(3):
        shedder.record_load("s", Load(12, 3, 12), 1.5)
    waits = [wait for _ in range(200) if (wait := decide(shedder, 1.5)) > 0]
    assert max(waits) <= 2.5 / 3
    slots = [int(wait / 0.01) for wait in waits]
    assert max(slots.count(slot) for slot in slots) <= 30


def make_offered(accounts, work_s, now=0.0):
    shedder = LoadShedder(random.Random(2))
    for account in range(accounts):
        for rank in (0, 1, 2):
            key = LoadKey(rank, rank, f"account-{account}")
            shedder.record_offered("service", key, work_s, now)
    return shedder.list_offered(True, now)


# Guards against a message of more than 1 KB a second.
def test_messages_are_small():
    offered = make_offered(16, 0.3)
    assert len(msgspec.msgpack.encode(offered)) < 1024
    planner = SheddingPlanner(lambda: {"service": 1.0}, Counters())
    planner.record("g", offered, 0.0)
    admitted = planner.list_admitted(-1, 0.0)
    assert len(msgspec.msgpack.encode(admitted)) < 1024
    # The fractions are sent once, and new ones at most once a second.
    assert planner.list_admitted(planner.version, 0.1) is None


def test_load_is_reported_early_only_if_it_changes_much():
    shedder = LoadShedder(random.Random(2))
    for _ in range(10):
        shedder.record_offered("s", KEY, 0.3, 5.0)
    assert shedder.list_offered(True, 5.0)
    for _ in range(5):
        shedder.record_offered("s", KEY, 0.3, 6.1)
    assert shedder.list_offered(False, 6.1) is None
    for _ in range(20):
        shedder.record_offered("s", KEY, 0.3, 6.2)
    assert shedder.list_offered(False, 6.2)


def test_gateway_without_load_reports_none():
    assert LoadShedder(random.Random(2)).list_offered(True, 5.0) is None


# Guards against fractions of a former leader, or of a load that has ended.
def test_plan_ends_with_the_load():
    planner = SheddingPlanner(lambda: {"service": 1.0}, Counters())
    planner.record("g", make_offered(16, 0.3), 0.0)
    assert planner.list_admitted(-1, 0.0)
    planner.record("g", make_offered(1, 0.3), 0.6)
    assert planner.list_admitted(planner.version, 0.6) is None
    assert planner.version == -1
    planner.record("g", make_offered(16, 0.3), 2.0)
    assert planner.list_admitted(-1, 2.0)
    planner.clear()
    assert planner.list_admitted(-1, 3.0) is None
    assert planner.version == -1


def test_service_with_enough_capacity_is_not_planned():
    planner = SheddingPlanner(lambda: {"service": 100.0}, Counters())
    planner.record("g", make_offered(16, 0.3), 0.0)
    assert planner.list_admitted(-1, 0.0) is None
