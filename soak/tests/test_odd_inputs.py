"""Odd configurations and messages, with the real programs: nothing ends."""

import asyncio
import math

import msgspec
import pytest

from soak.clients import Operator, make_configuration
from soak.deployment import Deployment, reserve_base_port
from tarragonway.http1 import CallClient
from tarragonway.http1.call import Call, CallResponse
from tarragonway.links import Link
from tarragonway.links.messages import ConfigurationText, FetchConfiguration
from tarragonway.links.tests.test_link import make_frame
from tarragonway.platform import names

DEEP = b"[" * 5000 + b"]" * 5000
encode = msgspec.msgpack.encode
ODD_MESSAGES = [
    b"\xc1",
    b"\x91" * 5000,
    encode({"type": "Newer"}),
    encode({"type": "PermitRequest", "sequence": 1, "limits": {}}),
    encode({"type": "QuotaAsk", "sequence": 1, "account": "a", "units": math.nan}),
    encode({"type": "Hello", "name": "odd"}),
    encode(
        {
            "type": "Beat",
            "name": "odd",
            "sequence": 1,
            "clock_s": math.nan,
            "listing_term": 0,
            "listing": 0,
            "usage": [],
            "crashes": [],
            "pressure": {"model": math.nan},
        }
    ),
]


async def send_configuration(address, version, deep):
    """Send a configuration with an unknown field; return the answer's status."""
    body = make_configuration(version)[:-1] + b',"x":' + deep + b"}"
    call = Call("POST", names.PUT_CONFIGURATION_PATH, [], body)
    answer = await CallClient(address).call(call, 2.0)
    return answer.status if isinstance(answer, CallResponse) else repr(answer)


async def send_odd_messages(address):
    """Send odd messages on one link; return whether it still answers a sound one."""
    answered = asyncio.Event()

    def receive(link, message):
        if isinstance(message, ConfigurationText):
            answered.set()

    host, _, port = address.rpartition(":")
    link = Link(receive, lambda link: None)
    loop = asyncio.get_running_loop()
    await loop.create_connection(lambda: link, host, int(port))
    for body in ODD_MESSAGES:
        link.send_encoded(make_frame(body))
    link.send(FetchConfiguration())
    try:
        async with asyncio.timeout(5.0):
            await answered.wait()
        return True
    except TimeoutError:
        return False
    finally:
        link.abort()


# Guards against processes that end, links that break, and operators' connections that
# are cut, by one input.
@pytest.mark.timeout(90)
async def test_odd_inputs_end_nothing(tmp_path):
    deployment = Deployment(tmp_path, reserve_base_port(), 1)
    await deployment.start()
    try:
        operator = Operator(deployment, 1)
        async with asyncio.timeout(20.0):
            await operator.replace_configuration(1)
        statuses = [
            await send_configuration(address, 2, DEEP)
            for address in deployment.operator_addresses
        ]
        peers = [
            deployment.find_listen_address(process.name)
            for process in deployment.coordinators
        ]
        answered = [await send_odd_messages(address) for address in peers]
        await asyncio.sleep(5.0)
        async with asyncio.timeout(10.0):
            await operator.replace_configuration(3)
        processes = [*deployment.coordinators, *deployment.gateways]
        ended = [row.name for row in processes if row._process.returncode is not None]
        version = await operator.read_configuration()
    finally:
        await deployment.stop()
    assert set(statuses) <= {400, 307}
    assert 400 in statuses
    assert answered == [True] * len(peers)
    assert not ended
    assert version == 3
    logs = [path.read_text() for path in tmp_path.glob("*.log")]
    assert not any("task failed" in text for text in logs)
    dropped = [text for text in logs if "message dropped" in text]
    assert len(dropped) == len(peers)
