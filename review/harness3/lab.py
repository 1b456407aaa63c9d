"""A small deployment on loopback: the project's programs, and stand-ins around them.

The stand-ins use the standard library only and speak what PROTOCOL.md says. A script
describes its case as a coroutine and passes it to :func:`run_case`.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_RUN_S = 115.0
CONTACT_S = 3.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Hosts of which each case uses some: coordinators, provider, replicas, gateways.
HOSTS = ("127.0.0.1", "127.0.1.1", "127.0.3.1", "127.0.4.1", "127.0.5.1")
KEY = "key-of-the-guides"
# Stands for a request that came on a channel which its replica had forgotten.
FORGOTTEN: tuple[str, dict[str, str], bytes] = ("forgotten", {}, b"")
FORGET_CHECK_S = 0.1

BOUNDS = {
    "lease_ms": 3000,
    "grace_s": 8,
    "drain_ms": 3000,
    "report_window_s": 5,
    "usage_late_s": 10,
    "retry_ratio": 0.2,
    "retry_slack": 56,
    "quota_window_s": 8,
    "quota_overrun": 0.1,
    "quota_slack": 140000,
    "ack_ms": 4000,
}
LIMITS = {
    "cpu_share": 0.537,
    "cores": 2,
    "memory_mb": 300,
    "max_fds": 4100,
    "link_mbps": 1000.0,
}


class Record:
    """Lines of ``record.txt``, with the seconds since the start of the case."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def add(self, *words: object) -> None:
        """Write one line."""
        line = " ".join(str(word) for word in words)
        self._file.write(f"{time.monotonic() - self._started:8.3f} {line}\n")

    def close(self) -> None:
        """Write all lines to the file."""
        self._file.close()


