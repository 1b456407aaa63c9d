"""Starts and stops a deployment on loopback, for the demo, tests and benchmarks."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import re
import secrets
import signal
import socket
import subprocess
import sys
import time

import aiohttp

from tarragonway.settings import ClusterSettings
from tarragonway.settings.load import load_cluster

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
OPERATOR_KEY = "demo-operator-key"
START_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 40.0
MIN_PORT = 10_000
PORT_BLOCKS = 32
PORTS_PER_BLOCK = 625
MODEL_REPLICAS = 6
PLAIN_REPLICAS = 3

SERVICES = {
    "vardveislusjodur": ("radgjafi", "umsoknir"),
    "neige-atlas": ("snow-llm", "booking-api"),
}


def find_free_ports(count: int) -> list[int]:
    """Return loopback ports that nothing listens on.

    They lie below the range from which the system takes ports for outgoing connections,
    and each process on the machine searches a block of its own.
    """
    global _block
    if _block is None:
        _block = PortBlock.claim()
    ports: list[int] = []
    while len(ports) < count:
        port = next(_block.ports)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            ports.append(port)
    return ports


class PortBlock:
    """A range of ports that no other process on this machine claims.

    The claim is a bound socket in the abstract namespace, which the system releases
    when the process ends.

    Parameters
    ----------
    number : int
        Number of the block, from 0.
    claim : socket.socket
        The bound socket.
    """

    def __init__(self, number: int, claim: socket.socket) -> None:
        self.first = MIN_PORT + PORTS_PER_BLOCK * number
        self.ports = itertools.cycle(range(self.first, self.first + PORTS_PER_BLOCK))
        self._claim = claim

    @classmethod
    def claim(cls) -> "PortBlock":
        """Claim the first free block.

        Raises
        ------
        OSError
            If other processes have claimed all blocks.
        """
        for number in range(PORT_BLOCKS):
            claim = socket.socket(socket.AF_UNIX)
            try:
                claim.bind(f"\0tarragonway-ports-{number}")
            except OSError:
                claim.close()
                continue
            return cls(number, claim)
        raise OSError(f"all {PORT_BLOCKS} blocks of ports are claimed; end other runs")

    def release(self) -> None:
        """Let other processes claim the block."""
        self._claim.close()


_block: PortBlock | None = None


class Deployment:
    """Processes of one deployment.

    Parameters
    ----------
    name : str
        Name of a folder in ``examples``.
    folder : pathlib.Path
        Folder for settings, data and logs; it is made if needed.
    control_count, entry_count : int
        Number of processes of each kind.
    substitutions : dict of str to str
        Substitutions in the text of the cluster settings, old to new.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        control_count: int = 5,
        entry_count: int = 8,
        substitutions: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.folder = folder
        self.model, self.plain = SERVICES[name]
        self.processes: dict[str, subprocess.Popen] = {}
        self.instances: dict[str, dict] = {}
        self._engine_options: list[str] = []
        folder.mkdir(parents=True, exist_ok=True)
        self._write_settings(control_count, entry_count, substitutions or {})
        self.cluster: ClusterSettings = load_cluster(folder / "cluster.toml")

    # Settings

    def _write_settings(
        self, control_count: int, entry_count: int, substitutions: dict[str, str]
    ) -> None:
        source = EXAMPLES / self.name
        text = (source / "cluster.toml").read_text()
        for old, new in substitutions.items():
            text = text.replace(old, new)
        text = _add_entries(text, entry_count)
        addresses = sorted(set(re.findall(r"127\.0\.0\.1:\d+", text)))
        ports = find_free_ports(len(addresses))
        # The mark "@" keeps a new port from being taken for an address yet to replace.
        for address, port in zip(addresses, ports, strict=True):
            text = text.replace(address, f"127.0.0.1:@{port}")
        text = text.replace(":@", ":")
        text = _limit_tables(text, "control", control_count)
        text = _limit_tables(text, "entry", entry_count)
        (self.folder / "cluster.toml").write_text(text)
        (self.folder / "cluster.key").write_text(secrets.token_hex(32))
        for name in ("accounts.toml", "plans.toml"):
            (self.folder / name).write_text((source / name).read_text())
        for match in re.finditer(r'name = "((?:control|entry)-\d+)"', text):
            process = match.group(1)
            lines = [f'name = "{process}"', 'cluster_file = "cluster.toml"']
            if process.startswith("control"):
                lines.append(f'data_folder = "data-{process}"')
            path = self.folder / f"{process}.toml"
            path.write_text("\n".join(lines) + "\n")

    # Processes

    def start_process(self, name: str, arguments: list[str]) -> subprocess.Popen:
        """Start one Python process; its output is appended to ``NAME.log``."""
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        environment = {**os.environ, "TARRAGONWAY_OPERATOR_KEY": OPERATOR_KEY}
        process = subprocess.Popen(
            [sys.executable, *arguments], stdout=log, stderr=log, env=environment
        )
        log.close()
        self.processes[name] = process
        return process

    def start_daemon(self, name: str, *options: str) -> subprocess.Popen:
        """Start a control or entry process."""
        kind = "control" if name.startswith("control") else "entry"
        code = f"from tarragonway.{kind}.program import main; main()"
        settings = str(self.folder / f"{name}.toml")
        return self.start_process(name, ["-c", code, "--settings", settings, *options])

    def start_endpoint(self, name: str, service: str, zone: str) -> dict:
        """Start a stand-in engine or plain service, and return its cloud entry."""
        port = find_free_ports(1)[0]
        if service == self.model:
            arguments = ["-m", "standins.engine", *self._engine_options]
        else:
            arrivals = str(self.folder / f"arrivals-{name}.jsonl")
            arguments = ["-m", "standins.service", "--arrivals", arrivals]
        self.start_process(name, [*arguments, "--port", str(port)])
        instance = {
            "id": name,
            "service": service,
            "zone": zone,
            "url": f"http://127.0.0.1:{port}",
            "machine_class": "small",
            "price": 1.0,
        }
        self.instances[name] = instance
        return instance

    async def start(self, engine_options: list[str] | None = None) -> None:
        """Start all processes, apply the lists, and wait for the entry processes."""
        self._engine_options = engine_options or []
        zones = list(dict.fromkeys(peer.zone for peer in self.cluster.entry))
        for number in range(MODEL_REPLICAS):
            zone = zones[number % len(zones)]
            self.start_endpoint(f"{self.model}-{number + 1}", self.model, zone)
        for number in range(PLAIN_REPLICAS):
            zone = zones[number % len(zones)]
            self.start_endpoint(f"{self.plain}-{number + 1}", self.plain, zone)
        path = self.folder / "instances.json"
        path.write_text(json.dumps(list(self.instances.values())))
        assert self.cluster.platform is not None
        port = self.cluster.platform.url.rpartition(":")[2]
        arguments = ["-m", "standins.cloud", "--port", port, "--instances", str(path)]
        self.start_process("cloud", arguments)
        for number, peer in enumerate(self.cluster.control):
            options = ["--bootstrap"] if number == 0 else []
            self.start_daemon(peer.name, *options)
        for peer in self.cluster.entry:
            self.start_daemon(peer.name)
        await self.apply_lists()
        await self.wait_ready()

    async def apply_lists(self) -> None:
        """Apply the account and plan lists with ``tarragonway apply``.

        It is retried until the control processes accept it.

        Raises
        ------
        RuntimeError
            If they have not accepted it within ``START_TIMEOUT_S``.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            code, output = await self.run_operator("apply", str(self.folder))
            if code == 0:
                return
            if time.monotonic() > deadline:
                raise RuntimeError(
                    f"lists not applied within {START_TIMEOUT_S} s: {output}"
                )
            await asyncio.sleep(0.3)

    async def run_operator(self, *arguments: str) -> tuple[int, str]:
        """Run ``tarragonway`` and return its exit code and output."""
        cluster = ["--cluster", str(self.folder / "cluster.toml")]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            "from tarragonway.operator.cli import main; main()",
            *arguments,
            *([] if arguments[0] in ("check", "keygen") else cluster),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, "TARRAGONWAY_OPERATOR_KEY": OPERATOR_KEY},
        )
        output, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, output.decode()

    async def wait_ready(self, min_endpoints: int | None = None) -> None:
        """Wait until every entry process is ready and has received the endpoints.

        Parameters
        ----------
        min_endpoints : int, optional
            Least number of endpoints, by default that of all started ones.

        Raises
        ------
        RuntimeError
            If a process is not ready within ``START_TIMEOUT_S``.
        """
        wanted = len(self.instances) if min_endpoints is None else min_endpoints
        deadline = time.monotonic() + START_TIMEOUT_S
        for peer in self.cluster.entry:
            while True:
                dump = await self.read_dump(peer.name)
                if dump and dump["ready"] and len(dump["endpoints"]) >= wanted:
                    break
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f"{peer.name} not ready with {wanted} endpoints within "
                        f"{START_TIMEOUT_S} s; last state: {dump}"
                    )
                await asyncio.sleep(0.1)

    async def read_dump(self, name: str) -> dict:
        """Return a process's state dump, or an empty one if it does not answer."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = f"http://{self.get_address(name)}/admin/dump"
        timeout = aiohttp.ClientTimeout(total=2)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url, headers=headers) as response,
            ):
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return {}

    def get_address(self, name: str) -> str:
        """Return the HTTP address of a process as ``host:port``."""
        peers = [*self.cluster.control, *self.cluster.entry]
        return next(peer.http for peer in peers if peer.name == name)

    async def find_leader(self) -> str:
        """Return the name of the leader, once it has committed a log entry."""
        for _ in range(200):
            for peer in self.cluster.control:
                dump = await self.read_dump(peer.name)
                if dump.get("role") == "leader" and dump["commit"]:
                    return peer.name
            await asyncio.sleep(0.1)
        raise RuntimeError("no control process became leader in 200 polls")

    async def reclaim(self, notice_s: float, **selection: object) -> list[str]:
        """Reclaim the endpoints of a zone (``zone=``) or of some IDs (``ids=``).

        Returns the IDs of the reclaimed endpoints.
        """
        assert self.cluster.platform is not None
        url = f"{self.cluster.platform.url}/test/reclaim"
        body = {"notice_s": notice_s, **selection}
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json=body) as response,
        ):
            return (await response.json())["leaving"]

    async def add_endpoint(self, name: str, service: str, zone: str) -> None:
        """Start one more endpoint, and add it to the cloud's list."""
        assert self.cluster.platform is not None
        instance = self.start_endpoint(name, service, zone)
        async with aiohttp.ClientSession() as session:
            await session.post(f"{self.cluster.platform.url}/test/add", json=instance)

    def kill(self, name: str, signal_number: int = signal.SIGKILL) -> None:
        """Send a signal, ``SIGKILL`` by default, to a process of the deployment."""
        self.processes[name].send_signal(signal_number)

    async def wait_for_exit(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until a process exits, and return its exit code.

        Raises
        ------
        RuntimeError
            If it still runs after ``timeout_s`` seconds.
        """
        process = self.processes[name]
        deadline = time.monotonic() + timeout_s
        while process.poll() is None:
            if time.monotonic() > deadline:
                raise RuntimeError(f"{name} did not exit within {timeout_s} s")
            await asyncio.sleep(0.02)
        return process.returncode

    def stop(self) -> None:
        """Kill every process that still runs, suspended ones included."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes.values():
            process.wait()


def _add_entries(text: str, count: int) -> str:
    """Add tables of entry processes in the example's zones, up to ``count``."""
    zones = re.findall(r'(?m)^zone = "(.*)"$', text)
    # _write_settings replaces the ports of the new tables by free ones.
    listed = text.count("[[entry]]")
    for number in range(listed, count):
        text += (
            f'\n[[entry]]\nname = "entry-{number + 1}"\n'
            f'zone = "{zones[number % 3]}"\n'
            f'mailbox = "127.0.0.1:{60_000 + number}"\n'
            f'http = "127.0.0.1:{61_000 + number}"\n'
        )
    return text


def _limit_tables(text: str, table: str, max_count: int) -> str:
    """Remove the tables of one kind after the first ``max_count``."""
    blocks = re.split(r"(?m)^(?=\[)", text)
    kept = []
    seen = 0
    for block in blocks:
        if block.startswith(f"[[{table}]]"):
            seen += 1
            if seen > max_count:
                continue
        kept.append(block)
    return "".join(kept)
