"""Stand-ins of replicas that answer single calls."""

import asyncio
import time

from harness import Case, Headers, encode_answer, read_body, read_head

SERVICE, HOST, PATH = "umsoknir", "ficu95.example", "/pule252/2f"


def make_config(version: int, kind: str, max_attempts: int) -> dict[str, object]:
    """Return a valid configuration with one route of single calls."""
    route = {
        "name": "disbursement-post",
        "host": HOST,
        "path_prefix": "/pule252/",
        "route_kind": kind,
        "timeout_ms": 1000,
        "slo_ms": 200,
        "priority": 2,
        "service": SERVICE,
        "max_attempts": max_attempts,
    }
    services = [{"name": SERVICE, "health_path": "/healthz", "max_conns": 110}]
    return {"version": version, "routes": [route], "services": services}


class PlainReplica:
    """A replica that runs calls; bodies in ``deadly`` crash it as it begins to run."""

    deadly: frozenset[bytes] = frozenset()
    down_s = 3.0
    work_s = 0.03
    answer_bytes = 0

    def __init__(self, case: Case, number: int) -> None:
        self.number = number
        self.id = f"i-{number:08x}"
        self.address = case.address(f"127.0.13.{number}", 6)
        self.zone = case.zones[(number - 1) % 3]
        self.state = "ready"
        self.born = int(time.time() * 1000)
        # Time at which each request was read, and the request's attempt id.
        self.arrived: list[tuple[float, str]] = []
        self.crashed_at: list[float] = []
        self._case = case
        self._server: asyncio.Server | None = None
        self._channels: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task[None] | None = None

    @property
    def entry(self) -> dict[str, object]:
        """The replica's entry in the provider's list."""
        return {
            "id": self.id,
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "cold_left_ms": 0,
            "born": self.born,
        }

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def crash(self) -> None:
        """Reset all channels, and be back with a new start after some seconds."""
        self._case.record(f"replica {self.id} crashes")
        self.crashed_at.append(time.monotonic())
        assert self._server is not None
        self._server.close()
        for channel in list(self._channels):
            channel.transport.abort()
        self._restart = asyncio.create_task(self._start_again())

    async def _start_again(self) -> None:
        await asyncio.sleep(self.down_s)
        self.born = int(time.time() * 1000)
        await self.start()
        self._case.record(f"replica {self.id} is back")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._channels.add(writer)
        try:
            while True:
                _, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self._answer(headers, body, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            self._channels.discard(writer)

    async def _answer(
        self, headers: Headers, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        attempt = headers.get("tarragonway-attempt-id", "")
        echo = {"Tarragonway-Attempt-Id": attempt}
        if headers.get("tarragonway-expected-instance", self.id) != self.id:
            writer.write(encode_answer(421, echo, b""))
            return
        self.arrived.append((time.monotonic(), attempt))
        self._case.record(f"replica {self.id} runs {attempt} ({len(body)} bytes)")
        if body in self.deadly:
            await asyncio.sleep(0.01)
            self.crash()
            return
        await asyncio.sleep(self.work_s)
        signed = {**echo, "Tarragonway-Server-Signature": f"{self.id}.{attempt}"}
        body = b"done " + attempt.encode()
        writer.write(encode_answer(200, signed, body.ljust(self.answer_bytes)))
        await writer.drain()
