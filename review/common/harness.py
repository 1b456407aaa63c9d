"""Small stand-ins and process control that the review's scripts share.

Only the standard library is used. The stand-ins do what the users' pages say of a
platform, an operator, a replica and a client; each script adds what its case needs.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Offsets of the ports of every machine; all machines have the same ports.
PEERS, CONTROL, FRONT, READY, METRICS, CLOUD, SERVER = range(7)
PORTS = 7
CORE_NET, EDGE_NET, SERVER_NET = "127.0.11", "127.0.12", "127.0.13"
CLOUD_HOST = "127.0.14.1"

Headers = dict[str, str]


class CannotRun(Exception):  # noqa: N818
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """The file ``record.txt``: what was sent, answered and run, with times."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line, with the seconds since the start."""
        line = f"{time.monotonic() - self._start:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


# HTTP


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Return the first line and the headers, with names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return a whole body that has a length or chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_answer(status: int, headers: Headers, body: bytes) -> bytes:
    """Return a complete answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(
    address: str,
    method: str,
    path: str,
    headers: Headers | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> tuple[int, Headers, bytes]:
    """Send one call on a new channel; status 0 means that no answer came."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            sent = {
                "host": address,
                "content-length": str(len(body)),
                **(headers or {}),
            }
            lines = [
                f"{method} {path} HTTP/1.1",
                *(f"{k}: {v}" for k, v in sent.items()),
            ]
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            first, answered = await read_head(reader)
            return int(first.split()[1]), answered, await read_body(reader, answered)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return 0, {}, repr(error).encode()
    finally:
        if writer is not None:
            writer.transport.abort()


# Platform and operator


class Platform:
    """The provider's list and the calls of singleton duties."""

    def __init__(self, address: str, record: Record) -> None:
        self.address = address
        self.entries: list[dict[str, object] | bytes] = []
        self.list_entries = lambda: self.entries
        self.list_reads = 0
        self._record = record
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                writer.write(encode_answer(200, {}, self._answer(first, body)))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    def _answer(self, first: str, body: bytes) -> bytes:
        if not first.startswith("GET /replicas"):
            return b"{}"
        self.list_reads += 1
        rows = [
            row if isinstance(row, bytes) else json.dumps(row).encode()
            for row in self.list_entries()
        ]
        return b'{"instances":[' + b",".join(rows) + b'],"next":null}'


class Operator:
    """Sends configurations and reads them back, as the pages say an operator does."""

    def __init__(self, nodes: list[str], record: Record) -> None:
        self.nodes = nodes
        self.leader = ""
        self._record = record

    async def replace(self, config: dict[str, object], limit_s: float) -> int:
        """Send a configuration until it is answered clearly; return the status."""
        body = json.dumps(config).encode()
        return (await self._call("POST", "/v1/Config.Replace", body, limit_s))[0]

    async def read(self, limit_s: float) -> int | None:
        """Return the version that is read back, or None if none comes in time."""
        status, body = await self._call("GET", "/v1/Config.Read", b"", limit_s)
        return json.loads(body)["version"] if status == 200 else None

    async def _call(
        self, method: str, path: str, body: bytes, limit_s: float
    ) -> tuple[int, bytes]:
        end, delay_s, tries = time.monotonic() + limit_s, 0.1, 0
        status, answer = 0, b""
        while time.monotonic() < end:
            node = self.nodes[tries % len(self.nodes)]
            tries += 1
            for _ in range(3):
                status, headers, answer = await call(node, method, path, {}, body)
                self._record(f"operator {method} {path} at {node}: {status}")
                if status != 307:
                    break
                node = headers["location"].removeprefix("http://").partition("/")[0]
            if status == 200 or status in (400, 409, 412, 413, 422):
                self.leader = node
                return status, answer
            await asyncio.sleep(delay_s)
            delay_s = min(1.0, 2 * delay_s)
        return status, answer


# Processes


