"""Answers cut at any byte, closed or reset, which arrive in any pieces."""

import asyncio

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.http1 import ConnectionEnded, EndpointConnection

OWN, OTHER = b"X-Attempt: 1\r\n", b"X-Attempt: 0\r\n"


class Message(msgspec.Struct, frozen=True):
    """A complete answer as bytes, and what a caller should get from it."""

    data: bytes
    status: int
    body: bytes
    head_bytes: int
    is_framed: bool


class FakeTransport(asyncio.Transport):
    def __init__(self):
        super().__init__()
        self.is_paused = False

    def write(self, data):
        pass

    def is_closing(self):
        return False

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False


@st.composite
def draw_messages(draw, attempt=OWN, is_followed=False):
    """Return an answer; one that another answer follows keeps its connection open."""
    framings = ["length", "chunks"] if is_followed else ["length", "chunks", "close"]
    framing = draw(st.sampled_from(framings))
    is_old = not is_followed and framing != "chunks" and draw(st.booleans())
    version = b"1.0" if is_old else b"1.1"
    status = draw(st.sampled_from([200, 201, 404, 429, 503]))
    body = draw(st.binary(max_size=40))
    fields = [attempt, *draw(st.lists(st.sampled_from([b"A: b\r\n", b"C:\r\n"])))]
    if framing == "length":
        fields.append(
            b"Content-Length: %s%d\r\n" % (b"0" * draw(st.integers(0, 2)), len(body))
        )
    elif framing == "chunks":
        fields.append(b"Transfer-Encoding: chunked\r\n")
    informational = draw(st.integers(0, 2)) * b"HTTP/1.1 103 X\r\nLink: y\r\n\r\n"
    fields = draw(st.permutations(fields))
    head = informational + b"HTTP/%s %d X\r\n" % (version, status)
    head += b"".join(fields) + b"\r\n"
    data = body
    if framing == "chunks":
        size = draw(st.integers(1, 9))
        chunks = [body[n : n + size] for n in range(0, len(body), size)]
        data = b"".join(b"%x;e=1\r\n%s\r\n" % (len(c), c) for c in chunks)
        data += b"0\r\n" + draw(st.sampled_from([b"", b"T: u\r\n"])) + b"\r\n"
    return Message(head + data, status, body, len(head), framing != "close")


async def receive(data, cuts, is_reset, reads_late):
    """Return status and body that a caller gets, or None for a broken answer.

    The caller reads as the pieces arrive, or once the connection has ended.
    """
    connection = EndpointConnection()
    connection.connection_made(FakeTransport())
    headers = [(b"host", b"e"), (b"content-length", b"0")]
    connection.send("POST", "/", headers, b"")

    async def read():
        head = await connection.read_head(lambda head: head.get(b"x-attempt") == b"1")
        return head.status, await connection.read_body(1024)

    task = asyncio.create_task(read())
    for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        if start < end:
            connection.data_received(data[start:end])
        if not reads_late:
            await asyncio.sleep(0)
    if not is_reset:
        connection.eof_received()
    connection.connection_lost(ConnectionResetError() if is_reset else None)
    try:
        return await task
    except ConnectionEnded:
        return None


# Guards against an answer that breaks off and reaches its caller as a whole one.
@settings(max_examples=300, deadline=None)
@given(
    message=draw_messages(),
    late=st.none() | draw_messages(OTHER, is_followed=True),
    is_reset=st.booleans(),
    reads_late=st.booleans(),
    data=st.data(),
)
def test_cut_answer_is_never_complete(message, late, is_reset, reads_late, data):
    before = late.data if late is not None else b""
    whole = before + message.data
    length = data.draw(st.integers(0, len(whole)) | st.just(len(whole)))
    cuts = sorted(data.draw(st.lists(st.integers(0, length), max_size=4)))
    got = asyncio.run(receive(whole[:length], cuts, is_reset, reads_late))
    body_bytes = length - len(before) - message.head_bytes
    if message.is_framed:
        expected = (message.status, message.body) if length == len(whole) else None
    else:
        # Only the end of the connection tells where this answer ends.
        is_whole = body_bytes >= 0 and not is_reset
        expected = (message.status, message.body[:body_bytes]) if is_whole else None
    assert got == expected
