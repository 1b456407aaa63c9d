"""Small deployment on loopback for the cases: processes, stand-ins, operator."""

import asyncio
import contextlib
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

from web import Answer, WebServer, fetch

ROOT = pathlib.Path(__file__).resolve().parents[2]
PEER, OPERATOR, CALLER, READY, PLATFORM, REPLICA, METRICS = range(7)
HOSTS = {"coordinator": "127.41.1", "gateway": "127.41.2", "replica": "127.41.4"}
PLATFORM_HOST = "127.41.3.1"
HOST_NAME = "ficu95.example"


def find_base_port():
    """Return the first of ten ports that are free on all addresses in use."""
    while True:
        base = random.randrange(20000, 32000, 10)
        addresses = [(PLATFORM_HOST, base + PLATFORM)]
        for prefix in HOSTS.values():
            addresses += [
                (f"{prefix}.{n}", base + p) for n in range(1, 9) for p in range(7)
            ]
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind(address)
        except OSError:
            continue
        return base


class Record:
    """Writes record.txt: what was sent, answered and run, with the time."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._began = time.monotonic()

    def note(self, text):
        """Write one line."""
        line = f"{time.monotonic() - self._began:8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def close(self):
        """Close it."""
        self._file.close()


class Process:
    """One program of the deploy file, started with its command."""

    def __init__(self, world, name, module, settings):
        self.name, self.settings = name, settings
        self._world, self._module = world, module
        self._process = None

    async def start(self):
        """Start it."""
        path = self._world.folder / f"{self.name}.toml"
        path.write_text(self.settings, encoding="utf-8")
        environment = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["TARRAGONWAY_SETTINGS"] = str(path)
        with open(self._world.folder / f"{self.name}.log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3", "-S", "-m", self._module,
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )  # fmt: skip
        self._world.record.note(f"{self.name} started")

    @property
    def is_running(self):
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self):
        """Id of the process."""
        return self._process.pid

    def send(self, number):
        """Send it."""
        if self.is_running:
            self._process.send_signal(number)

    async def kill(self):
        """End the process at once."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        self._world.record.note(f"{self.name} killed")

    async def stop(self, limit_s=10.0):
        """Ask the process to stop, and end it if it doesn't in time."""
        if not self.is_running:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._process.wait(), limit_s)
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self._process.wait()

    def read_log(self):
        """Return what the process has written so far."""
        path = self._world.folder / f"{self.name}.log"
        return (
            path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""
        )


class Platform:
    """The platform's interface: the list of replicas, and the duties' calls."""

    def __init__(self, address, record):
        self.rows, self.calls = {}, []
        self._address, self._record = address, record
        self._server = WebServer(self._handle)

    async def start(self):
        """Start it."""
        await self._server.listen(self._address)

    def close(self):
        """Close it."""
        self._server.close()

    async def _handle(self, request, writer):
        path = request.target.partition("?")[0]
        if path == "/replicas":
            body = {"instances": list(self.rows.values()), "next": None}
            await writer.answer(200, body=json.dumps(body).encode())
            return
        self.calls.append((time.monotonic(), path, dict(request.headers), request.body))
        await writer.answer(200, body=b"{}")