def find_base_port() -> int:
    """Return the first of ten ports that are free on the hosts in use."""
    while True:
        base = random.randrange(21000, 29000, 10)
        sockets = []
        try:
            for host, port in itertools.product(HOSTS, range(base, base + 10)):
                sockets.append(socket.socket())
                sockets[-1].bind((host, port))
        except OSError:
            continue
        finally:
            for row in sockets:
                row.close()
        return base


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a channel."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Return first line, headers and the body with a length, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def encode_answer(
    status: int, headers: dict[str, str], body: bytes = b"", *, chunked: bool = False
) -> bytes:
    """Return an answer; with ``chunked``, only its head."""
    framing = {"Transfer-Encoding": "chunked"}
    if not chunked:
        framing = {"Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} x"]
    lines += [f"{name}: {value}" for name, value in {**headers, **framing}.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Replica:
    """Stand-in of one replica; it answers streams and plain requests.

    ``handle`` is called with each request and may answer it in another way; it returns
    whether it has. ``runs`` are the requests that it has begun to run.
    """

    def __init__(self, lab: "Lab", service: str, number: int, address: str) -> None:
        self.lab = lab
        self.service = service
        self.address = address
        self.id = f"i-{service}-{number}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.version = "v1"
        self.slots = 64
        self.count_events = lambda target: 40
        self.event_s = 0.05
        self.first_s = 0.05
        self.work_s = 0.03
        self.handle = None
        self.max_channels = 1000
        self.keep_alive_s = 0
        self.refused_channels = 0
        self.forgets_after_s = 0.0
        self.resets = 0
        self.runs: list[tuple[float, str]] = []
        self.arrivals: list[tuple[float, str]] = []
        self.running: dict[asyncio.StreamWriter, str] = {}
        self._channels: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    def make_entry(self) -> dict[str, object]:
        """Return the replica's entry in the provider's list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "born": self.born,
            "phase": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
        }

    async def start(self) -> None:
        """Accept channels."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """Close the listener and reset all channels, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._channels):
            reset(writer)

    def crash(self, down_s: float) -> None:
        """Reset all channels and come back as a new lifetime."""
        self.lab.record.add("crash", self.id, "for", down_s)
        self.stop()
        self.lab.spawn(self._return(down_s))

    async def _return(self, down_s: float) -> None:
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        await self.start()
        self.lab.record.add("return", self.id, self.born)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._channels) >= self.max_channels:
            self.refused_channels += 1
            reset(writer)
            return
        self._channels.add(writer)
        try:
            while (message := await self._read_next(reader)) is not None:
                if message is FORGOTTEN:
                    self.resets += 1
                    reset(writer)
                    return
                await self._answer(message, writer)
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._channels.discard(writer)
            self.running.pop(writer, None)
            writer.close()

    @property
    def channels(self) -> int:
        """Number of open channels."""
        return len(self._channels)

    async def _read_next(
        self, reader: asyncio.StreamReader
    ) -> tuple[str, dict[str, str], bytes] | None:
        """Return the next request; an idle channel ends after the timeout.

        Return FORGOTTEN for a request on a channel that the replica has forgotten.
        """
        is_forgotten = False
        rested_since = time.monotonic()
        next_request = asyncio.ensure_future(read_message(reader))
        try:
            async with asyncio.timeout(self.keep_alive_s or None):
                while not next_request.done():
                    await asyncio.wait([next_request], timeout=FORGET_CHECK_S)
                    rested_s = time.monotonic() - rested_since
                    if not next_request.done() and self.forgets_after_s:
                        is_forgotten |= rested_s >= self.forgets_after_s
            message = next_request.result()
            return FORGOTTEN if is_forgotten and message is not None else message
        finally:
            next_request.cancel()

    async def _answer(
        self, message: tuple[str, dict[str, str], bytes], writer: asyncio.StreamWriter
    ) -> None:
        first, headers, body = message
        method, target, _ = first.split(" ")
        attempt = headers.get("tarragonway-attempt-id", "")
        self.arrivals.append((time.monotonic(), attempt))
        echo = {"Tarragonway-Attempt-Id": attempt}
        if headers.get("tarragonway-expected-instance", self.id) != self.id:
            writer.write(encode_answer(421, {**echo, "Tarragonway-Not-Executed": "1"}))
            return
        if len(self.running) >= self.slots:
            writer.write(encode_answer(503, {**echo, "Tarragonway-Not-Executed": "1"}))
            return
        self.runs.append((time.monotonic(), attempt))
        self.lab.record.add(
            "run", self.id, attempt, method, target,
            "tenant", headers.get("tarragonway-tenant", "-"),
            "key", headers.get("authorization", "-"),
            "last", headers.get("last-event-id", "-"),
        )  # fmt: skip
        self.running[writer] = attempt
        try:
            if self.handle is not None and await self.handle(
                self, target, headers, body, writer
            ):
                return
            if target.startswith("/s"):
                await self.stream(target, headers, writer)
            else:
                await asyncio.sleep(self.work_s)
                writer.write(encode_answer(200, self.sign(headers), self.make_body()))
                await writer.drain()
        finally:
            self.running.pop(writer, None)

    def sign(self, headers: dict[str, str]) -> dict[str, str]:
        """Return the headers of a success."""
        signed = {
            "Tarragonway-Attempt-Id": headers.get("tarragonway-attempt-id", ""),
            "Tarragonway-Server-Signature": f"sig-{self.id}",
            "Tarragonway-Server-Load": f"{len(self.running)},0,{self.slots}",
        }
        if self.keep_alive_s:
            signed["Keep-Alive"] = f"timeout={self.keep_alive_s}"
        return signed

    def make_body(self) -> bytes:
        """Return the body of a plain answer."""
        return b"x" * 800

    async def stream(
        self, target: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Write the rest of a stream."""
        sse = {**self.sign(headers), "Content-Type": "text/event-stream"}
        await asyncio.sleep(self.first_s)
        writer.write(encode_answer(200, sse, chunked=True))
        start = int(headers.get("last-event-id") or "0") + 1
        for number in range(start, self.count_events(target) + 1):
            self.write_event(writer, number)
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def write_event(self, writer: asyncio.StreamWriter, number: int) -> None:
        """Write one event as a chunk."""
        event = f"id: {number}\ndata: {self.version} {'t' * 40}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")


class Provider:
    """Stand-in of the provider: the list of replicas, and the duties' calls."""

    def __init__(self, lab: "Lab", address: str) -> None:
        self.lab = lab
        self.address = address
        self.edit = lambda entries: entries
        self.calls: list[tuple[float, str, dict[str, str], bytes]] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Accept channels."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                path = first.split(" ")[1].partition("?")[0]
                answer = b"{}"
                if path == "/replicas":
                    rows = [replica.make_entry() for replica in self.lab.replicas]
                    page = {"instances": self.edit(rows), "next": None}
                    answer = json.dumps(page).encode()
                else:
                    self.calls.append((time.monotonic(), path, headers, body))
                kind = {"Content-Type": "application/json"}
                writer.write(encode_answer(200, kind, answer))
                await writer.drain()
        writer.close()


class Answer:
    """What a client got for one attempt."""

    def __init__(self, attempt: str, gateway: int) -> None:
        self.attempt = attempt
        self.gateway = gateway
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self.ids: list[int] = []
        self.writer: asyncio.StreamWriter | None = None
        self.is_on_kept_channel = False


class Channel:
    """A channel that a client keeps for many requests, one at a time."""

    def __init__(self) -> None:
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.requests = 0

    def forget(self) -> None:
        """Close the channel; the next request opens another one."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
        self.requests = 0


class Lab:
    """The deployment of one case."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.record = record
        self.folder = folder
        self.base = find_base_port()
        self.replicas: list[Replica] = []
        self.provider = Provider(self, f"127.0.3.1:{self.base + 4}")
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.gateways = 0
        self.coordinators = 3
        self._tasks: set[asyncio.Task] = set()
        self._numbers = itertools.count(1)
        self.random = random.Random(7)

    def spawn(self, coroutine) -> asyncio.Task:  # type: ignore[no-untyped-def]
        """Run a coroutine beside the case."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def add_replicas(self, service: str, kind: int, count: int) -> list[Replica]:
        """Start replicas of a service."""
        added = [
            Replica(self, service, n, f"127.0.4.{kind * 40 + n}:{self.base + 5}")
            for n in range(1, count + 1)
        ]
        for replica in added:
            await replica.start()
        self.replicas += added
        return added

    async def start(self, gateways: int) -> None:
        """Start provider, coordinators and gateways."""
        self.gateways = gateways
        await self.provider.start()
        for number in range(1, self.coordinators + 1):
            await self.start_process("coordinator", number)
        for number in range(1, gateways + 1):
            await self.start_process("gateway", number)

    def _write_settings(self, role: str, number: int) -> pathlib.Path:
        host = f"127.0.{1 if role == 'coordinator' else 5}.{number}"
        seeds = [
            f"127.0.1.{n}:{self.base + 1}" for n in range(1, self.coordinators + 1)
        ]
        listen = {"peers": f"{host}:{self.base}"}
        lines = [
            f'name = "{role}-{number}"', 'zone = "z1"', 'zones = ["z1"]',
            f"seeds = {json.dumps(seeds)}",
        ]  # fmt: skip
        path = self.folder / f"{role}-{number}.toml"
        if role == "coordinator":
            listen["operators"] = f"{host}:{self.base + 1}"
            first = "false" if path.exists() else "true"
            data = self.folder / f"{role}-{number}.data"
            lines += [f"bootstrap = {first}", f'data_folder = "{data}"']
        else:
            listen["callers"] = f"{host}:{self.base + 2}"
            listen["readiness"] = f"{host}:{self.base + 3}"
        provider = {
            "address": self.provider.address, "calls_per_s": 44.0, "duties": ["usage"],
        }  # fmt: skip
        tables = {
            "listen": listen, "platform": provider, "bounds": BOUNDS, "limits": LIMITS,
        }  # fmt: skip
        for name, table in tables.items():
            lines += ["", f"[{name}]"]
            lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    async def start_process(self, role: str, number: int) -> None:
        """Start one of the project's programs with the command of the deploy file."""
        path = self._write_settings(role, number)
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TARRAGONWAY_SETTINGS": str(path),
        }
        with path.with_suffix(".log").open("ab") as log:
            self.processes[f"{role}-{number}"] = await asyncio.create_subprocess_exec(
                "python3", "-S", "-m", f"tarragonway.{role}",
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )  # fmt: skip

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this case has started."""
        self.record.add("signal", name, number.name)
        self.processes[name].send_signal(number)

    async def stop(self) -> None:
        """End everything that was started."""
        for task in list(self._tasks):
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self.processes.values():
            await process.wait()

    def count_log(self, text: str) -> int:
        """Return how many lines of the programs' logs hold a text."""
        return sum(
            path.read_text(encoding="utf-8", errors="replace").count(text)
            for path in self.folder.glob("*.log")
        )

    # Operator

    async def configure(
        self, configuration: dict[str, object], timeout_s: float = 15.0
    ) -> int:
        """Send a configuration until it has a clear answer; return the status."""
        body = json.dumps(configuration).encode()
        end = time.monotonic() + timeout_s
        first = self.random.randrange(self.coordinators)
        address = ""
        for turn in itertools.count(first):
            if time.monotonic() > end:
                raise RuntimeError("no clear answer to a configuration")
            number = turn % self.coordinators + 1
            address = address or f"127.0.1.{number}:{self.base + 1}"
            status, location = await self._order("/v1/Config.Replace", body, address)
            address = location
            if status in (200, 400, 409, 412, 413, 422):
                self.record.add("config", configuration["version"], "answered", status)
                return status
            if not location:
                await asyncio.sleep(0.2)
        return 0

    async def _order(self, path: str, body: bytes, address: str) -> tuple[int, str]:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                answer = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, ""
        if answer is None:
            return 0, ""
        location = answer[1].get("location", "").removeprefix("http://")
        return int(answer[0].split(" ")[1]), location.partition("/")[0]

    # Clients

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all gateways say that they are ready."""
        end = time.monotonic() + timeout_s
        for number in range(1, self.gateways + 1):
            while not await self.is_ready(number):
                if time.monotonic() > end:
                    raise RuntimeError(f"gateway-{number} does not become ready")
                await asyncio.sleep(0.1)

    async def is_ready(self, number: int) -> bool:
        """Ask a gateway whether it is ready, as the provider does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    f"127.0.5.{number}", self.base + 3
                )
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer is not None and " 200" in answer[0]

    def make_attempt(self) -> str:
        """Return a new attempt id."""
        return f"{next(self._numbers):06x}{self.random.randrange(16**10):010x}"

    async def ask(
        self,
        target: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        budget_s: float = 15.0,
        gateway: int = 0,
        answers: list[Answer] | None = None,
        attempt: str = "",
        channel: Channel | None = None,
    ) -> Answer:
        """Send one client attempt and return what came of it.

        Without ``channel``, it goes on a new one.
        """
        kept, channel = channel is not None, channel or Channel()
        gateway = gateway or self.random.randrange(self.gateways) + 1
        answer = Answer(attempt or self.make_attempt(), gateway)
        if answers is not None:
            answers.append(answer)
        lines = {
            "Host": "app.example",
            "Tarragonway-Attempt-Id": answer.attempt,
            "Tarragonway-Deadline-Ms": str(int(budget_s * 1000)),
            **(headers or {}),
        }
        if body or method != "GET":
            lines["Content-Length"] = str(len(body))
        head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        self.record.add("send", answer.attempt, method, target, "gateway", gateway)
        try:
            async with asyncio.timeout(budget_s):
                if channel.reader is None:
                    channel.reader, channel.writer = await asyncio.open_connection(
                        f"127.0.5.{gateway}", self.base + 2
                    )
                answer.is_on_kept_channel = channel.requests > 0
                channel.requests += 1
                answer.writer = channel.writer
                channel.writer.write(
                    f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body
                )
                await self._read_answer(channel.reader, answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            answer.ended_at = time.monotonic()
            is_closing = answer.headers.get("connection", "").lower() == "close"
            if not (kept and answer.is_complete) or is_closing:
                channel.forget()
        self.record.add(
            "got", answer.attempt, answer.status,
            "complete" if answer.is_complete else "incomplete",
            "events", f"{answer.ids[0]}-{answer.ids[-1]}" if answer.ids else "none",
            answer.body[:60] if answer.status >= 300 else "",
        )  # fmt: skip
        return answer

    async def _read_answer(self, reader: asyncio.StreamReader, answer: Answer) -> None:
        head = await read_message(reader)
        if head is None:
            return
        answer.status = int(head[0].split(" ")[1])
        answer.headers, answer.body = head[1], head[2]
        if "content-length" in answer.headers:
            answer.is_complete = True
            return
        buffer = b""
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                answer.is_complete = not buffer
                return
            answer.body += data[:-2]
            buffer += data[:-2]
            *events, buffer = buffer.split(b"\n\n")
            for event in events:
                for row in event.split(b"\n"):
                    if row.startswith(b"id:"):
                        answer.ids.append(int(row[3:]))


def make_configuration(
    version: int, routes: list[dict], services: list[dict], tenants: list[dict] | None
) -> dict[str, object]:
    """Return a configuration with the limits of the pages' example."""
    configuration: dict[str, object] = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
    }  # fmt: skip
    if tenants is not None:
        configuration["tenants"] = tenants
    return configuration


