"""The deployment under test: real processes, each at its own loopback address."""

import asyncio
import os
import pathlib
import shutil
import signal
import sys

from soak.proxy import Proxy
from soak.stubs import Observations, StubEndpoint, StubPlatform

COORDINATORS = 3
GATEWAYS = 3
SERVICES = {"plain": 3, "model": 3}
PEER_PORT = 0
OPERATOR_PORT = 1
CALLER_PORT = 2
READY_PORT = 3
PLATFORM_PORT = 4
ENDPOINT_PORT = 5


class Process:
    """A program that can be signalled, stopped and restarted.

    Parameters
    ----------
    name : str
        Name of the coordinator or gateway.
    module : str
        Module that ``python -m`` runs.
    settings : pathlib.Path
        Settings file; the log is written next to it.
    """

    def __init__(self, name: str, module: str, settings: pathlib.Path) -> None:
        self.name = name
        self._module = module
        self._settings = settings
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the program and append its output to the log next to its settings."""
        with self._settings.with_suffix(".log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self._module,
                "--settings",
                str(self._settings),
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self, limit_s: float) -> None:
        """Wait until the process exits; kill it after ``limit_s`` seconds."""
        if self._process is None:
            return
        try:
            async with asyncio.timeout(limit_s):
                await self._process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self._process.wait()


class Deployment:
    """Coordinators behind proxies, gateways, a stub platform and stub endpoints.

    Parameters
    ----------
    folder : pathlib.Path
        Receives settings, logs and data folders.
    base_port : int
        First of ten ports that are free on every loopback address in use.
    seed : int
        Seed of the endpoints' failures.
    """

    def __init__(self, folder: pathlib.Path, base_port: int, seed: int) -> None:
        self.folder = folder
        self._base = base_port
        self.ledger = Observations()
        address = self._get_address("127.0.3.1", PLATFORM_PORT)
        self.platform = StubPlatform(address, self.ledger)
        self.proxies = [
            Proxy(
                self._get_address(f"127.0.2.{n}", PEER_PORT),
                self._get_address(host, PEER_PORT),
            )
            for n, host in enumerate(self._coordinator_hosts(), 1)
        ]
        self._doors = [
            Proxy(address, self._get_address(host, OPERATOR_PORT))
            for address, host in zip(
                self.operator_addresses, self._coordinator_hosts(), strict=True
            )
        ]
        self.endpoints = [
            StubEndpoint(
                f"{service}-{n}",
                service,
                self._get_address(f"127.0.4.{10 * kind + n}", ENDPOINT_PORT),
                self.ledger,
                seed * 100 + 10 * kind + n,
            )
            for kind, (service, count) in enumerate(SERVICES.items(), 1)
            for n in range(1, count + 1)
        ]
        self.platform.endpoints = list(self.endpoints)
        self.coordinators = [
            self._make_process(f"coordinator-{n}", host, True)
            for n, host in enumerate(self._coordinator_hosts(), 1)
        ]
        self.gateways = [
            self._make_process(f"gateway-{n}", f"127.0.5.{n}", False)
            for n in range(1, GATEWAYS + 1)
        ]

    @property
    def operator_addresses(self) -> list[str]:
        """Addresses of the proxies before the coordinators' operator interfaces."""
        return [
            self._get_address(f"127.0.2.{n}", OPERATOR_PORT)
            for n in range(1, COORDINATORS + 1)
        ]

    @property
    def client_addresses(self) -> list[str]:
        """Addresses at which the gateways accept clients."""
        return [
            self._get_address(f"127.0.5.{n}", CALLER_PORT)
            for n in range(1, GATEWAYS + 1)
        ]

    async def start(self) -> None:
        """Start the platform, the proxies, the endpoints and all processes."""
        await self.platform.start()
        for proxy in [*self.proxies, *self._doors]:
            await proxy.start()
        for endpoint in self.endpoints:
            await endpoint.start()
        for process in [*self.coordinators, *self.gateways]:
            await process.start()

    def disable_bootstrap(self) -> None:
        """Make restarted coordinators join the group instead of forming a new one."""
        for process in self.coordinators:
            settings = self.folder / f"{process.name}.toml"
            text = settings.read_text().replace("bootstrap = true", "bootstrap = false")
            settings.write_text(text)

    async def stop(self) -> None:
        """Stop all processes, then the proxies, the endpoints and the platform."""
        processes = [*self.gateways, *self.coordinators]
        for process in processes:
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        await asyncio.gather(*(process.wait(9.0) for process in processes))
        for proxy in [*self.proxies, *self._doors]:
            proxy.close()
        for endpoint in self.endpoints:
            endpoint.close()
        self.platform.close()

    def delete_data(self, process: Process) -> None:
        """Delete a coordinator's data folder, as if its disk were lost."""
        shutil.rmtree(self.folder / f"{process.name}.data", ignore_errors=True)

    def _coordinator_hosts(self) -> list[str]:
        return [f"127.0.1.{n}" for n in range(1, COORDINATORS + 1)]

    def _get_address(self, host: str, port: int) -> str:
        return f"{host}:{self._base + port}"

    def _make_process(self, name: str, host: str, coordinates: bool) -> Process:
        lines = [
            f'name = "{name}"',
            'zone = "z1"',
            'zones = ["z1"]',
            f"seeds = {self.operator_addresses}".replace("'", '"'),
        ]
        listen = [f'peers = "{self._get_address(host, PEER_PORT)}"']
        if coordinates:
            lines += [
                "bootstrap = true",
                f'data_folder = "{self.folder / name}.data"',
            ]
            number = host.rpartition(".")[2]
            listen += [
                f'operators = "{self._get_address(host, OPERATOR_PORT)}"',
                f'advertised = "{self._get_address(f"127.0.2.{number}", PEER_PORT)}"',
            ]
        else:
            listen += [
                f'callers = "{self._get_address(host, CALLER_PORT)}"',
                f'readiness = "{self._get_address(host, READY_PORT)}"',
            ]
        platform = [f'address = "{self.platform.address}"', 'duties = ["usage"]']
        bounds = ["lease_ms = 1500", "grace_s = 6", "report_window_s = 2"]
        text = "\n".join(
            [*lines, "[listen]", *listen, "[platform]", *platform, "[bounds]", *bounds]
        )
        path = self.folder / f"{name}.toml"
        path.write_text(text + "\n", encoding="utf-8")
        module = "coordinator" if coordinates else "gateway"
        return Process(name, f"tarragonway.{module}", path)