class World:
    """Coordinators, gateways, the platform and its list."""

    def __init__(self, folder, coordinators=3, gateways=2, bounds=()):
        self.case, self._bounds = pathlib.Path(folder), bounds
        self.record = Record(self.case / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.base = find_base_port()
        self.platform = Platform(self.at(PLATFORM_HOST, PLATFORM), self.record)
        self.coordinators = {
            n: self.make_coordinator(n, True) for n in range(1, coordinators + 1)
        }
        self.gateways = {n: self._make_gateway(n) for n in range(1, gateways + 1)}
        self.closers = []

    def at(self, host, offset):
        """Return the address at this host with an offset of the ports."""
        return f"{host}:{self.base + offset}"

    def host(self, kind, number):
        """Return the host of one process or stand-in."""
        return f"{HOSTS[kind]}.{number}"

    def operator_address(self, number):
        """Return the address of a coordinator for the operator."""
        return self.at(self.host("coordinator", number), OPERATOR)

    def caller_address(self, number):
        """Return the address of a gateway for clients."""
        return self.at(self.host("gateway", number), CALLER)

    def _make_settings(self, name, host, listen, extra, bootstrap):
        seeds = [self.operator_address(n) for n in (1, 2, 3)]
        lines = [
            f'name = "{name}"', 'zone = "z1"', 'zones = ["z1"]',
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(bootstrap)}", *extra, "[listen]",
            f'peers = "{self.at(host, PEER)}"', f'metrics = "{self.at(host, METRICS)}"',
            *listen, "[platform]", f'address = "{self.at(PLATFORM_HOST, PLATFORM)}"',
            "calls_per_s = 44.0", 'duties = ["usage"]', "[bounds]",
            "lease_ms = 3000", "grace_s = 8.0", "drain_ms = 3000",
            "report_window_s = 5",
            "usage_late_s = 10", "retry_ratio = 0.2", "retry_slack = 56",
            "quota_window_s = 8", "quota_overrun = 0.1", "quota_slack = 140000",
            "ack_ms = 4000", *self._bounds, "[limits]",
            "cpu_share = 0.537", "cores = 2",
            "memory_mb = 300", "max_fds = 4100", "link_mbps = 1000.0",
        ]  # fmt: skip
        return "\n".join(lines) + "\n"

    def make_coordinator(self, number, bootstrap):
        """Return the process of a coordinator."""
        host, name = self.host("coordinator", number), f"coordinator-{number}"
        listen = [f'operators = "{self.at(host, OPERATOR)}"']
        extra = [f'data_folder = "{self.folder / name}.data"']
        settings = self._make_settings(name, host, listen, extra, bootstrap)
        return Process(self, name, "tarragonway.coordinator", settings)

    def _make_gateway(self, number):
        host, name = self.host("gateway", number), f"gateway-{number}"
        listen = [
            f'callers = "{self.at(host, CALLER)}"',
            f'readiness = "{self.at(host, READY)}"',
        ]
        settings = self._make_settings(name, host, listen, [], True)
        return Process(self, name, "tarragonway.gateway", settings)

    async def start(self, configuration):
        """Start everything, put the first configuration into force, await readiness."""
        await self.platform.start()
        processes = [*self.coordinators.values(), *self.gateways.values()]
        for process in processes:
            await process.start()
        await self.put(configuration, 25.0)
        for process in processes:
            process.settings = process.settings.replace(
                "bootstrap = true", "bootstrap = false"
            )
        for number in self.gateways:
            await self.await_ready(number)

    async def await_ready(self, number, limit_s=20.0):
        """Return once the gateway says that it is ready."""
        address = self.at(self.host("gateway", number), READY)
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            answer = await fetch(address, "GET", "/v1/readyz", limit_s=1.0)
            if isinstance(answer, Answer) and answer.status == 200:
                self.record.note(f"gateway-{number} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"gateway-{number} isn't ready after {limit_s} s")

    async def call_operator(self, method, path, body=b""):
        """Send one call to one node after the other; return the first clear answer."""
        numbers = list(self.coordinators)
        random.shuffle(numbers)
        for number in numbers:
            address, target = self.operator_address(number), path
            for _ in range(3):
                answer = await fetch(address, method, target, body=body, limit_s=1.0)
                if not isinstance(answer, Answer) or answer.status != 307:
                    break
                rest = answer.get("location").partition("//")[2]
                address, _, target = rest.partition("/")
                target = "/" + target
            if (
                isinstance(answer, Answer)
                and answer.status not in (307, 408, 429)
                and answer.status < 500
            ):
                return answer
        return None

    async def put(self, configuration, limit_s=15.0):
        """Send a configuration until the answer is clear; return its status."""
        body = json.dumps(configuration).encode()
        end = time.monotonic() + limit_s
        version = configuration["version"]
        self.record.note(f"operator sends version {version}")
        while time.monotonic() < end:
            answer = await self.call_operator("POST", "/v1/Config.Replace", body)
            if answer is not None:
                self.record.note(f"operator gets {answer.status} for version {version}")
                return answer.status
            await asyncio.sleep(0.2)
        self.record.note(
            f"operator has no clear answer for version {version} in {limit_s} s"
        )
        return None

    async def read(self, limit_s):
        """Ask for the configuration until a node returns it; None if none does."""
        end = time.monotonic() + limit_s
        tries = 0
        while time.monotonic() < end:
            answer = await self.call_operator("GET", "/v1/Config.Read")
            tries += 1
            if answer is not None and answer.status == 200:
                version = json.loads(answer.body)["version"]
                self.record.note(f"operator reads version {version}")
                return version
            await asyncio.sleep(0.2)
        self.record.note(
            f"no node has returned the configuration in {limit_s} s ({tries} rounds)"
        )
        return None

    async def end(self):
        """End all processes, and close the stand-ins."""
        processes = [*self.gateways.values(), *self.coordinators.values()]
        for process in processes:
            process.send(signal.SIGCONT)
        await asyncio.gather(*(process.kill() for process in processes))
        for close in self.closers:
            close()
        self.platform.close()
        if os.environ.get("KEEP"):
            shutil.copytree(self.folder, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRunError(Exception):
    """The case could not be set up."""


def run_case(folder, case, **options):
    """Run ``case(world, trouble)``; it returns the lines that break the rule."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder, **options)
        world.record.note(
            "with the disruption" if trouble else "without the disruption"
        )
        try:
            async with asyncio.timeout(112):
                broken = await case(world, trouble)
            for line in broken:
                world.record.note(f"BROKEN: {line}")
            world.record.note("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except (CannotRunError, TimeoutError, OSError) as error:
            world.record.note(f"could not run: {error!r}")
            return 2
        finally:
            with contextlib.suppress(Exception):
                await world.end()
            world.record.close()

    code = asyncio.run(run())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
