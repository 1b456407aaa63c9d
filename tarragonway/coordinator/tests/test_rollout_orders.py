import asyncio

import msgspec
import pytest

from tarragonway.coordinator.leader_calls import LeaderCalls
from tarragonway.coordinator.machine import CoordinatorMachine
from tarragonway.coordinator.operators import OperatorInterface
from tarragonway.coordinator.rollout_orders import RolloutOrderInterface
from tarragonway.coordinator.tests.test_operators import FakeDriver, FakeWriter
from tarragonway.core.clock import WallClock
from tarragonway.core.counters import Counters
from tarragonway.http1.response import Request
from tarragonway.platform.rollouts import CALLS
from tarragonway.replication import NotLeader
from tarragonway.rollouts import RolloutState
from tarragonway.rollouts.store import EndRollout
from tarragonway.routes.model import Configuration, ConnectionLimits, Service

BEGIN, READ = "/v1/Rollouts.Begin", "/v1/Rollouts.Read/"
SERVICES = (Service("s", "/", 0), Service("a/b é", "/", 0))


class Coordinator:
    """One process's calls, with a log that commits at once unless told otherwise."""

    def __init__(self):
        self.machine = CoordinatorMachine()
        self.driver = FakeDriver(self.machine)
        self.services = SERVICES
        self.leader = ""
        self.has_rollouts = True

    async def call(self, method, path, body=b""):
        counters = Counters()
        calls = LeaderCalls(self.driver, lambda: self.leader, counters)
        rollouts = RolloutOrderInterface(
            self.driver,
            self.machine,
            WallClock(),
            lambda: Configuration(1, (), self.services, ConnectionLimits()),
            5.0,
            CALLS,
            calls,
            counters,
        )
        interface = OperatorInterface(
            self.driver,
            self.machine,
            None,
            None,
            ("/put", "/get"),
            lambda: self.leader,
            counters,
            rollouts if self.has_rollouts else None,
        )
        writer = FakeWriter()
        await interface.handle(Request(method, path, [], body, 0.0), writer)
        return writer.status, writer.body

    async def begin(self, service="s", to="v2", deadline_s=12):
        order = {"service": service, "to": to, "deadline_s": deadline_s}
        return await self.call("POST", BEGIN, msgspec.json.encode(order))


@pytest.fixture
def coordinator():
    return Coordinator()


async def test_order_is_acknowledged_and_can_be_read(coordinator):
    assert await coordinator.begin() == (200, b"{}")
    status, body = await coordinator.call("GET", READ + "s?x=1")
    assert status == 200
    assert msgspec.json.decode(body) == {"state": "in_progress", "to": "v2"}
    number = coordinator.machine.rollouts.rollouts["s"].number
    coordinator.machine.apply(EndRollout(number, RolloutState.ROLLED_BACK, 1.0))
    assert b"rolled_back" in (await coordinator.call("GET", READ + "s"))[1]


async def test_name_of_a_service_may_need_encoding(coordinator):
    assert (await coordinator.begin(service="a/b é"))[0] == 200
    assert (await coordinator.call("GET", READ + "a%2Fb%20%C3%A9"))[0] == 200
    assert (await coordinator.call("GET", READ + "s"))[0] == 404
    assert (await coordinator.call("GET", READ + "%ff%"))[0] == 404


# Guards against a second start by a repeat at any coordinator.
async def test_repeated_order_is_acknowledged(coordinator):
    for _ in range(3):
        assert (await coordinator.begin())[0] == 200
    assert coordinator.machine.rollouts.revision == 1


async def test_other_order_names_the_version_in_progress(coordinator):
    await coordinator.begin()
    status, body = await coordinator.begin(to="v3")
    assert (status, b"v2" in body) == (409, True)
    assert (await coordinator.begin(service="a/b é", to="v3"))[0] == 200


async def test_unknown_service_is_named(coordinator):
    status, body = await coordinator.begin(service="x")
    assert (status, b"service: 'x' is unknown" in body) == (400, True)


# Guards against the rejection of an accepted order whose service has been removed.
async def test_repeat_is_acknowledged_after_the_service_has_been_removed(coordinator):
    await coordinator.begin()
    coordinator.services = ()
    assert (await coordinator.begin())[0] == 200
    assert (await coordinator.begin(to="v3"))[0] == 400


# Guards against a former leader that ends an operator's call, as it does not know a
# service that its successor has put into force.
async def test_former_leader_does_not_reject_an_unknown_service(coordinator):
    async def refuse():
        return NotLeader("not the leader")

    coordinator.driver.confirm_read_index = refuse
    assert (await coordinator.begin(service="x"))[0] == 503
    assert (await coordinator.call("GET", READ + "s"))[0] == 503


# Guards against an acknowledgement of an order that is lost with its leader.
async def test_order_is_not_acknowledged_before_it_is_committed(coordinator):
    async def propose(command):
        return NotLeader("no longer the leader")

    coordinator.driver.propose = propose
    assert (await coordinator.begin())[0] == 503
    coordinator.driver.propose = lambda command: asyncio.sleep(60)
    async with asyncio.timeout(2.0):
        assert (await coordinator.begin())[0] == 503


async def test_follower_redirects_to_the_leader(coordinator):
    coordinator.driver.is_leader = False
    assert (await coordinator.begin())[0] == 503
    coordinator.leader = "10.0.0.9:80"
    assert (await coordinator.begin())[0] == 307
    assert (await coordinator.call("GET", READ + "s"))[0] == 307
    # An invalid order needs no leader.
    assert (await coordinator.begin(to=""))[0] == 400


# Guards against calls that take effect where the deployment has no rollouts.
async def test_calls_are_unknown_without_bounds(coordinator):
    coordinator.has_rollouts = False
    assert (await coordinator.begin())[0] == 404
    assert (await coordinator.call("GET", READ + "s"))[0] == 404


@pytest.mark.parametrize(
    ("method", "path"), [("GET", BEGIN), ("POST", READ + "s"), ("PUT", BEGIN)]
)
async def test_other_methods_are_unknown(coordinator, method, path):
    assert (await coordinator.call(method, path))[0] == 404


# Guards against a connection that is cut without an answer.
@pytest.mark.parametrize(
    "body", [b"[" * 5000, b'{"a":' * 5000, b'{"deadline_s": ' + b"9" * 5000, b"\xff"]
)
async def test_odd_body_is_rejected(coordinator, body):
    assert (await coordinator.call("POST", BEGIN, body))[0] == 400
