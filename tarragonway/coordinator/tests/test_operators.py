import copy
import zlib
from types import SimpleNamespace

import msgspec
import pytest

from tarragonway.coordinator.machine import CoordinatorMachine, PutConfiguration
from tarragonway.coordinator.operators import OperatorInterface
from tarragonway.core.counters import Counters
from tarragonway.core.decoding import MAX_DEPTH
from tarragonway.http1.response import Request
from tarragonway.platform.configuration import decode_configuration, decode_submitted
from tarragonway.platform.tests.test_configuration import TEXT


def make_text(depth, version=7):
    """Return a sound configuration with an unknown field that is nested so deep."""
    text = copy.deepcopy(TEXT)
    text["version"] = version
    body = msgspec.json.encode(text)
    deep = b"[" * (depth - 1) + b"]" * (depth - 1)
    return body[:-1] + b',"x":' + deep + b"}"


class FakeDriver:
    """Driver of a leader that commits at once."""

    def __init__(self, machine):
        self.is_leader = True
        self.replica = SimpleNamespace(term=1)
        self._machine = machine

    async def propose(self, command):
        return self._machine.apply(command)

    async def confirm_read_index(self):
        return 1

    async def wait_applied(self, index):
        pass


class FakeWriter:
    async def send(self, status, headers, body=b""):
        self.status, self.body = status, body


@pytest.fixture
def machine():
    return CoordinatorMachine()


@pytest.fixture
def call(machine):
    interface = OperatorInterface(
        FakeDriver(machine),
        machine,
        decode_submitted,
        decode_configuration,
        ("/put", "/get"),
        lambda: "",
        Counters(),
    )

    async def call(method, path, body=b""):
        writer = FakeWriter()
        await interface.handle(Request(method, path, [], body, 0.0), writer)
        return writer.status, writer.body

    return call


# Guards against a connection that is cut without an answer, and against acknowledged
# text that processes with less of their stack left cannot read.
@pytest.mark.parametrize("depth", [MAX_DEPTH + 1, 980, 988, 5000])
async def test_text_nested_too_deep_is_refused_with_its_reason(call, machine, depth):
    status, body = await call("POST", "/put", make_text(depth))
    assert (status, b"nested over" in body) == (400, True)
    assert machine.revision == -1


async def test_text_nested_to_the_bound_is_acknowledged(call, machine):
    assert (await call("POST", "/put", make_text(MAX_DEPTH)))[0] == 200
    assert machine.revision == 7


# Guards against the refusal of what was acknowledged before an upgrade (CONFIG).
async def test_what_an_earlier_release_acknowledged_is_acknowledged_again(
    call, machine
):
    stored = make_text(980)
    machine.apply(PutConfiguration(7, zlib.compress(stored)))
    assert (await call("POST", "/put", stored))[0] == 200
    assert (await call("POST", "/put", make_text(981)))[0] == 400
    assert (await call("POST", "/put", make_text(980, version=8)))[0] == 400
    assert await call("GET", "/get") == (200, stored)
    assert machine.revision == 7
