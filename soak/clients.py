"""Clients and an operator that record every response for the checks."""

import asyncio
import itertools
import random
import zlib

import h11
import msgspec

from soak.deployment import Deployment
from tarragonway.http1 import Call, CallClient, CallResponse
from tarragonway.platform import names

REQUEST_TIMEOUT_S = 3.0
REQUEST_DELAY_S = 0.03
API_KEY = "soak-key"
ROUTE_KINDS = {"once": "unsafe", "read": "safe", "stream": "streaming"}
MAX_OPERATOR_DELAY_S = 0.7
# Further tries of a client whose stream has broken off.
MAX_TAKE_UPS = 3
# Shared prompt part of some streams, on which engines may crash.
HARMFUL_PART = "dd"
HARMFUL_PROBABILITY = 0.1


class AttemptRecord(msgspec.Struct):
    """The response to one attempt; status 0 means that no status line arrived.

    ``resumed`` holds the earlier attempts of the same stream, the first one first.
    """

    attempt: str
    kind: str
    status: int
    body: bytes
    complete: bool
    resumed: tuple["AttemptRecord", ...] = ()

    def list_values(self, name: bytes) -> list[bytes]:
        """Return the values of a field of all events that arrived whole."""
        whole = self.body[: self.body.rfind(b"\n\n") + 1]
        prefix = name + b": "
        lines = whole.split(b"\n")
        return [line[len(prefix) :] for line in lines if line.startswith(prefix)]

    def list_chain_values(self, name: bytes) -> list[bytes]:
        """Return the values of a field of all events of the stream."""
        chain = (*self.resumed, self)
        return [value for record in chain for value in record.list_values(name)]


def make_configuration(version: int) -> bytes:
    """Return a configuration as JSON whose ``marker`` route contains the version."""
    routes = [
        {
            "name": kind,
            "host": "soak",
            "path_prefix": f"/{kind}/",
            "route_kind": form,
            "timeout_ms": 3000,
            "slo_ms": 500,
            "service": "model" if kind == "stream" else "plain",
            "max_attempts": 3 if kind != "once" else 1,
            "resumable": kind == "stream",
        }
        for kind, form in ROUTE_KINDS.items()
    ]
    marker = {**routes[1], "name": "marker", "path_prefix": f"/marker-{version}/"}
    return msgspec.json.encode(
        {
            "version": version,
            "routes": [*routes, marker],
            "services": [{"name": "plain"}, {"name": "model"}],
            "tenants": [{"name": "soak", "api_keys": [API_KEY]}],
        }
    )