def make_route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
    """Return a route of the host ``app.example``."""
    return {
        "name": name, "host": "app.example", "path_prefix": prefix, "route_kind": kind,
        "timeout_ms": 15000, "slo_ms": 1200, "priority": 0, "service": service,
        "max_attempts": 2, "public": False, "sticky": False, "resumable": False, **more,
    }  # fmt: skip


ENGINE = {
    "slots": 64, "kv_capacity_tokens": 632135, "kv_token_bytes": 18432,
    "link_mbps": 130000.0, "moves": True, "backups": True, "stride": 5, "most": 12,
    "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_ttl_s": 5.0,
    "models": [{"name": "m"}],
}  # fmt: skip


def make_digest_configuration(version: int = 7) -> dict[str, object]:
    """Return a configuration with one route of resumable streams and one tenant."""
    routes = [
        make_route(
            "digest", "/s/", "streaming", "llm", sticky=True, resumable=True,
            itl_target_ms=800,
        )
    ]  # fmt: skip
    services = [
        {
            "name": "llm", "health_path": "/healthz", "max_conns": 370,
            "protocol": "h1", "tls": False, "engine": ENGINE,
        }
    ]  # fmt: skip
    tenants = [
        {
            "name": "guides", "api_keys": [KEY], "priority": 0, "unit": "tokens",
            "uncached_tokens": 200, "rate_per_s": 4_000_000, "burst": 4_000_000,
        }
    ]  # fmt: skip
    return make_configuration(version, routes, services, tenants)


