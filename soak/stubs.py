"""Stubs of the platform and the endpoints that record the requests they receive."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from tarragonway.http1 import HttpServer, Request, ResponseWriter
from tarragonway.platform import names
from tarragonway.routes import ConnectionLimits

SIGNATURE_HEADER = (names.SIGNATURE, b"soak")
EVENT_INTERVAL_S = 0.02
EVENTS_PER_STREAM = 12
SERVICE_TIME_S = 0.02
# Time for which a crashed endpoint refuses connections.
CRASH_DURATION_S = 1.0


class Execution(msgspec.Struct):
    """One execution of an attempt by an endpoint, recorded when it begins."""

    attempt: str
    endpoint: str
    path: str
    service: str = ""
    version: str = ""
    at: float = 0.0
    is_resumed: bool = False


class VersionFault(msgspec.Struct):
    """What is wrong with a software version; all its endpoints share one.

    A request fails or takes ``slow_factor`` times as long with ``probability``, after
    the version's first ``after`` requests, on the routes whose paths begin with
    ``prefix``, and while its endpoint runs more than ``over`` requests. ``bad_at`` are
    the loop times of the bad responses' ends.
    """

    probability: float = 0.4
    slow_factor: float = 0.0
    after: int = 0
    prefix: str = "/"
    over: int = 0
    requests: int = 0
    bad_at: list[float] = []

    def affects(self, path: str, running: int, draw: float) -> bool:
        """Return whether the next request is affected; ``draw`` is from 0 to 1."""
        self.requests += 1
        return (
            self.requests > self.after
            and path.startswith(self.prefix)
            and running > self.over
            and draw < self.probability
        )


class Observations:
    """Requests that reached endpoints and the platform, and violations found there.

    Attributes
    ----------
    executions : list of Execution
        Executions by endpoints.
    usage_reports : dict of int to dict
        Counts of the first usage report of each window.
    fencing_tokens : list of tuple
        Sender and fencing token of each call to the platform, in order of arrival.
    violations : list of str
        Violated guarantees, one line each.
    """

    def __init__(self) -> None:
        self.executions: list[Execution] = []
        self.usage_reports: dict[int, dict[str, int]] = {}
        self.fencing_tokens: list[tuple[str, int]] = []
        self.violations: list[str] = []


class StubEndpoint:
    """A replica of a service that refuses requests or resets connections at random.

    Parameters
    ----------
    name, service, address : str
        Its id, service and ``IP:port`` on the endpoint list.
    observations : Observations
        Receives each execution.
    seed : int
        Seed of its failures.

    Attributes
    ----------
    draining : bool
        Whether the endpoint list shows it as draining.
    failure_probability : float
        Probability that a request fails during its execution; a third of it is the
        probability that the request is refused before.
    harmful_part : str
        Id of a prompt part; the endpoint crashes when it begins to answer it.
    harmful_events : int
        Number of events of that answer before the crash.
    on_harmful : callable
        Called for each arriving request with that part.
    version : str
        Version of its software, which the endpoint list and each event state.
    event_interval_s : float
        Seconds between the events of a stream.
    service_time_s : float
        Seconds that a request which is no stream takes.
    answer_bytes : int
        Least length of such an answer's body.
    starts : int
        Number of starts, without those after a crash.
    leaving : bool
        Whether each answer says that the endpoint leaves.
    pause_s : str
        Seconds for which the endpoint refuses each request and asks for a pause; empty
        if it does not.
    request_limit : str
        Requests a second that the endpoint states in its answers; empty for none.
    arrived_at : list of float
        Loop times at which requests have arrived.
    crashed_at : list of float
        Loop times at which the endpoint has crashed.
    fault : VersionFault or None
        What is wrong with the version.
    running : int
        Number of requests that are being answered.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        observations: Observations,
        seed: int,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.draining = False
        self.failure_probability = 0.0
        self.harmful_part = ""
        self.harmful_events = 0
        self.on_harmful: Callable[[], None] = lambda: None
        self.version = "v1"
        self.event_interval_s = EVENT_INTERVAL_S
        self.service_time_s = SERVICE_TIME_S
        self.answer_bytes = 0
        self.leaving = False
        self.starts = 1
        self.pause_s = ""
        self.request_limit = ""
        self.arrived_at: list[float] = []
        self.crashed_at: list[float] = []
        self.fault: VersionFault | None = None
        self.running = 0
        self._restart: asyncio.Task | None = None
        self._observations = observations
        self._random = random.Random(seed)
        self._fault_random = random.Random(f"fault {seed}")
        self._server = HttpServer(self._handle, ConnectionLimits)

    async def start(self) -> None:
        """Accept connections."""
        await self._server.listen(self.address)

    def close(self) -> None:
        """Close the server and its connections."""
        if self._restart is not None:
            self._restart.cancel()
        self._server.close()

    def make_list_row(self) -> dict[str, object]:
        """Return this endpoint's row of the endpoint list."""
        return {
            "id": self.name,
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "slots": 16,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
            "born": self.starts + len(self.crashed_at),
            "version": self.version,
        }

    async def _handle(self, request: Request, writer: ResponseWriter) -> None:
        attempt = (request.get(names.ATTEMPT) or b"").decode()
        echo = [(names.ATTEMPT, attempt.encode())]
        self.arrived_at.append(asyncio.get_running_loop().time())
        if self.request_limit:
            echo.append((names.REQUEST_LIMIT, self.request_limit.encode()))
        if self.leaving:
            echo.append((names.LEAVING, b"1"))
        if self.pause_s:
            pause = (b"retry-after", self.pause_s.encode())
            await writer.send(503, [*echo, pause, (names.NOT_RUN, b"1")])
            return
        if self._random.random() < self.failure_probability / 3:
            await writer.send(503, [*echo, (names.NOT_RUN, b"1")])
            return
        path = request.target
        execution = Execution(
            attempt,
            self.name,
            path,
            self.service,
            self.version,
            self.arrived_at[-1],
            request.get(names.LAST_EVENT_ID) is not None,
        )
        self._observations.executions.append(execution)
        self.running += 1
        try:
            await self._execute(request, writer, echo)
        finally:
            self.running -= 1

    async def _execute(
        self, request: Request, writer: ResponseWriter, echo: list[tuple[bytes, bytes]]
    ) -> None:
        path, fault = request.target, self.fault
        if fault is not None and fault.affects(
            path, self.running, self._fault_random.random()
        ):
            is_stream = path.startswith("/stream/")
            usual_s = self.event_interval_s if is_stream else self.service_time_s
            await asyncio.sleep(usual_s * max(1.0, fault.slow_factor))
            fault.bad_at.append(asyncio.get_running_loop().time())
            if not fault.slow_factor:
                await writer.send(500, [*echo, SIGNATURE_HEADER], b"failed")
                return
        if path.startswith("/stream/"):
            await self._stream(request, writer, echo)
            return
        attempt = echo[0][1].decode()
        await asyncio.sleep(self.service_time_s)
        if self._random.random() < self.failure_probability:
            writer.abort()
            return
        body = f"done {attempt}".encode().ljust(self.answer_bytes, b".")
        await writer.send(200, [*echo, SIGNATURE_HEADER], body)

    async def _stream(
        self, request: Request, writer: ResponseWriter, echo: list[tuple[bytes, bytes]]
    ) -> None:
        first = int(request.get(names.LAST_EVENT_ID) or b"0") + 1
        content_type = (b"content-type", b"text/event-stream")
        await writer.start(200, [*echo, SIGNATURE_HEADER, content_type])
        prompt_parts = (request.get(names.PROMPT_PARTS) or b"").decode()
        if self.harmful_part and f"{self.harmful_part}:" in prompt_parts:
            self.on_harmful()
            for number in range(first, first + self.harmful_events):
                await asyncio.sleep(EVENT_INTERVAL_S)
                await writer.write(self._make_event(number))
            await asyncio.sleep(EVENT_INTERVAL_S)
            self._crash()
            return
        for number in range(first, EVENTS_PER_STREAM + 1):
            await asyncio.sleep(self.event_interval_s)
            event = self._make_event(number)
            if self._random.random() < self.failure_probability / EVENTS_PER_STREAM:
                await writer.write(event[: len(event) // 2])
                writer.abort()
                return
            await writer.write(event)
        writer.finish()

    def _make_event(self, number: int) -> bytes:
        return f"id: {number}\ndata: {self.version}\n\n".encode()

    def _crash(self) -> None:
        """Reset all connections and start as a new incarnation after a while."""
        if self._restart is not None and not self._restart.done():
            return
        self.crashed_at.append(asyncio.get_running_loop().time())
        self._server.close()
        self._restart = asyncio.create_task(self._start_again())

    async def _start_again(self) -> None:
        await asyncio.sleep(CRASH_DURATION_S)
        await self._server.listen(self.address)


class StubPlatform:
    """The platform's interface: endpoint list, usage reports and orders.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    observations : Observations
        Receives fencing tokens, usage reports and violations.

    Attributes
    ----------
    endpoints : list of StubEndpoint
        Rows of the endpoint list.
    odd_entries : list of bytes
        Further entries of the endpoint list, by another writer.
    unavailable : bool
        Whether each request ends with a reset connection.
    """

    def __init__(self, address: str, observations: Observations) -> None:
        self.address = address
        self.endpoints: list[StubEndpoint] = []
        self.odd_entries: list[bytes] = []
        self.unavailable = False
        self._observations = observations
        self._server = HttpServer(self._handle, ConnectionLimits)

    async def start(self) -> None:
        """Accept connections."""
        await self._server.listen(self.address)

    def close(self) -> None:
        """Close the server and its connections."""
        self._server.close()

    async def _handle(self, request: Request, writer: ResponseWriter) -> None:
        if self.unavailable:
            writer.abort()
            return
        path = request.target.partition("?")[0]
        if path == names.LIST_PATH:
            rows = [
                msgspec.json.encode(endpoint.make_list_row())
                for endpoint in self.endpoints
            ]
            entries = b",".join([*self.odd_entries, *rows])
            await writer.send(200, [], b'{"instances":[%s],"next":null}' % entries)
            return
        self._record_call(request, path)
        await writer.send(200, [], b"{}")

    def _record_call(self, request: Request, path: str) -> None:
        """Check that fencing tokens never decrease and no usage report is altered."""
        holder = (request.get(names.DUTY_HOLDER) or b"").decode()
        token = int(request.get(names.FENCING_TOKEN) or b"0")
        if (
            self._observations.fencing_tokens
            and token < self._observations.fencing_tokens[-1][1]
        ):
            self._observations.violations.append(
                f"fencing token {token} of {holder} arrived after"
                f" {self._observations.fencing_tokens[-1]}"
            )
        self._observations.fencing_tokens.append((holder, token))
        if path == names.USAGE_PATH:
            report = msgspec.json.decode(request.body)
            window, counts = report["window_id"], report["counts"]
            first_counts = self._observations.usage_reports.setdefault(window, counts)
            if first_counts != counts:
                self._observations.violations.append(
                    f"usage window {window} was reported as {first_counts},"
                    f" then as {counts}"
                )