class Client:
    """Sends requests one at a time over persistent connections to random gateways.

    Parameters
    ----------
    deployment : Deployment
        Its gateways receive the requests.
    number : int
        Number of this client: seed of its choices and part of its attempt ids.
    records : list of AttemptRecord
        Receives an entry for each request, before the request is sent.
    """

    def __init__(
        self, deployment: Deployment, number: int, records: list[AttemptRecord]
    ) -> None:
        self._deployment = deployment
        self._number = number
        self._records = records
        self._random = random.Random(number)
        self._part_random = random.Random(f"parts {number}")
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = (
            None
        )

    async def run(self) -> None:
        """Send requests until the task is cancelled."""
        for count in itertools.count():
            kind = self._random.choice(list(ROUTE_KINDS))
            attempt = f"c{self._number}-{count}"
            record = AttemptRecord(attempt, kind, 0, b"", False)
            await self._try(record)
            for number in range(MAX_TAKE_UPS):
                if record.complete or not record.list_chain_values(b"id"):
                    break
                chain = (*record.resumed, record)
                name = f"{attempt}-r{number}"
                record = AttemptRecord(name, kind, 0, b"", False, chain)
                await self._try(record)

    async def _try(self, record: AttemptRecord) -> None:
        self._records.append(record)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await self._send_request(record)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            self._abort_connection()
        await asyncio.sleep(REQUEST_DELAY_S)

    async def _send_request(self, record: AttemptRecord) -> None:
        if self._connection is None:
            host, port = self._random.choice(self._deployment.client_addresses).split(
                ":"
            )
            self._connection = await asyncio.open_connection(host, int(port))
        reader, writer = self._connection
        state = h11.Connection(h11.CLIENT)
        headers = self._make_headers(record)
        target = f"/{record.kind}/{record.attempt}"
        request = h11.Request(method="POST", target=target, headers=headers)
        writer.write(state.send(request) or b"")
        state.send(h11.EndOfMessage())
        while not record.complete:
            event = state.next_event()
            match event:
                case h11.NEED_DATA:  # a class that serves as a sentinel
                    data = await reader.read(65536)
                    if not data and state.their_state is h11.SEND_RESPONSE:
                        raise ConnectionResetError
                    state.receive_data(data)
                case h11.Response():
                    record.status = event.status_code
                case h11.Data():
                    record.body += bytes(event.data)
                case h11.EndOfMessage():
                    record.complete = True
        if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
            self._abort_connection()

    def _make_headers(self, record: AttemptRecord) -> list[tuple[bytes, bytes]]:
        headers = [
            (b"host", b"soak"),
            (names.ATTEMPT, record.attempt.encode()),
            (names.DEADLINE, str(int(REQUEST_TIMEOUT_S * 1000)).encode()),
            (b"authorization", f"Bearer {API_KEY}".encode()),
            (b"content-length", b"0"),
        ]
        if record.kind == "stream":
            headers += [
                (names.PROMPT_TOKENS, b"800,20"),
                (names.PROMPT_PARTS, self._make_parts(record).encode()),
            ]
        if ids := record.list_chain_values(b"id"):
            first = next(r for r in record.resumed if r.list_values(b"id"))
            headers += [
                (names.RESUMED_ATTEMPT, first.attempt.encode()),
                (names.LAST_EVENT_ID, ids[-1]),
            ]
        return headers

    def _make_parts(self, record: AttemptRecord) -> str:
        """Return two parts that others share, at times the harmful one, and an own."""
        shared = ["aa:500", f"b{self._number % 3}:200"]
        is_new = not record.resumed
        if is_new and self._part_random.random() < HARMFUL_PROBABILITY:
            shared.append(f"{HARMFUL_PART}:90")
        own = f"{zlib.crc32(record.attempt.encode()):x}:10"
        return ",".join([*shared, own])

    def _abort_connection(self) -> None:
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None


class Operator:
    """Replaces and reads the configuration through random coordinators.

    Parameters
    ----------
    deployment : Deployment
        Its coordinators receive the calls.
    seed : int
        Seed of the delays and of the choice of coordinators.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._random = random.Random(seed)
        self._addresses = deployment.operator_addresses
        self.acknowledged_version = 0
        self.violations: list[str] = []

    async def run(self) -> None:
        """Replace and read the configuration until the task is cancelled."""
        for version in itertools.count(1):
            await self.replace_configuration(version)
            await self.read_configuration()
            await asyncio.sleep(MAX_OPERATOR_DELAY_S * self._random.random())

    async def replace_configuration(self, version: int) -> None:
        """Send one configuration until a coordinator acknowledges it."""
        body = make_configuration(version)
        while True:
            answer = await self._call(
                Call("POST", names.PUT_CONFIGURATION_PATH, [], body)
            )
            if answer is not None and answer.status == 200:
                self.acknowledged_version = version
                return
            await asyncio.sleep(0.1)

    async def read_configuration(self) -> int | None:
        """Return the version of the stored configuration, or None if no read succeeds.

        A version below one that was acknowledged before the read is a violation.
        """
        before = self.acknowledged_version
        answer = await self._call(Call("GET", names.GET_CONFIGURATION_PATH))
        if answer is None or answer.status != 200:
            return None
        version = msgspec.json.decode(answer.body)["version"]
        if version < before:
            self.violations.append(
                f"read configuration {version} after {before} was acknowledged"
            )
        return version

    async def _call(self, call: Call) -> CallResponse | None:
        first = self._random.choice(self._addresses)
        for address in [first, *self._addresses]:
            answer = await CallClient(address).call(call, 1.0)
            if isinstance(answer, CallResponse) and answer.status not in (307, 503):
                return answer
        return None
