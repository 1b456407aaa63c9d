import asyncio
import struct
import zlib

import msgspec
import pytest

from tarragonway.core.counters import Counters
from tarragonway.core.drops import DroppedMessages
from tarragonway.core.errors import InvariantError
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.links import LinkPool
from tarragonway.links.link import (
    COMPRESSED_BIT,
    MAX_FRAME_BYTES,
    MIN_COMPRESSION_BYTES,
    Link,
    encode_message,
)
from tarragonway.links.messages import EndpointUpdate, FetchConfiguration


def make_update(count):
    rows = tuple(
        ListedEndpoint(
            f"e{n}.1", f"e{n}", "llm", f"10.0.{n // 256}.{n % 256}:80", "a", 4, False
        )
        for n in range(count)
    )
    return EndpointUpdate(3, 1, True, rows, ())


async def test_long_messages_are_compressed_and_arrive_in_order():
    received = []
    link = Link(lambda link, message: received.append(message), lambda link: None)
    messages = [make_update(660), FetchConfiguration(), make_update(1)]
    data = b"".join(encode_message(message) for message in messages)
    for start in range(0, len(data), 1000):
        link.data_received(data[start : start + 1000])
    assert received == messages
    assert len(data) < 660 * 30


async def test_short_messages_are_sent_as_they_are():
    assert len(encode_message(make_update(1))) < MIN_COMPRESSION_BYTES / 10


def make_frame(body, bits=0):
    return struct.pack(">I", len(body) | bits) + body


# Guards against links that one message ends, again with each try to send it.
@pytest.mark.parametrize(
    ("body", "bits"),
    [
        (b"\xc1", 0),
        (b"\x91" * 5000, 0),
        (msgspec.msgpack.encode({"type": "Newer", "x": 1}), 0),
        (b"no zlib stream", COMPRESSED_BIT),
        (zlib.compress(bytes(MAX_FRAME_BYTES + 1)), COMPRESSED_BIT),
    ],
)
async def test_message_that_cannot_be_decoded_is_dropped_alone(body, bits):
    received, counters = [], Counters()
    link = Link(
        lambda link, message: received.append(message),
        lambda link: None,
        DroppedMessages(counters),
    )
    sound = encode_message(FetchConfiguration())
    link.data_received(sound + make_frame(body, bits) * 2 + sound)
    assert received == [FetchConfiguration()] * 2
    assert counters.snapshot() == {"links.undecodable": 2}


async def test_message_whose_handler_fails_is_dropped_alone():
    received, counters = [], Counters()

    def receive(link, message):
        received.append(message)
        raise KeyError(message)

    link = Link(receive, lambda link: None, DroppedMessages(counters))
    link.data_received(encode_message(FetchConfiguration()) * 3)
    assert len(received) == counters.snapshot()["links.handler_failed"] == 3


async def test_broken_invariant_is_not_dropped():
    def receive(link, message):
        raise InvariantError("two leaders in term 7")

    link = Link(receive, lambda link: None)
    with pytest.raises(InvariantError):
        link.data_received(encode_message(FetchConfiguration()))


# Guards against addresses, as peers name them, that end the task which dials them.
@pytest.mark.parametrize("address", ["", "a:b", "127.0.0.1:70000", "é" * 300 + ":80"])
async def test_address_that_is_none_is_dialed_again(address, monkeypatch):
    monkeypatch.setattr("tarragonway.links.pool.MIN_REDIAL_DELAY_S", 0.001)
    pool = LinkPool(lambda *_: None, lambda _: None, lambda _: None, Counters())
    pool.connect_to([address])
    (task,) = pool._dialers.values()
    await asyncio.sleep(0.05)
    assert not task.done()
    await pool.close()
