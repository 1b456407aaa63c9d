import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from tarragonway.coordinator.machine import (
    CoordinatorMachine,
    PutConfiguration,
    PutHeldParts,
)
from tarragonway.coordinator.part_holds import PartHolds
from tarragonway.coordinator.suspects import CRASH_RETENTION_S, SuspectedContents
from tarragonway.core.counters import Counters
from tarragonway.links.link import encode_message
from tarragonway.links.messages import (
    CrashReport,
    HeldParts,
    PartsContinued,
    PartsEnded,
    ProbeReply,
    ProbeRequest,
)
from tarragonway.quarantine import HeldPart, PartCrash, PartQuarantine


class FakeLink:
    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def send_encoded(self, frame):
        self.sent.append(frame)


class FakeDriver:
    """Applies each proposal at once."""

    def __init__(self, machine):
        self.machine = machine
        self.is_leader = True
        self.replica = SimpleNamespace(term=1)
        self.proposed = []

    async def propose(self, command):
        self.proposed.append(command)
        return self.machine.apply(command)


@pytest.fixture
def coordinator():
    machine = CoordinatorMachine()
    machine.apply(PutConfiguration(1, b""))
    quarantine, suspects = PartQuarantine(), SuspectedContents()
    driver, link = FakeDriver(machine), FakeLink()
    holds = PartHolds(quarantine, suspects, driver, machine, lambda: [link], Counters())
    return SimpleNamespace(
        holds=holds,
        quarantine=quarantine,
        suspects=suspects,
        driver=driver,
        machine=machine,
        link=link,
    )


async def run_shortly(holds):
    task = asyncio.create_task(holds.run())
    await asyncio.sleep(0.2)
    task.cancel()
    await asyncio.wait([task])


async def test_leader_commits_and_publishes_held_parts(coordinator):
    coordinator.holds.restore()
    now = asyncio.get_running_loop().time()
    for endpoint in ("e1", "e2"):
        crash = PartCrash(endpoint, f"content at {endpoint}", now, now - 5.0)
        coordinator.quarantine.record_crash(["p"], crash)
    await run_shortly(coordinator.holds)
    assert coordinator.machine.held == {"p": HeldPart(("e1", "e2"), 0)}
    assert encode_message(HeldParts(1, ("p",))) in coordinator.link.sent


# Guards against a quarantine that ends with its leader.
async def test_new_leader_takes_over_the_held_parts(coordinator):
    coordinator.machine.apply(
        PutHeldParts({"p": HeldPart(("e1", "e2", "e3", "e4"), 1)})
    )
    await run_shortly(coordinator.holds)
    assert coordinator.machine.held == {"p": HeldPart(("e1", "e2", "e3", "e4"), 1)}
    coordinator.holds.handle(coordinator.link, "g", ProbeRequest(7, ("p",)))
    reply = coordinator.link.sent[-1]
    assert isinstance(reply, ProbeReply)
    assert reply.wait_s > 0


# Guards against the release of a part that crashes endpoints after they have begun.
async def test_answer_that_continues_releases_nothing(coordinator):
    coordinator.machine.apply(PutHeldParts({"p": HeldPart(("e1", "e2"), 0)}))
    coordinator.holds.restore()
    await asyncio.sleep(0.01)
    coordinator.holds.handle(coordinator.link, "g", PartsContinued({"p": 0.0}))
    await run_shortly(coordinator.holds)
    assert list(coordinator.machine.held) == ["p"]


async def test_ended_answer_releases_a_part_everywhere(coordinator):
    coordinator.machine.apply(PutHeldParts({"p": HeldPart(("e1", "e2"), 0)}))
    coordinator.holds.restore()
    await asyncio.sleep(0.01)
    coordinator.holds.handle(coordinator.link, "g", PartsEnded({"p": 0.0}))
    await run_shortly(coordinator.holds)
    assert coordinator.machine.held == {}
    assert encode_message(HeldParts(2, ())) in coordinator.link.sent


async def test_process_without_a_configuration_tells_no_held_parts(coordinator):
    holds = PartHolds(
        PartQuarantine(),
        SuspectedContents(),
        FakeDriver(CoordinatorMachine()),
        CoordinatorMachine(),
        lambda: [coordinator.link],
        Counters(),
    )
    holds.send_held(coordinator.link)
    await run_shortly(holds)
    assert not coordinator.link.sent


def test_held_parts_survive_a_snapshot():
    machine, restored = CoordinatorMachine(), CoordinatorMachine()
    machine.apply(PutHeldParts({"p": HeldPart(("e1", "e2", "e3", "e4"), 1)}))
    restored.restore(machine.encode())
    assert restored.held == {"p": HeldPart(("e1", "e2", "e3", "e4"), 1)}
    assert restored.held_revision == 1


def crash_three_endpoints(suspects, fingerprint):
    now = asyncio.get_running_loop().time()
    for endpoint in ("e1", "e2", "e3"):
        suspects.record_crash(CrashReport(fingerprint, endpoint), now)


# Guards against a content that crashes three more endpoints each time that all
# processes have been restarted in turn.
async def test_quarantined_content_outlives_the_memory_of_every_process(coordinator):
    coordinator.holds.restore()
    crash_three_endpoints(coordinator.suspects, "f")
    await run_shortly(coordinator.holds)
    assert encode_message(HeldParts(1, (), ("f",))) in coordinator.link.sent

    machine, suspects, link = CoordinatorMachine(), SuspectedContents(), FakeLink()
    machine.restore(coordinator.machine.encode())
    driver = FakeDriver(machine)
    holds = PartHolds(
        PartQuarantine(), suspects, driver, machine, lambda: [link], Counters()
    )
    holds.send_held(link)
    assert link.sent == [HeldParts(1, (), ("f",))]
    await run_shortly(holds)
    assert suspects.quarantined == ("f",)
    assert machine.held_contents == {"f": ("e1", "e2", "e3")}


async def test_quarantine_of_a_content_ends_in_the_log_when_it_expires(coordinator):
    coordinator.holds.restore()
    crash_three_endpoints(coordinator.suspects, "f")
    await run_shortly(coordinator.holds)
    now = asyncio.get_running_loop().time()
    coordinator.suspects.expire(now + CRASH_RETENTION_S + 1.0)
    await run_shortly(coordinator.holds)
    assert coordinator.machine.held_contents == {}
    assert encode_message(HeldParts(2, ())) in coordinator.link.sent


class EarlierPutHeldParts(msgspec.Struct, tag="PutHeldParts"):
    """The one command on quarantines that earlier releases know."""

    held: dict[str, HeldPart]


# Guards against an entry that ends the coordinators of an earlier release, and each of
# their starts, while coordinators of both releases run.
async def test_earlier_release_can_apply_what_a_leader_proposes(coordinator):
    coordinator.holds.restore()
    crash_three_endpoints(coordinator.suspects, "f")
    await run_shortly(coordinator.holds)
    payloads = [
        coordinator.machine.encode_command(command, 0)
        for command in coordinator.driver.proposed
    ]
    found = [msgspec.msgpack.decode(row, type=EarlierPutHeldParts) for row in payloads]
    assert [row.held for row in found] == [{}]
    # A leader of the earlier release knows of no contents and releases none.
    coordinator.machine.apply_payload(msgspec.msgpack.encode(EarlierPutHeldParts({})))
    assert coordinator.machine.held_contents == {"f": ("e1", "e2", "e3")}
