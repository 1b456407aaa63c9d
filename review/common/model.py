"""Stand-ins of model replicas, and clients of streams that may be resumed."""

import asyncio
import collections
import random
import time

from harness import Case, Headers, encode_answer, read_body, read_head

SERVICE = "radgjafi"
HOST, PATH = "ficu95.example", "/lohu930/2f"
ROUTE = {
    "name": "dossier-review",
    "host": HOST,
    "path_prefix": "/lohu930/",
    "route_kind": "streaming",
    "timeout_ms": 15000,
    "slo_ms": 1200,
    "priority": 0,
    "service": SERVICE,
    "max_attempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "itl_target_ms": 800,
}
ENGINE = {"slots": 64, "kv_capacity_tokens": 652293, "stride": 5}


def make_config(version: int) -> dict[str, object]:
    """Return a valid configuration with one streaming route."""
    service = {"name": SERVICE, "health_path": "/healthz", "max_conns": 370}
    return {
        "version": version,
        "routes": [ROUTE],
        "services": [{**service, "engine": ENGINE}],
    }


class Replica:
    """A model replica that streams events, and may crash."""

    def __init__(
        self, case: Case, number: int, software: str, events: int, pause_s: float
    ) -> None:
        self.id, self.software = f"i-{number:08x}", software
        self.address = case.address(f"127.0.13.{number}", 6)
        self.zone = case.zones[(number - 1) % 3]
        self.state = "ready"
        self.running = 0
        self.begun = 0
        self.born = int(time.time() * 1000)
        self._events, self._pause_s = events, pause_s
        self._case = case
        self._server: asyncio.Server | None = None
        self._channels: set[asyncio.StreamWriter] = set()

    @property
    def entry(self) -> dict[str, object]:
        """The replica's entry in the provider's list."""
        return {
            "id": self.id,
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": self.software,
            "slots": 64,
            "state": self.state,
            "cold_left_ms": 0,
            "phase": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "born": self.born,
        }

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def crash(self) -> None:
        """Reset all channels and stop listening."""
        self._case.record(f"replica {self.id} ({self.software}) crashes")
        assert self._server is not None
        self._server.close()
        for channel in list(self._channels):
            channel.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._channels.add(writer)
        try:
            while True:
                _, headers = await read_head(reader)
                await read_body(reader, headers)
                await self._answer(headers, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            self._channels.discard(writer)

    async def _answer(self, headers: Headers, writer: asyncio.StreamWriter) -> None:
        attempt = headers.get("tarragonway-attempt-id", "")
        echo = {"tarragonway-attempt-id": attempt}
        if headers.get("tarragonway-expected-instance", self.id) != self.id:
            writer.write(encode_answer(421, echo, b""))
            return
        first = int(headers.get("last-event-id") or 0) + 1
        self._case.record(
            f"replica {self.id} ({self.software}) runs {attempt} from event {first}"
        )
        self.running += 1
        lines = ["HTTP/1.1 200 OK", "content-type: text/event-stream"]
        lines += ["transfer-encoding: chunked", f"tarragonway-attempt-id: {attempt}"]
        lines += [f"tarragonway-server-signature: {self.id}.{attempt}"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        try:
            for number in range(first, self._events + 1):
                event = f"id: {number}\ndata: {self.software}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                self.begun += number == first
                await asyncio.sleep(self._pause_s)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


class StreamClient:
    """One client's stream over its tries; retries reach other machines."""

    def __init__(self, case: Case, fronts: list[str], retries: int = 3) -> None:
        self.id = f"{random.getrandbits(64):016x}"
        self.events: list[tuple[int, str]] = []
        self.complete = False
        self._case, self._fronts, self._retries = case, fronts, retries
        self._end = 0.0
        self._first_attempt = ""
        self._delay_s = 0.25

    @property
    def versions(self) -> list[str]:
        """Software versions whose events the client has, in order."""
        return list(collections.Counter(version for _, version in self.events))

    def describe(self) -> str:
        """Return the events that the client has, with their versions."""
        parts = [
            _describe([e for e in self.events if e[1] == v]) for v in self.versions
        ]
        return ", then ".join(parts)

    async def run(self) -> None:
        """Ask for a stream, and go on with it a few times when its channel breaks."""
        self._end = time.monotonic() + 15.0
        front = random.choice(self._fronts)
        for number in range(self._retries + 1):
            attempt = f"{self.id[:12]}{number:04x}"
            wait_s = await self._attempt(front, attempt)
            if self.complete or time.monotonic() + wait_s > self._end:
                return
            await asyncio.sleep(wait_s)
            front = random.choice([f for f in self._fronts if f != front])

    async def _attempt(self, front: str, attempt: str) -> float:
        """Make one attempt; return the seconds until the next one may be made."""
        left_s = self._end - time.monotonic()
        headers = {
            "Host": HOST,
            "Tarragonway-Attempt-Id": attempt,
            "Tarragonway-Model": "m",
            "Tarragonway-Token-Usage": "1460,400",
            "Tarragonway-Prefix-Hash": f"5c1e07a2:800,91bd3f06:410,{self.id[:8]}:250",
            "Tarragonway-Deadline-Ms": str(int(left_s * 1000)),
            "Content-Length": "2",
        }
        if self.events:
            headers["Last-Event-Id"] = str(self.events[-1][0])
            headers["Resumes"] = self._first_attempt
        host, _, port = front.rpartition(":")
        seen, status, answer = len(self.events), 0, {}
        writer = None
        try:
            async with asyncio.timeout(left_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                lines = [f"POST {PATH} HTTP/1.1", *map(": ".join, headers.items())]
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n{}")
                first, answer = await read_head(reader)
                status = int(first.split()[1])
                if status == 200:
                    await self._read_events(reader, attempt)
                    self.complete = True
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        self._case.record(
            f"client {attempt} at {front}, resumes {headers.get('Resumes', '-')} after "
            f"{headers.get('Last-Event-Id', '-')}: {status}, retry-after "
            f"{answer.get('retry-after', '-')}, events "
            f"{_describe(self.events[seen:])}, complete {self.complete}"
        )
        # Retry-After, or a delay of its own that doubles, whichever is longer.
        self._delay_s *= 2
        wait_s = max(float(answer.get("retry-after", "0")), self._delay_s)
        return min(wait_s, (self._end - time.monotonic()) / 3)

    async def _read_events(self, reader: asyncio.StreamReader, attempt: str) -> None:
        buffer = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            buffer += await reader.readexactly(size)
            await reader.readline()
            *events, buffer = buffer.split(b"\n\n")
            for event in events:
                fields = dict(line.split(b": ", 1) for line in event.split(b"\n"))
                if not self.events:
                    self._first_attempt = attempt
                self.events.append((int(fields[b"id"]), fields[b"data"].decode()))


def _describe(events: list[tuple[int, str]]) -> str:
    if not events:
        return "none"
    versions = "+".join(dict.fromkeys(version for _, version in events))
    return f"{events[0][0]} to {events[-1][0]} of {versions}"
