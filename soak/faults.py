"""Random faults; the seed alone decides their kinds, targets, times and durations."""

import asyncio
import random
import signal

from soak.clients import HARMFUL_PART
from soak.deployment import Deployment, Process
from soak.proxy import Mode

FAULT_KINDS = (
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
FIRST_FAULT_DELAY_S = 3.0
# Ranges from which an interval, a duration or a delay is drawn.
FAULT_INTERVAL_S = (0.3, 1.6)
FAULT_DURATION_S = (0.3, 2.5)
RESTART_DELAY_S = (0.1, 1.0)
FAILURE_PROBABILITY = 0.15
# Engines state request limits, or crash on a prompt part, in a sequence of their own.
ENGINE_FAULT_INTERVAL_S = (2.0, 5.0)
ENGINE_FAULT_DURATION_S = (1.0, 4.0)
HARMFUL_EVENTS = (0, 1, 3, 10)
REQUEST_LIMITS = ("0", "0.5", "2", "20", "nan")
STOP_TIMEOUT_S = 9.0
# A coordinator that has lost its disk may lose it again while it returns.
MAX_REPEATED_LOSSES = 4
REPEATED_LOSS_DELAY_S = (0.2, 1.3)


class FaultInjector:
    """Injects random faults, which may overlap.

    No coordinator is stopped, killed or wiped while another one is paused, stopped or
    still recovering, so that at most one disk is lost at a time.

    Parameters
    ----------
    target : Deployment
        The deployment that receives the faults.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, target: Deployment, seed: int) -> None:
        self._deployment = target
        self._random = random.Random(seed)
        self._engine_random = random.Random(f"engines {seed}")
        self._notice_random = random.Random(f"notices {seed}")
        self._crash_random = random.Random(f"crashes {seed}")
        self._loss_random = random.Random(f"losses {seed}")
        self._affected: set[str] = set()
        self._stopped: set[str] = set()
        self.history: list[str] = []

    async def run(self) -> None:
        """Inject faults at random intervals until cancelled."""
        await asyncio.sleep(FIRST_FAULT_DELAY_S)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._disturb_engines())
            group.create_task(self._disturb_by_notices())
            while True:
                group.create_task(self._inject())
                await asyncio.sleep(self._random.uniform(*FAULT_INTERVAL_S))

    async def end_all(self) -> None:
        """End all faults in progress, so that the whole deployment can recover."""
        self._deployment.platform.unavailable = False
        for endpoint in self._deployment.endpoints:
            endpoint.failure_probability, endpoint.draining = 0.0, False
            endpoint.request_limit = endpoint.harmful_part = ""
            endpoint.leaving, endpoint.pause_s = False, ""
        for proxy in self._deployment.peer_proxies:
            proxy.mode = Mode.PASS
            proxy.reset()
        for process in [*self._deployment.coordinators, *self._deployment.gateways]:
            process.send(signal.SIGCONT)
            if process.name in self._stopped:
                await process.wait(STOP_TIMEOUT_S)
                await process.start()
        self._stopped.clear()

    async def _inject(self) -> None:
        kind = self._random.choice(FAULT_KINDS)
        duration_s = self._random.uniform(*FAULT_DURATION_S)
        coordinator = self._random.choice(self._deployment.coordinators)
        gateway = self._random.choice(self._deployment.gateways)
        match kind:
            case "kill" | "stop" | "wipe":
                await self._restart(coordinator, kind)
            case "restart_gateway":
                await self._restart(gateway, self._random.choice(["kill", "stop"]))
            case "pause" | "pause_gateway":
                await self._pause(
                    coordinator if kind == "pause" else gateway, duration_s
                )
            case "link" | "reset":
                await self._disturb_link(kind, duration_s)
            case "endpoint" | "drain_endpoint":
                await self._disturb_endpoint(kind, duration_s)
            case "platform":
                self.history.append(f"platform unavailable {duration_s:.1f} s")
                self._deployment.platform.unavailable = True
                await asyncio.sleep(duration_s)
                self._deployment.platform.unavailable = False

    async def _restart(self, process: Process, method: str) -> None:
        is_coordinator = process in self._deployment.coordinators
        if process.name in self._affected or (
            is_coordinator and self._is_any_coordinator_affected()
        ):
            return
        self._affected.add(process.name)
        self._stopped.add(process.name)
        self.history.append(f"{method} {process.name}")
        process.send(signal.SIGTERM if method == "stop" else signal.SIGKILL)
        await process.wait(STOP_TIMEOUT_S)
        if method == "wipe":
            self._deployment.delete_data(process)
        await asyncio.sleep(self._random.uniform(*RESTART_DELAY_S))
        await process.start()
        self._stopped.discard(process.name)
        if method == "wipe":
            await self._lose_disk_again(process)
            # Losing a second disk before the group has replaced the member would lose
            # the majority.
            await asyncio.sleep(4.0)
        self._affected.discard(process.name)

    async def _lose_disk_again(self, process: Process) -> None:
        """Lose a returning coordinator's disk a drawn number of times."""
        source = self._loss_random
        for _ in range(source.randint(0, MAX_REPEATED_LOSSES)):
            await asyncio.sleep(source.uniform(*REPEATED_LOSS_DELAY_S))
            self.history.append(f"wipe {process.name} again")
            self._stopped.add(process.name)
            process.send(signal.SIGKILL)
            await process.wait(STOP_TIMEOUT_S)
            self._deployment.delete_data(process)
            await asyncio.sleep(source.uniform(*RESTART_DELAY_S))
            await process.start()
            self._stopped.discard(process.name)

    def _is_any_coordinator_affected(self) -> bool:
        return any(
            process.name in self._affected for process in self._deployment.coordinators
        )

    async def _pause(self, process: Process, duration_s: float) -> None:
        if process.name in self._affected:
            return
        self._affected.add(process.name)
        self.history.append(f"pause {process.name} {duration_s:.1f} s")
        process.send(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        process.send(signal.SIGCONT)
        self._affected.discard(process.name)

    async def _disturb_link(self, kind: str, duration_s: float) -> None:
        proxy = self._random.choice(self._deployment.peer_proxies)
        if kind == "reset":
            self.history.append("reset connections of one link")
            proxy.reset()
            return
        mode = self._random.choice([m for m in Mode if m is not Mode.PASS])
        self.history.append(f"link {mode.value} {duration_s:.1f} s")
        proxy.mode = mode
        await asyncio.sleep(duration_s)
        proxy.mode = Mode.PASS
        # Bytes that were dropped are missing from the streams, so that both ends could
        # no longer read them; new connections replace them.
        proxy.reset()

    async def _disturb_engines(self) -> None:
        """Let engines state request limits or crash on a part, by turns."""
        source = self._engine_random
        while True:
            await asyncio.sleep(source.uniform(*ENGINE_FAULT_INTERVAL_S))
            engines = [e for e in self._deployment.endpoints if e.service == "model"]
            duration_s = source.uniform(*ENGINE_FAULT_DURATION_S)
            limit = source.choice(REQUEST_LIMITS)
            if source.random() < 0.5:
                affected = source.sample(engines, source.randint(1, len(engines)))
                self.history.append(f"limit {limit} at {len(affected)} engines")
                for engine in affected:
                    engine.request_limit = limit
            else:
                events = self._crash_random.choice(HARMFUL_EVENTS)
                self.history.append(
                    f"harmful part {duration_s:.1f} s, after {events} events"
                )
                for engine in engines:
                    engine.harmful_part, engine.harmful_events = HARMFUL_PART, events
            await asyncio.sleep(duration_s)
            for engine in engines:
                engine.request_limit = engine.harmful_part = ""

    async def _disturb_by_notices(self) -> None:
        """Let one endpoint after the other pause, or leave and start again."""
        source = self._notice_random
        while True:
            await asyncio.sleep(source.uniform(*ENGINE_FAULT_INTERVAL_S))
            endpoint = source.choice(self._deployment.endpoints)
            duration_s = source.uniform(*ENGINE_FAULT_DURATION_S)
            if source.random() < 0.5:
                self.history.append(f"{endpoint.name} pauses {duration_s:.1f} s")
                endpoint.pause_s = f"{source.uniform(0.2, 3.0):.1f}"
                await asyncio.sleep(duration_s)
                endpoint.pause_s = ""
            else:
                self.history.append(f"{endpoint.name} leaves {duration_s:.1f} s")
                endpoint.leaving = True
                await asyncio.sleep(duration_s)
                endpoint.leaving = False
                # The list shows the next incarnation.
                endpoint.starts += 1

    async def _disturb_endpoint(self, kind: str, duration_s: float) -> None:
        endpoint = self._random.choice(self._deployment.endpoints)
        self.history.append(f"{kind} {endpoint.name} {duration_s:.1f} s")
        if kind == "endpoint":
            endpoint.failure_probability = FAILURE_PROBABILITY
            await asyncio.sleep(duration_s)
            endpoint.failure_probability = 0.0
        else:
            endpoint.draining = True
            await asyncio.sleep(duration_s)
            endpoint.draining = False
