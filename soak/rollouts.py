"""Orders of rollouts, the platform's part in them, and checks of their promises."""

import asyncio
import itertools
import random

import msgspec

from soak.deployment import (
    EXPOSURE_SHARE,
    EXPOSURE_SLACK,
    ROLLBACK_S,
    Deployment,
)
from soak.stubs import VersionFault
from tarragonway.http1 import Call, CallClient, CallResponse
from tarragonway.platform import names

READ_INTERVAL_S = 0.1
START_DELAY_S = 1.0
DRAIN_DELAY_S = 2.0
# Between the drain of endpoints and their stop.
DRAIN_S = 3.0
CALL_TIMEOUT_S = 1.0
MAX_ORDER_S = 20.0
# Gateways use their last share for 1.5 s, also when the news of the end is lost.
SHARE_HOLD_S = 1.5
BAD_RESPONSES = 50
# Range of the pauses between two orders of the seeded soak, and of their deadlines.
ORDER_INTERVAL_S = (0.5, 2.0)
DEADLINE_S = (5.0, 9.0)


class RolloutOperation:
    """One order of a rollout, and the platform's part until its end.

    Parameters
    ----------
    deployment : Deployment
        Its coordinators receive the calls.
    service, version : str
        What the order names.
    deadline_s : float
        The order's deadline.
    fault : VersionFault, optional
        What is wrong with the version.

    Attributes
    ----------
    ordered_at, acknowledged_at, ended_at : float
        Loop times of the first call, the acknowledgement, and the first read of an end;
        0 before.
    state : str
        State that was read last.
    cut : int
        Requests that ran at old endpoints when these were stopped.
    """

    def __init__(
        self,
        deployment: Deployment,
        service: str,
        version: str,
        deadline_s: float,
        fault: VersionFault | None = None,
    ) -> None:
        self._deployment = deployment
        self.service = service
        self.version = version
        self.deadline_s = deadline_s
        self.fault = fault
        self.ordered_at = self.acknowledged_at = self.ended_at = 0.0
        self.state = ""
        self.cut = 0

    @property
    def body(self) -> bytes:
        """The order's text."""
        return msgspec.json.encode(
            {
                "service": self.service,
                "to": self.version,
                "deadline_s": self.deadline_s,
            }
        )

    async def run(self) -> None:
        """Send the order, and be the platform until the rollout has ended."""
        await self.order()
        await self.serve()

    async def order(self) -> None:
        """Send the order to one coordinator after the other until it is acknowledged.

        Raises
        ------
        TimeoutError
            If it is not acknowledged within :data:`MAX_ORDER_S`.
        """
        self.ordered_at = asyncio.get_running_loop().time()
        call = Call("POST", names.BEGIN_ROLLOUT_PATH, [], self.body)
        async with asyncio.timeout(MAX_ORDER_S):
            for address in itertools.cycle(self._deployment.operator_addresses):
                answer = await CallClient(address).call(call, CALL_TIMEOUT_S)
                if isinstance(answer, CallResponse) and answer.status == 200:
                    break
                await asyncio.sleep(0.05)
        self.acknowledged_at = asyncio.get_running_loop().time()

    async def serve(self) -> None:
        """Start endpoints of the version, and stop or drain what the end calls for."""
        await asyncio.sleep(START_DELAY_S)
        deployment = self._deployment
        old = [e for e in deployment.endpoints if e.service == self.service]
        new = await deployment.start_version(self.service, self.version, self.fault)
        while self.state not in ("completed", "rolled_back"):
            await asyncio.sleep(READ_INTERVAL_S)
            self.state = await self.read() or self.state
        self.ended_at = asyncio.get_running_loop().time()
        if self.state == "completed":
            self.cut = sum(endpoint.running for endpoint in old)
            deployment.stop_endpoints(old)
            return
        await asyncio.sleep(DRAIN_DELAY_S)
        for endpoint in new:
            endpoint.draining = True
        await asyncio.sleep(DRAIN_S)
        deployment.stop_endpoints(new)

    async def read(self) -> str:
        """Return the state that a leader states, "" if none answers."""
        call = Call("GET", names.READ_ROLLOUT_PREFIX + self.service)
        for address in self._deployment.operator_addresses:
            answer = await CallClient(address).call(call, CALL_TIMEOUT_S)
            if isinstance(answer, CallResponse) and answer.status == 200:
                return msgspec.json.decode(answer.body)["state"]
        return ""

    def list_violations(self) -> list[str]:
        """Return one line for each promise that was broken at the endpoints."""
        if not self.ordered_at:
            return []
        runs = [
            run
            for run in self._deployment.observations.executions
            if run.service == self.service and run.at >= self.ordered_at
        ]
        sent = [run for run in runs if run.version == self.version]
        violations = []
        if self.fault is not None:
            deadline_at = self.ordered_at + self.deadline_s
            reached = sum(run.at <= deadline_at for run in runs)
            exposed = sum(run.at <= deadline_at for run in sent)
            allowed = EXPOSURE_SHARE * reached + EXPOSURE_SLACK
            if exposed > allowed:
                violations.append(
                    f"{exposed} of {reached} requests went to bad {self.version};"
                    f" {allowed:.0f} are allowed"
                )
            for bad_at in sorted(self.fault.bad_at)[BAD_RESPONSES - 1 :][:1]:
                late = [run for run in sent if run.at > bad_at + ROLLBACK_S]
                violations += [
                    f"{run.attempt} went to bad {self.version}"
                    f" {run.at - bad_at:.2f} s after its 50th bad response"
                    for run in late
                ]
        if self.state == "rolled_back":
            violations += [
                f"{run.attempt} (resumed: {run.is_resumed}) went to {self.version}"
                f" {run.at - self.ended_at:.2f} s after it was rolled back"
                for run in sent
                if run.at - self.ended_at
                > SHARE_HOLD_S + run.is_resumed * ROLLBACK_S / 2
            ]
        return violations


class RolloutOperator:
    """Orders one rollout after the other in the seeded soak.

    Parameters
    ----------
    deployment : Deployment
        The deployment under test.
    seed : int
        Seed of services, deadlines, faults of versions and pauses.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._random = random.Random(f"rollouts {seed}")
        self.operations: list[RolloutOperation] = []
        self.history: list[str] = []

    async def run(self) -> None:
        """Order rollouts until cancelled."""
        source = self._random
        for number in itertools.count(3):
            await asyncio.sleep(source.uniform(*ORDER_INTERVAL_S))
            service = source.choice(["plain", "model"])
            fault = source.choice(
                [
                    None,
                    VersionFault(source.uniform(0.2, 1.0)),
                    VersionFault(0.5, slow_factor=6.0),
                    VersionFault(0.5, after=source.randint(1, 40)),
                ]
            )
            deadline_s = round(source.uniform(*DEADLINE_S), 1)
            operation = RolloutOperation(
                self._deployment, service, f"v{number}", deadline_s, fault
            )
            self.operations.append(operation)
            self.history.append(f"order {service} v{number} {deadline_s} s {fault}")
            await operation.run()
            self.history.append(f"{service} v{number} {operation.state}")

    def list_violations(self) -> list[str]:
        """Return one line for each promise that was broken."""
        return [line for item in self.operations for line in item.list_violations()]
