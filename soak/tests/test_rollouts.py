"""Rollouts of good and bad versions, with the real programs."""

import asyncio
import contextlib
import itertools
import signal

import msgspec
import pytest

from soak.checks import list_violations
from soak.clients import Client, Operator
from soak.deployment import Deployment, reserve_base_port
from soak.rollouts import CALL_TIMEOUT_S, RolloutOperation
from soak.stubs import VersionFault
from tarragonway.http1 import Call, CallClient, CallResponse
from tarragonway.platform import names

# About 80 requests a second, a third of them streams.
CLIENTS = 12
DEADLINE_S = 12.0
ACK_S = 5.0
# The connected gateways reach a share of 1 at 7.2 s. A gateway that is cut off is
# awaited until 10.2 s, and needs up to a second to connect again.
CUT_OFF_UNTIL_S = 8.7

pytestmark = pytest.mark.timeout(90)


class Load:
    """A deployment under load, and what its clients have received."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.records = []
        self.operator = Operator(deployment, 1)
        self.loop = asyncio.get_running_loop()

    def order(self, service, version="v3", fault=None):
        return RolloutOperation(self.deployment, service, version, DEADLINE_S, fault)

    async def find_leader(self):
        call = Call("GET", names.READ_ROLLOUT_PREFIX + "plain")
        while True:
            for number, address in enumerate(self.deployment.operator_addresses):
                answer = await CallClient(address).call(call, CALL_TIMEOUT_S)
                if isinstance(answer, CallResponse) and answer.status in (200, 404):
                    return self.deployment.coordinators[number]
            await asyncio.sleep(0.1)

    async def kill_leader(self):
        leader = await self.find_leader()
        leader.send(signal.SIGKILL)
        await leader.wait(5.0)

    def count_sent(self, version):
        runs = self.deployment.observations.executions
        return sum(run.version == version for run in runs)

    def list_cut(self, faulty=""):
        """Return the requests without a whole answer, but for the faulty version's.

        The end of the test cuts the last request of each client.
        """
        runs = self.deployment.observations.executions
        excused = {run.attempt for run in runs if faulty and run.version == faulty}
        last = {record.attempt.split("-")[0]: record for record in self.records}
        return [
            (record.attempt, record.status, record.body[-60:])
            for record in self.records
            if not (record.status == 200 and record.complete)
            and record.attempt not in excused
            and record is not last[record.attempt.split("-")[0]]
        ]


@contextlib.asynccontextmanager
async def run_load(tmp_path, service_time_s=0.02):
    deployment = Deployment(tmp_path, reserve_base_port(), 1)
    for endpoint in deployment.endpoints:
        endpoint.version, endpoint.service_time_s = "v1", service_time_s
    tasks = []
    try:
        await deployment.start()
        load = Load(deployment)
        async with asyncio.timeout(20.0):
            await load.operator.replace_configuration(0)
        deployment.disable_bootstrap()
        await asyncio.sleep(2.0)
        clients = [Client(deployment, n, load.records) for n in range(CLIENTS)]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(1.0)
        yield load
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await deployment.stop()


def check(load, operation, state):
    """Check the end, the exposure, each stream and each answer."""
    observations = load.deployment.observations
    assert operation.state == state
    assert operation.acknowledged_at - operation.ordered_at <= ACK_S
    assert not operation.list_violations()
    assert not list_violations(load.records, observations, load.operator)
    if state == "completed":
        assert operation.ended_at - operation.ordered_at < DEADLINE_S
        assert operation.cut == 0


# Guards against a good version that is not completed in time, and against requests that
# the stop of the old endpoints cuts.
@pytest.mark.parametrize("service", ["plain", "model"])
async def test_good_version_is_completed_without_a_cut_request(tmp_path, service):
    async with run_load(tmp_path) as load:
        operation = load.order(service)
        await operation.run()
        await asyncio.sleep(1.0)
    check(load, operation, "completed")
    assert not load.list_cut()


# Guards against too many requests at a bad version, and against requests that reach it
# after the rollback.
@pytest.mark.parametrize(
    ("service", "fault"),
    [
        pytest.param("plain", VersionFault(), id="at-once"),
        pytest.param("model", VersionFault(), id="streams"),
        pytest.param("plain", VersionFault(after=30), id="late"),
        pytest.param("plain", VersionFault(prefix="/read/"), id="one-route"),
        pytest.param("plain", VersionFault(slow_factor=6.0), id="slow"),
        pytest.param("plain", VersionFault(1.0, over=1), id="under-load"),
    ],
)
async def test_bad_version_is_rolled_back(tmp_path, service, fault):
    fault = msgspec.structs.replace(fault, bad_at=[])
    async with run_load(tmp_path, 0.1 if fault.over else 0.02) as load:
        operation = load.order(service, fault=fault)
        await operation.run()
    check(load, operation, "rolled_back")
    assert load.count_sent("v3") > 0
    assert not load.list_cut(faulty="v3")


# Guards against an acknowledged order, or the exposure until then, that is lost with
# the leader.
@pytest.mark.parametrize("fault", [None, VersionFault()], ids=["good", "bad"])
@pytest.mark.parametrize("when", ["acknowledged", "raised"])
async def test_order_and_exposure_survive_the_leader(tmp_path, when, fault):
    if fault is not None:
        fault = msgspec.structs.replace(fault, bad_at=[])
    async with run_load(tmp_path) as load:
        operation = load.order("plain", fault=fault)
        await operation.order()
        task = asyncio.create_task(operation.serve())
        while when == "raised" and not load.count_sent("v3"):
            await asyncio.sleep(0.01)
        await load.kill_leader()
        await task
    check(load, operation, "completed" if fault is None else "rolled_back")


# Guards against an order that is lost with all processes of the log.
async def test_order_survives_the_loss_of_all_coordinators(tmp_path):
    async with run_load(tmp_path) as load:
        operation = load.order("plain")
        await operation.order()
        coordinators = load.deployment.coordinators
        for process in coordinators:
            process.send(signal.SIGKILL)
        for process in coordinators:
            await process.wait(5.0)
            await process.start()
        while not (state := await operation.read()):
            await asyncio.sleep(0.1)
        assert state == "in_progress"
        await operation.serve()
    check(load, operation, "completed")


# Guards against a gateway whose requests are cut, or exceed the exposure, because it
# does not hear of the rollout.
@pytest.mark.parametrize(
    ("service", "fault"),
    [
        pytest.param("plain", None, id="good"),
        pytest.param("model", None, id="good-streams"),
        pytest.param("plain", VersionFault(), id="bad"),
    ],
)
async def test_gateway_is_cut_off_during_a_rollout(tmp_path, service, fault):
    if fault is not None:
        fault = msgspec.structs.replace(fault, bad_at=[])
    async with run_load(tmp_path) as load:
        operation = load.order(service, fault=fault)
        await operation.order()
        task = asyncio.create_task(operation.serve())
        while not load.count_sent("v3"):
            await asyncio.sleep(0.01)
        for proxy in load.deployment.peer_proxies:
            proxy.cut_off = b"gateway-1"
        reconnect_at = operation.ordered_at + CUT_OFF_UNTIL_S
        await asyncio.sleep(reconnect_at - load.loop.time())
        for proxy in load.deployment.peer_proxies:
            proxy.cut_off = b""
            proxy.reset()
        await task
    check(load, operation, "completed" if fault is None else "rolled_back")
    assert not load.list_cut("" if fault is None else "v3")


# Guards against requests that are cut at completion because a gateway does not hear of
# the rollout for most of its deadline.
async def test_gateway_is_cut_off_for_most_of_a_rollout(tmp_path):
    async with run_load(tmp_path) as load:
        operation = load.order("plain")
        await operation.order()
        task = asyncio.create_task(operation.serve())
        while not load.count_sent("v3"):
            await asyncio.sleep(0.01)
        for proxy in load.deployment.peer_proxies:
            proxy.cut_off = b"gateway-1"
        await asyncio.sleep(8.0)
        for proxy in load.deployment.peer_proxies:
            proxy.cut_off = b""
            proxy.reset()
        await task
    check(load, operation, "completed")
    assert not load.list_cut()


# Guards against repeats that start again or are refused, and against wrong refusals.
async def test_calls_are_answered_as_documented(tmp_path):
    async with run_load(tmp_path) as load:
        operation = load.order("plain")

        async def call(path, body=None):
            """Try one coordinator after the other, as operators do."""
            call = Call("GET" if body is None else "POST", path, [], body or b"")
            async with asyncio.timeout(ACK_S):
                for address in itertools.cycle(load.deployment.operator_addresses):
                    answer = await CallClient(address).call(call, CALL_TIMEOUT_S)
                    is_answer = isinstance(answer, CallResponse)
                    if is_answer and answer.status not in (307, 503):
                        return answer
                    await asyncio.sleep(0.05)

        begin, read = names.BEGIN_ROLLOUT_PATH, names.READ_ROLLOUT_PREFIX
        assert (await call(read + "plain")).status == 404
        await operation.order()
        for _ in range(2):
            assert (await call(begin, operation.body)).status == 200
        other = await call(begin, load.order("plain", "v4").body)
        assert other.status == 409
        assert b"v3" in other.body
        unknown = await call(begin, load.order("none", "v4").body)
        assert unknown.status == 400
        assert b"service" in unknown.body
        assert (await call(read + "none")).status == 404
        answer = msgspec.json.decode((await call(read + "plain")).body)
        assert answer == {"state": "in_progress", "to": "v3"}
        assert (await call(begin, load.order("model", "v4").body)).status == 200
        await operation.serve()
        # A repeat after the end is acknowledged and starts nothing.
        if load.loop.time() < operation.acknowledged_at + 2 * ACK_S:
            assert (await call(begin, operation.body)).status == 200
            assert await operation.read() == "completed"
    check(load, operation, "completed")
