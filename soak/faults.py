"""Random faults; the seed alone decides their kinds, targets, times and durations."""

import asyncio
import random
import signal

from soak.deployment import Deployment, Process
from soak.proxy import Mode

KINDS = (
    "kill",
    "stop",
    "pause",
    "wipe",
    "link",
    "reset",
    "endpoint",
    "platform",
    "restart_gateway",
    "pause_gateway",
    "drain_endpoint",
)
FIRST_S = 3.0
GAP_S = (0.3, 1.6)
LENGTH_S = (0.3, 2.5)
RESTART_S = (0.1, 1.0)
TROUBLE = 0.15
STOP_LIMIT_S = 9.0


class FaultInjector:
    """Injects random faults, which may overlap.

    No coordinator is stopped, killed or wiped while another one is paused, stopped or
    still recovering, so that at most one disk is lost at a time.

    Parameters
    ----------
    stage : Deployment
        The deployment that receives the faults.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, stage: Deployment, seed: int) -> None:
        self._stage = stage
        self._random = random.Random(seed)
        self._down: set[str] = set()
        self._ended: set[str] = set()
        self.log: list[str] = []

    async def run(self) -> None:
        """Inject faults at random intervals until cancelled."""
        await asyncio.sleep(FIRST_S)
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._inject())
                await asyncio.sleep(self._random.uniform(*GAP_S))

    async def end_all(self) -> None:
        """End all faults in progress, so that the whole deployment can recover."""
        self._stage.platform.down = False
        for endpoint in self._stage.endpoints:
            endpoint.trouble, endpoint.draining = 0.0, False
        for proxy in self._stage.proxies:
            proxy.mode = Mode.PASS
            proxy.reset()
        for process in [*self._stage.coordinators, *self._stage.gateways]:
            process.send(signal.SIGCONT)
            if process.name in self._ended:
                await process.wait(STOP_LIMIT_S)
                await process.start()
        self._ended.clear()

    async def _inject(self) -> None:
        kind = self._random.choice(KINDS)
        length_s = self._random.uniform(*LENGTH_S)
        coordinator = self._random.choice(self._stage.coordinators)
        gateway = self._random.choice(self._stage.gateways)
        match kind:
            case "kill" | "stop" | "wipe":
                await self._restart(coordinator, kind)
            case "restart_gateway":
                await self._restart(gateway, self._random.choice(["kill", "stop"]))
            case "pause" | "pause_gateway":
                await self._pause(coordinator if kind == "pause" else gateway, length_s)
            case "link" | "reset":
                await self._disturb_link(kind, length_s)
            case "endpoint" | "drain_endpoint":
                await self._disturb_endpoint(kind, length_s)
            case "platform":
                self.log.append(f"platform unavailable {length_s:.1f} s")
                self._stage.platform.down = True
                await asyncio.sleep(length_s)
                self._stage.platform.down = False

    async def _restart(self, process: Process, how: str) -> None:
        coordinates = process in self._stage.coordinators
        if process.name in self._down or (
            coordinates and self._is_any_coordinator_affected()
        ):
            return
        self._down.add(process.name)
        self._ended.add(process.name)
        self.log.append(f"{how} {process.name}")
        process.send(signal.SIGTERM if how == "stop" else signal.SIGKILL)
        await process.wait(STOP_LIMIT_S)
        if how == "wipe":
            self._stage.delete_data(process)
        await asyncio.sleep(self._random.uniform(*RESTART_S))
        await process.start()
        self._ended.discard(process.name)
        if how == "wipe":
            # Losing a second disk before the group has replaced the member would lose
            # the majority.
            await asyncio.sleep(4.0)
        self._down.discard(process.name)

    def _is_any_coordinator_affected(self) -> bool:
        return any(process.name in self._down for process in self._stage.coordinators)

    async def _pause(self, process: Process, length_s: float) -> None:
        if process.name in self._down:
            return
        self._down.add(process.name)
        self.log.append(f"pause {process.name} {length_s:.1f} s")
        process.send(signal.SIGSTOP)
        await asyncio.sleep(length_s)
        process.send(signal.SIGCONT)
        self._down.discard(process.name)

    async def _disturb_link(self, kind: str, length_s: float) -> None:
        proxy = self._random.choice(self._stage.proxies)
        if kind == "reset":
            self.log.append("reset connections of one link")
            proxy.reset()
            return
        mode = self._random.choice([m for m in Mode if m is not Mode.PASS])
        self.log.append(f"link {mode.value} {length_s:.1f} s")
        proxy.mode = mode
        await asyncio.sleep(length_s)
        proxy.mode = Mode.PASS
        # Bytes that were dropped are missing from the streams, so that both ends could
        # no longer read them; new connections replace them.
        proxy.reset()

    async def _disturb_endpoint(self, kind: str, length_s: float) -> None:
        endpoint = self._random.choice(self._stage.endpoints)
        self.log.append(f"{kind} {endpoint.name} {length_s:.1f} s")
        if kind == "endpoint":
            endpoint.trouble = TROUBLE
            await asyncio.sleep(length_s)
            endpoint.trouble = 0.0
        else:
            endpoint.draining = True
            await asyncio.sleep(length_s)
            endpoint.draining = False
