import random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.consensus import (
    HardState,
    Member,
    Membership,
    Parameters,
    Replica,
    Snapshot,
)
from tarragonway.consensus.messages import Message
from tarragonway.core.decoding import UndecodableError, decode_bytes
from tarragonway.core.errors import CorruptDataError, InvariantError
from tarragonway.links.tests.odd_messages import draw_type

NAMES = ("a#1", "b#1", "c#1")
_decoder = msgspec.msgpack.Decoder(Message)


# Guards against a term or an index of a peer that no later message can hold, and
# against errors that end the task which runs the log, other than broken invariants.
@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(NAMES[1:]), draw_type(Message)), max_size=6))
def test_messages_break_invariants_at_most(messages):
    members = tuple(Member(name, name[:1]) for name in NAMES)
    first = Snapshot(0, 0, Membership(members), b"")
    replica = Replica(NAMES[0], Parameters(), random.Random(1), HardState(), first)
    for source, raw in messages:
        try:
            message = decode_bytes(_decoder, msgspec.msgpack.encode(raw))
            replica.handle_message(source, message)
        except UndecodableError:
            continue
        except (CorruptDataError, InvariantError):
            return
        for _ in range(30):
            replica.tick()
        output = replica.take_output()
        msgspec.msgpack.encode([message for _, message in output.messages])
        assert replica.term < 2**60
