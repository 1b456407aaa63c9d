"""The deployment under test: real processes, each at its own loopback address."""

import asyncio
import contextlib
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import sys

from soak.proxy import Proxy
from soak.stubs import Observations, StubEndpoint, StubPlatform, VersionFault

MIN_BASE_PORT = 21000
MAX_BASE_PORT = 29000
RESERVATION_HOST = "127.0.6.1"
COORDINATOR_COUNT = 3
GATEWAY_COUNT = 3
ENDPOINT_COUNTS = {"plain": 3, "model": 4}
# Software versions that the endpoints of each service have in turn.
SOFTWARE_VERSIONS = ("v1", "v2")
# Bounds of rollouts.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_S = 5.0
START_TIMEOUT_S = 20.0
PEER_PORT_OFFSET = 0
OPERATOR_PORT_OFFSET = 1
CLIENT_PORT_OFFSET = 2
READY_PORT_OFFSET = 3
PLATFORM_PORT_OFFSET = 4
ENDPOINT_PORT_OFFSET = 5


# Sockets that keep the port ranges of this process's deployments from others.
_reservations: list[socket.socket] = []


def reserve_base_port() -> int:
    """Return the first of ten ports that no other process's deployment uses."""
    while True:
        port = random.randrange(MIN_BASE_PORT, MAX_BASE_PORT, 10)
        reservation = socket.socket()
        try:
            reservation.bind((RESERVATION_HOST, port))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return port


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

    @property
    def has_ended(self) -> bool:
        """Whether the program was started and has ended."""
        return self._process is not None and self._process.returncode is not None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the program has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    def set_disk_full(self, is_full: bool) -> None:
        """Let the system refuse all writes of the process to files, or none."""
        if self._process is not None and self.is_running:
            limit = 0 if is_full else resource.RLIM_INFINITY
            resource.prlimit(
                self._process.pid,
                resource.RLIMIT_FSIZE,
                (limit, resource.RLIM_INFINITY),
            )

    async def wait(self, timeout_s: float) -> None:
        """Wait until the process exits; kill it after ``timeout_s`` seconds."""
        if self._process is None:
            return
        try:
            async with asyncio.timeout(timeout_s):
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
    endpoint_counts : dict of str to int, optional
        Number of endpoints of each service.
    grace_s : int
        Seconds that a process may take to stop.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        base_port: int,
        seed: int,
        endpoint_counts: dict[str, int] | None = None,
        grace_s: int = 6,
    ) -> None:
        self.folder = folder
        self._base_port = base_port
        self._grace_s = grace_s
        self._seed = seed
        self._added = 0
        self.observations = Observations()
        address = self._get_address("127.0.3.1", PLATFORM_PORT_OFFSET)
        self.platform = StubPlatform(address, self.observations)
        self.peer_proxies = [
            Proxy(
                self._get_address(f"127.0.2.{n}", PEER_PORT_OFFSET),
                self._get_address(host, PEER_PORT_OFFSET),
            )
            for n, host in enumerate(self._coordinator_hosts(), 1)
        ]
        self._operator_proxies = [
            Proxy(address, self._get_address(host, OPERATOR_PORT_OFFSET))
            for address, host in zip(
                self.operator_addresses, self._coordinator_hosts(), strict=True
            )
        ]
        self.endpoints = [
            StubEndpoint(
                f"{service}-{n}",
                service,
                self._get_address(f"127.0.4.{10 * kind + n}", ENDPOINT_PORT_OFFSET),
                self.observations,
                seed * 100 + 10 * kind + n,
            )
            for kind, (service, count) in enumerate(
                (endpoint_counts or ENDPOINT_COUNTS).items(), 1
            )
            for n in range(1, count + 1)
        ]
        for number, endpoint in enumerate(self.endpoints):
            endpoint.version = SOFTWARE_VERSIONS[number % len(SOFTWARE_VERSIONS)]
        self.platform.endpoints = list(self.endpoints)
        self.coordinators = [
            self._make_process(f"coordinator-{n}", host, True)
            for n, host in enumerate(self._coordinator_hosts(), 1)
        ]
        self.gateways = [
            self._make_process(f"gateway-{n}", f"127.0.5.{n}", False)
            for n in range(1, GATEWAY_COUNT + 1)
        ]

    @property
    def operator_addresses(self) -> list[str]:
        """Addresses of the proxies before the coordinators' operator interfaces."""
        return [
            self._get_address(f"127.0.2.{n}", OPERATOR_PORT_OFFSET)
            for n in range(1, COORDINATOR_COUNT + 1)
        ]

    @property
    def client_addresses(self) -> list[str]:
        """Addresses at which the gateways accept clients."""
        return [
            self._get_address(f"127.0.5.{n}", CLIENT_PORT_OFFSET)
            for n in range(1, GATEWAY_COUNT + 1)
        ]

    async def start(self) -> None:
        """Start the platform, the proxies, the endpoints and all processes.

        Return once all coordinators listen: a majority serves before the last one has
        read its settings, which must not change until then.
        """
        await self.platform.start()
        for proxy in [*self.peer_proxies, *self._operator_proxies]:
            await proxy.start()
        for endpoint in self.endpoints:
            await endpoint.start()
        for process in [*self.coordinators, *self.gateways]:
            await process.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            for process in self.coordinators:
                await self._wait_listening(process)

    async def _wait_listening(self, process: Process) -> None:
        host, _, port = self.find_listen_address(process.name).rpartition(":")
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.05)
            else:
                writer.close()
                with contextlib.suppress(OSError):
                    await writer.wait_closed()
                return

    async def start_version(
        self, service: str, version: str, fault: VersionFault | None
    ) -> list[StubEndpoint]:
        """Start an endpoint of this version beside each of the service, and list it."""
        rows = [e for e in self.endpoints if e.service == service]
        added = []
        for number, row in enumerate(rows, 1):
            self._added += 1
            endpoint = StubEndpoint(
                f"{service}-{version}-{number}",
                service,
                self._get_address(f"127.0.7.{self._added}", ENDPOINT_PORT_OFFSET),
                self.observations,
                self._seed * 100 + 50 + self._added,
            )
            endpoint.version, endpoint.fault = version, fault
            endpoint.event_interval_s = row.event_interval_s
            endpoint.service_time_s = row.service_time_s
            await endpoint.start()
            added.append(endpoint)
        self.endpoints += added
        self.platform.endpoints += added
        return added

    def stop_endpoints(self, endpoints: list[StubEndpoint]) -> None:
        """Stop endpoints at once and remove them from the list."""
        for endpoint in endpoints:
            endpoint.close()
            self.endpoints.remove(endpoint)
            self.platform.endpoints.remove(endpoint)

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
        for proxy in [*self.peer_proxies, *self._operator_proxies]:
            proxy.close()
        for endpoint in self.endpoints:
            endpoint.close()
        self.platform.close()

    def delete_data(self, process: Process) -> None:
        """Delete a coordinator's data folder, as if its disk were lost."""
        shutil.rmtree(self.folder / f"{process.name}.data", ignore_errors=True)

    def find_listen_address(self, name: str) -> str:
        """Return the address at which a coordinator or gateway itself is reached."""
        kind, _, number = name.partition("-")
        if kind == "gateway":
            return self.client_addresses[int(number) - 1]
        return self._get_address(f"127.0.1.{number}", PEER_PORT_OFFSET)

    def _coordinator_hosts(self) -> list[str]:
        return [f"127.0.1.{n}" for n in range(1, COORDINATOR_COUNT + 1)]

    def _get_address(self, host: str, port_offset: int) -> str:
        return f"{host}:{self._base_port + port_offset}"

    def _make_process(self, name: str, host: str, is_coordinator: bool) -> Process:
        lines = [
            f'name = "{name}"',
            'zone = "z1"',
            'zones = ["z1"]',
            f"seeds = {self.operator_addresses}".replace("'", '"'),
        ]
        listen = [f'peers = "{self._get_address(host, PEER_PORT_OFFSET)}"']
        if is_coordinator:
            lines += [
                "bootstrap = true",
                f'data_folder = "{self.folder / name}.data"',
            ]
            number = host.rpartition(".")[2]
            listen += [
                f'operators = "{self._get_address(host, OPERATOR_PORT_OFFSET)}"',
                'advertised = "'
                f'{self._get_address(f"127.0.2.{number}", PEER_PORT_OFFSET)}"',
            ]
        else:
            listen += [
                f'callers = "{self._get_address(host, CLIENT_PORT_OFFSET)}"',
                f'readiness = "{self._get_address(host, READY_PORT_OFFSET)}"',
            ]
        platform = [f'address = "{self.platform.address}"', 'duties = ["usage"]']
        bounds = [
            "lease_ms = 1500",
            f"grace_s = {self._grace_s}",
            "report_window_s = 2",
            f"exposure_share = {EXPOSURE_SHARE}",
            f"exposure_slack = {EXPOSURE_SLACK}",
            f"rollback_ms = {int(ROLLBACK_S * 1000)}",
        ]
        text = "\n".join(
            [*lines, "[listen]", *listen, "[platform]", *platform, "[bounds]", *bounds]
        )
        path = self.folder / f"{name}.toml"
        path.write_text(text + "\n", encoding="utf-8")
        module = "coordinator" if is_coordinator else "gateway"
        return Process(name, f"tarragonway.{module}", path)
