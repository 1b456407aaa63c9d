"""Callers and an operator, with what they were told written down."""

import asyncio
import itertools
import random

import h11
import msgspec

from soak.stage import Stage
from tarragonway.http1 import Call, CallClient, CallResponse
from tarragonway.platform import names

PATIENCE_S = 3.0
PAUSE_S = 0.03
KEY = "soak-key"
ROUTES = {"once": "unsafe", "read": "safe", "stream": "streaming"}
OPERATOR_PAUSE_S = 0.7


class Told(msgspec.Struct):
    """What one attempt's caller was told; status 0 is a broken connection."""

    attempt: str
    kind: str
    status: int
    body: bytes
    complete: bool


def make_configuration(version: int) -> bytes:
    """Return a configuration whose version shows in one of its routes."""
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
        for kind, form in ROUTES.items()
    ]
    marker = {**routes[1], "name": "marker", "path_prefix": f"/marker-{version}/"}
    return msgspec.json.encode(
        {
            "version": version,
            "routes": [*routes, marker],
            "services": [{"name": "plain"}, {"name": "model"}],
            "tenants": [{"name": "soak", "api_keys": [KEY]}],
        }
    )


class Caller:
    """Sends requests one after the other on kept connections, to any gateway."""

    def __init__(self, stage: Stage, number: int, told: list[Told]) -> None:
        self._stage = stage
        self._number = number
        self._told = told
        self._random = random.Random(number)
        self._open: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self) -> None:
        """Send until the task is cancelled."""
        for count in itertools.count():
            kind = self._random.choice(list(ROUTES))
            attempt = f"c{self._number}-{count}"
            told = Told(attempt, kind, 0, b"", False)
            self._told.append(told)
            try:
                async with asyncio.timeout(PATIENCE_S):
                    await self._ask(told)
            except (OSError, TimeoutError, h11.RemoteProtocolError):
                self._drop()
            await asyncio.sleep(PAUSE_S)

    async def _ask(self, told: Told) -> None:
        if self._open is None:
            host, port = self._random.choice(self._stage.callers).split(":")
            self._open = await asyncio.open_connection(host, int(port))
        reader, writer = self._open
        state = h11.Connection(h11.CLIENT)
        headers = [
            (b"host", b"soak"),
            (names.ATTEMPT, told.attempt.encode()),
            (names.DEADLINE, str(int(PATIENCE_S * 1000)).encode()),
            (b"authorization", f"Bearer {KEY}".encode()),
            (b"content-length", b"0"),
        ]
        target = f"/{told.kind}/{told.attempt}"
        request = h11.Request(method="POST", target=target, headers=headers)
        writer.write(state.send(request) or b"")
        state.send(h11.EndOfMessage())
        while not told.complete:
            event = state.next_event()
            match event:
                case h11.NEED_DATA:  # a sentinel class
                    data = await reader.read(65536)
                    if not data and state.their_state is h11.SEND_RESPONSE:
                        raise ConnectionResetError
                    state.receive_data(data)
                case h11.Response():
                    told.status = event.status_code
                case h11.Data():
                    told.body += bytes(event.data)
                case h11.EndOfMessage():
                    told.complete = True
        if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
            self._drop()

    def _drop(self) -> None:
        if self._open is not None:
            self._open[1].transport.abort()
            self._open = None


class Operator:
    """Replaces and reads the configuration, at any coordinator."""

    def __init__(self, stage: Stage, seed: int) -> None:
        self._random = random.Random(seed)
        self._addresses = stage.operators
        self.acknowledged = 0
        self.broken: list[str] = []

    async def run(self) -> None:
        """Change and read until the task is cancelled."""
        for version in itertools.count(1):
            await self.put(version)
            await self.read()
            await asyncio.sleep(OPERATOR_PAUSE_S * self._random.random())

    async def put(self, version: int) -> None:
        """Send one configuration until it is acknowledged."""
        body = make_configuration(version)
        while True:
            answer = await self._call(
                Call("POST", names.PUT_CONFIGURATION_PATH, [], body)
            )
            if answer is not None and answer.status == 200:
                self.acknowledged = version
                return
            await asyncio.sleep(0.1)

    async def read(self) -> int | None:
        """Read back; note an older version than was acknowledged before."""
        before = self.acknowledged
        answer = await self._call(Call("GET", names.GET_CONFIGURATION_PATH))
        if answer is None or answer.status != 200:
            return None
        version = msgspec.json.decode(answer.body)["version"]
        if version < before:
            self.broken.append(f"read {version} after {before} was acknowledged")
        return version

    async def _call(self, call: Call) -> CallResponse | None:
        first = self._random.choice(self._addresses)
        for address in [first, *self._addresses]:
            answer = await CallClient(address).call(call, 1.0)
            if isinstance(answer, CallResponse) and answer.status not in (307, 503):
                return answer
        return None
