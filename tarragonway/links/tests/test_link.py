import struct
import zlib

from tarragonway.endpoints.endpoint_list import ListedEndpoint
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
        ListedEndpoint(f"e{n}.1", f"e{n}", "llm", f"10.0.0.{n}:80", "a", 4, False)
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


async def test_message_that_decompresses_to_too_much_aborts_the_link():
    received = []
    link = Link(lambda link, message: received.append(message), lambda link: None)
    body = zlib.compress(bytes(MAX_FRAME_BYTES + 1))
    link.data_received(struct.pack(">I", len(body) | COMPRESSED_BIT) + body)
    assert not received