def make_digest_headers(parts: list[str], output_tokens: int = 80) -> dict[str, str]:
    """Return the headers of a request of that tenant with these prompt parts."""
    return {
        "Authorization": f"Bearer {KEY}",
        "Content-Type": "application/json",
        "Tarragonway-Model": "m",
        "Tarragonway-Token-Usage": f"1460,{output_tokens}",
        "Tarragonway-Prefix-Hash": ",".join(parts),
    }


def run_case(case, folder: str) -> None:  # type: ignore[no-untyped-def]
    """Run a case and end with its verdict: 1 broken, 0 held, 2 not run."""
    record = Record(pathlib.Path(folder) / "record.txt")

    async def play() -> int:
        with tempfile.TemporaryDirectory(prefix="tarragonway-review-") as temporary:
            lab = Lab(record, pathlib.Path(temporary))
            try:
                async with asyncio.timeout(MAX_RUN_S):
                    return await case(lab)
            finally:
                if os.environ.get("KEEP_LOGS"):
                    target = pathlib.Path(os.environ["KEEP_LOGS"])
                    target.mkdir(parents=True, exist_ok=True)
                    for path in lab.folder.glob("*.log"):
                        (target / path.name).write_bytes(path.read_bytes())
                await lab.stop()

    try:
        code = asyncio.run(play())
    except BaseException:
        traceback.print_exc()
        record.add("could not run", traceback.format_exc().replace("\n", " | "))
        code = NOT_RUN
    record.add("exit", code)
    record.close()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code])
    sys.exit(code)
