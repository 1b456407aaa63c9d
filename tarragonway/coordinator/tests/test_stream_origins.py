import asyncio
from types import SimpleNamespace

import pytest

from tarragonway.consensus.tests.cluster import FakeDisk
from tarragonway.coordinator.machine import CoordinatorMachine, PutVersions
from tarragonway.coordinator.origin_store import OriginStore
from tarragonway.coordinator.stream_origins import StreamOrigins
from tarragonway.coordinator.tests.test_part_holds import FakeLink
from tarragonway.core.clock import WallClock
from tarragonway.core.counters import Counters
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.links.link import encode_message
from tarragonway.links.messages import (
    OriginReply,
    OriginRequest,
    StreamsBegan,
    VersionsInService,
)
from tarragonway.versions import StreamOrigin


class FakeDriver:
    """Applies proposals while ``commits`` is set, and else never."""

    def __init__(self, machine):
        self.machine = machine
        self.commits = True
        self.has_applied_restored_log = True
        self.is_leader = True
        self.replica = SimpleNamespace(term=1)

    async def propose(self, command):
        while not self.commits:
            await asyncio.sleep(0.01)
        return self.machine.apply(command)


def make_rows(*versions):
    return [
        ListedEndpoint(
            f"e{n}", f"e{n}", "s", "10.0.0.1:1", "z", 4, False, version=version
        )
        for n, version in enumerate(versions)
    ]


@pytest.fixture
async def coordinator():
    machine, link = CoordinatorMachine(), FakeLink()
    driver, counters = FakeDriver(machine), Counters()
    store = OriginStore(FakeDisk(), WallClock(), counters)
    origins = StreamOrigins(driver, machine, lambda: [link], store, counters)
    return SimpleNamespace(origins=origins, machine=machine, driver=driver, link=link)


# Guards against a version that serves before every gateway can know of it.
async def test_version_is_committed_before_its_endpoints_are_published(coordinator):
    rows = make_rows("v1", "v2")
    assert await coordinator.origins.register(rows[:1]) == rows[:1]
    coordinator.driver.commits = False
    assert await coordinator.origins.register(rows) == rows[:1]
    assert coordinator.machine.versions == {"s": ("v1",)}
    coordinator.driver.commits = True
    await asyncio.sleep(0.05)
    assert await coordinator.origins.register(rows) == rows
    expected = VersionsInService(2, {"s": ("v1", "v2")})
    assert coordinator.link.sent[-1] == encode_message(expected)


# Guards against a new leader that forgets a version whose endpoints have just left.
async def test_new_leader_keeps_the_versions_of_its_predecessor(coordinator):
    coordinator.machine.apply(PutVersions({"s": ("v1",)}))
    rows = make_rows("v2")
    assert await coordinator.origins.register(rows) == rows
    assert coordinator.machine.versions == {"s": ("v1", "v2")}
    restored = CoordinatorMachine()
    restored.restore(coordinator.machine.encode())
    assert restored.versions == coordinator.machine.versions
    assert restored.versions_revision == 2


# Guards against a version that is taken for the only one by a process that restarts.
async def test_versions_are_not_sent_before_the_stored_log_is_applied(coordinator):
    coordinator.machine.apply(PutVersions({"s": ("v1",)}))
    coordinator.driver.has_applied_restored_log = False
    coordinator.origins.send_versions(coordinator.link)
    assert not coordinator.link.sent
    coordinator.driver.has_applied_restored_log = True
    coordinator.origins.send_versions(coordinator.link)
    assert coordinator.link.sent == [VersionsInService(1, {"s": ("v1",)})]


async def test_follower_answers_from_the_records_of_gateways(coordinator):
    coordinator.driver.is_leader = False
    origin = StreamOrigin("s", "v1")
    link = coordinator.link
    coordinator.origins.handle(link, StreamsBegan(origin, (1, 2), (15, 15)))
    for key in (2, 3):
        coordinator.origins.handle(link, OriginRequest(key, key))
    assert link.sent == [OriginReply(2, (origin,)), OriginReply(3, ())]


# Guards against rows of a service with many versions that are never published.
async def test_rows_beyond_the_longest_history_are_published(coordinator):
    rows = make_rows(*(f"v{n}" for n in range(20)))
    assert await coordinator.origins.register(rows) == rows
    assert len(coordinator.machine.versions["s"]) == 16