class Machine:
    """One machine with one role: its settings file, its disk and its process."""

    def __init__(self, case: "Case", role: str, ip: str, zone: str, seed: bool) -> None:
        self.name, self.ip, self.zone, self.role = f"{role}-{ip}", ip, zone, role
        self._case, self.bootstrap = case, seed
        self.disk = case.folder / f"{self.name}.disk"
        self._settings = case.folder / f"{self.name}.toml"
        self._log = case.folder / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.own_ends = 0

    def address(self, port: int) -> str:
        """Return one of the machine's addresses."""
        return self._case.address(self.ip, port)

    async def start(self) -> None:
        """Write the settings and start the program as the deploy file says."""
        self._settings.write_text(self._make_settings(), encoding="utf-8")
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-m", f"tarragonway.{self.role}"),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": str(self._case.folder),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONUNBUFFERED": "1",
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "TARRAGONWAY_SETTINGS": str(self._settings),
                },
            )
        self._case.record(f"{self.name} started")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self._case.record(f"{self.name} is sent {number.name}")

    async def wait(self, limit_s: float) -> int | None:
        """Wait for the process's end; return its exit status, None after the limit."""
        assert self.process is not None
        try:
            async with asyncio.timeout(limit_s):
                return await self.process.wait()
        except TimeoutError:
            return None

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        await self.wait(5.0)

    async def terminate(self, grace_s: float = 8.0) -> None:
        """Stop the process as the platform does: SIGTERM, then SIGKILL."""
        self.send(signal.SIGTERM)
        if await self.wait(grace_s) is None:
            await self.kill()

    def lose_disk(self) -> None:
        """Empty the data folder; the next start is not the first of the system."""
        shutil.rmtree(self.disk, ignore_errors=True)
        self.bootstrap = False
        self._case.record(f"{self.name} has lost its disk")

    async def keep_running(self, pause_s: float = 0.3) -> None:
        """Start the process again whenever it ends by itself, and count that."""
        while True:
            assert self.process is not None
            status = await self.process.wait()
            self.own_ends += 1
            self._case.record(f"{self.name} ended by itself with status {status}")
            await asyncio.sleep(pause_s)
            await self.start()

    def _make_settings(self) -> str:
        case, is_core = self._case, self.role == "coordinator"
        lines = [
            f'name = "{self.name}"',
            f'zone = "{self.zone}"',
            f"zones = {json.dumps(case.zones)}",
            f"seeds = {json.dumps(case.seeds)}",
            f"bootstrap = {json.dumps(self.bootstrap)}",
            *([f'data_folder = "{self.disk}"'] if is_core else []),
            "[listen]",
            f'peers = "{self.address(PEERS)}"',
            f'metrics = "{self.address(METRICS)}"',
        ]
        if is_core:
            lines += [f'operators = "{self.address(CONTROL)}"']
        else:
            lines += [f'callers = "{self.address(FRONT)}"']
            lines += [f'readiness = "{self.address(READY)}"']
        lines += ["[platform]", f'address = "{case.platform.address}"']
        lines += ["calls_per_s = 44.0", f"duties = {json.dumps(case.duties)}"]
        lines += ["[bounds]", *(f"{k} = {v}" for k, v in case.bounds.items())]
        return "\n".join(lines) + "\n"


class Case:
    """Machines of a small deployment on loopback addresses, and its platform."""

    zones = ["hafnarfj", "keflav", "selfoss"]  # noqa: RUF012
    # As the pages give them for the two installations.
    bounds: dict[str, float] = {  # noqa: RUF012
        "lease_ms": 3000,
        "grace_s": 8.0,
        "drain_ms": 3000,
        "report_window_s": 5,
        "usage_late_s": 10,
        "retry_ratio": 0.2,
        "retry_slack": 56,
        "quota_window_s": 8,
        "quota_overrun": 0.1,
        "quota_slack": 140000,
    }

    def __init__(self, folder: pathlib.Path, cores: int, edges: int) -> None:
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._port = find_ports()
        self.duties = ["usage"]
        self.seeds = [self.address(f"{CORE_NET}.{n}", CONTROL) for n in (1, 2, 3)]
        self.platform = Platform(self.address(CLOUD_HOST, CLOUD), self.record)
        self.machines: list[Machine] = []
        self.core = [self.add("coordinator", CORE_NET, n) for n in range(1, cores + 1)]
        self.edge = [self.add("gateway", EDGE_NET, n) for n in range(1, edges + 1)]
        self.operator = Operator([m.address(CONTROL) for m in self.core], self.record)

    def address(self, ip: str, port: int) -> str:
        """Return ``IP:port`` of one of a machine's ports."""
        return f"{ip}:{self._port + port}"

    def add(self, role: str, net: str, number: int) -> Machine:
        """Add a machine; only the first three with a disk found the group."""
        zone = self.zones[(number - 1) % 3]
        machine = Machine(self, role, f"{net}.{number}", zone, number <= 3)
        self.machines.append(machine)
        return machine

    def find_core(self, address: str) -> Machine:
        """Return the core machine with this control address."""
        return next(m for m in self.core if m.address(CONTROL) == address)

    async def start(self, machines: list[Machine]) -> None:
        """Start the platform and these machines."""
        await self.platform.start()
        for machine in machines:
            await machine.start()

    async def stop(self, keep_logs: str = "") -> None:
        """Kill every process that was started, and remove the folder."""
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        if keep_logs:
            shutil.copytree(self.folder, keep_logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def find_ports() -> int:
    """Return the first of some ports that are free on all loopback addresses."""
    for _ in range(200):
        first = random.randrange(20000, 30000, PORTS)
        try:
            for port in range(first, first + PORTS):
                with socket.socket() as probe:
                    probe.bind(("0.0.0.0", port))
        except OSError:
            continue
        return first
    raise CannotRun("no free ports")


def run(
    file: str, cores: int, edges: int, play: Callable[[Case], Awaitable[bool]]
) -> None:
    """Play a case; exit with 0 if the rule held, 1 if not, 2 if it couldn't run."""

    async def main() -> int:
        case = Case(pathlib.Path(file).resolve().parent, cores, edges)
        case.record(f"TROUBLE={int(case.trouble)}")
        me = asyncio.current_task()
        assert me is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, me.cancel)
        try:
            async with asyncio.timeout(110):
                held = await play(case)
        except (Exception, asyncio.CancelledError) as error:
            case.record(f"the case couldn't run: {error!r}")
            return 2
        finally:
            await case.stop(os.environ.get("KEEP", ""))
        case.record("the rule held" if held else "THE RULE WAS BROKEN")
        return 0 if held else 1

    sys.exit(asyncio.run(main()))
