import asyncio

import msgspec
import pytest

from tarragonway.core.counters import Counters
from tarragonway.core.hashes import compute_mac
from tarragonway.transport import Mailbox

KEY = b"k" * 32
ODD_BODIES = [b"\xc1", b"", b"\x91" * 5000, msgspec.msgpack.encode("text")]


class Message(msgspec.Struct, tag=True):
    number: int


def make_frame(body):
    data = msgspec.msgpack.encode(["b", "a", msgspec.Raw(body)])
    return compute_mac(KEY, data) + data


# Guards against a message that stops the delivery of those after it.
@pytest.mark.parametrize("body", ODD_BODIES)
async def test_odd_message_is_dropped_alone(body, unused_tcp_port):
    received, counters = [], Counters()

    def handle(delivery):
        received.append(delivery.body.number)
        if delivery.body.number == 7:
            raise KeyError("handler")

    address = f"127.0.0.1:{unused_tcp_port}"
    mailbox = Mailbox("a", address, {"a": address}, KEY, Message, counters)
    mailbox.open(handle)
    sound = [make_frame(msgspec.msgpack.encode(Message(n))) for n in (1, 7, 2)]
    for frame in (sound[0], make_frame(body), b"odd", *sound[1:]):
        mailbox._handle_frame(frame)
    await asyncio.sleep(0)
    mailbox.close()
    assert received == [1, 7, 2]
    counts = counters.snapshot()
    assert counts["mailbox.malformed"] == counts["mailbox.handler_failed"] == 1
