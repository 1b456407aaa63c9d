import msgspec
import pytest

from tarragonway.coordinator.machine import CoordinatorMachine, PutVersions
from tarragonway.rollouts import RolloutOrder, RolloutState
from tarragonway.rollouts.store import (
    BeginRollout,
    EndRollout,
    RolloutAccepted,
    RolloutConflict,
    list_unusable,
)

NEW, REPEATED = RolloutAccepted(True), RolloutAccepted(False)


@pytest.fixture
def machine():
    return CoordinatorMachine()


@pytest.fixture
def begin(machine):
    def begin(version, at_s, service="s", deadline_s=12.0):
        order = RolloutOrder(service, version, deadline_s)
        return machine.apply(BeginRollout(order, at_s, 10.0))

    return begin


@pytest.fixture
def end(machine):
    def end(state, at_s, replaced=(), service="s"):
        number = machine.rollouts.rollouts[service].number
        machine.apply(EndRollout(number, state, at_s, replaced))

    return end


# Guards against a second start of an order whose response was lost.
def test_repeat_does_not_start_again(machine, begin, end):
    assert begin("v2", 100.0) == NEW
    assert begin("v2", 103.0) == REPEATED
    end(RolloutState.ROLLED_BACK, 104.0)
    assert begin("v2", 109.9) == REPEATED
    assert machine.rollouts.rollouts["s"].number == 1
    assert machine.rollouts.revision == 2


# Guards against an operator who cannot order a version again after its rollback.
def test_same_text_is_a_new_order_later(machine, begin, end):
    begin("v2", 100.0)
    assert begin("v2", 130.0) == REPEATED
    end(RolloutState.ROLLED_BACK, 131.0)
    assert begin("v2", 132.0) == NEW
    assert machine.rollouts.rollouts["s"].number == 2
    assert machine.rollouts.rollouts["s"].is_in_progress


# Guards against the rejection of a repeat that arrives after a later order has begun.
def test_delayed_repeat_is_acknowledged_during_a_later_order(machine, begin, end):
    begin("v2", 100.0)
    end(RolloutState.ROLLED_BACK, 103.0)
    assert begin("v3", 104.0) == NEW
    assert begin("v2", 105.0) == REPEATED
    assert machine.rollouts.rollouts["s"].order.version == "v3"


# Guards against two versions that take the place of one service's old one at a time.
def test_other_order_is_rejected_while_one_is_in_progress(begin):
    begin("v2", 100.0)
    assert begin("v3", 101.0) == RolloutConflict("v2")
    assert begin("v2", 101.0, deadline_s=30.0) == RolloutConflict("v2")
    assert begin("v3", 101.0, service="t") == NEW


# Guards against a repeat that starts again as the new leader's clock is behind.
def test_clock_of_another_proposer_may_be_behind(begin, end):
    begin("v2", 100.0)
    end(RolloutState.ROLLED_BACK, 103.0)
    assert begin("v2", 98.0) == REPEATED


# Guards against an end that two leaders propose, with the later one taking effect.
def test_first_end_holds(machine, begin, end):
    begin("v2", 100.0)
    end(RolloutState.ROLLED_BACK, 103.0)
    end(RolloutState.COMPLETED, 104.0, ("v1",))
    rollout = machine.rollouts.rollouts["s"]
    assert (rollout.state, rollout.ended_s) == (RolloutState.ROLLED_BACK, 103.0)
    machine.apply(EndRollout(99, RolloutState.COMPLETED, 104.0))
    assert machine.rollouts.revision == 2


# Guards against requests to a version that an earlier order has ended: gateways know
# the latest rollout of a service only.
def test_later_order_excludes_what_earlier_ones_ended(machine, begin, end):
    begin("v2", 100.0)
    end(RolloutState.ROLLED_BACK, 103.0)
    begin("v3", 120.0)
    assert machine.rollouts.rollouts["s"].excluded == ("v2",)
    end(RolloutState.COMPLETED, 130.0, ("v1",))
    assert list_unusable(machine.rollouts.rollouts["s"]) == {"v1", "v2"}
    begin("v2", 150.0)
    assert machine.rollouts.rollouts["s"].excluded == ("v1",)
    end(RolloutState.ROLLED_BACK, 160.0)
    assert list_unusable(machine.rollouts.rollouts["s"]) == {"v1", "v2"}


# Guards against orders that are lost with a snapshot, and against a release that cannot
# read the snapshot of the one before.
def test_rollouts_survive_a_snapshot(machine, begin, end):
    begin("v2", 100.0)
    end(RolloutState.COMPLETED, 110.0, ("v1",))
    restored = CoordinatorMachine()
    restored.restore(machine.encode())
    assert restored.rollouts == machine.rollouts
    assert (
        restored.apply(BeginRollout(RolloutOrder("s", "v2", 12.0), 105.0, 10.0))
        == REPEATED
    )


def test_snapshot_of_an_earlier_release_has_no_rollouts(machine, begin):
    machine.apply(PutVersions({"s": ("v1",)}))
    state = msgspec.msgpack.decode(machine.encode())
    del state["rollouts"]
    restored = CoordinatorMachine()
    restored.restore(msgspec.msgpack.encode(state))
    assert restored.versions == {"s": ("v1",)}
    assert restored.rollouts.rollouts == {}
    assert CoordinatorMachine().rollouts.rollouts == {}


def test_commands_pass_through_the_log(machine):
    for command in (
        BeginRollout(RolloutOrder("s", "v2", 12.0), 100.0, 10.0),
        EndRollout(1, RolloutState.COMPLETED, 110.0, ("v1",)),
    ):
        machine.apply_payload(machine.encode_command(command, 0))
    assert machine.rollouts.rollouts["s"].replaced == ("v1",)
