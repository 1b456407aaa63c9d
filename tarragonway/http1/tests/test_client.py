import asyncio
import socket
import struct

import pytest

from tarragonway.http1 import ConnectionEnded, EndpointConnection

HEADERS = [(b"host", b"e"), (b"content-length", b"0")]


class ScriptedEndpoint:
    """Sends the next prepared bytes for each request on a connection."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.answers: list[bytes] = []
        self.reset = False

    async def serve(self, reader, writer):
        while self.answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.answers.pop(0))
            await writer.drain()
        if self.reset:
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        else:
            writer.close()


@pytest.fixture
async def endpoint(unused_tcp_port):
    endpoint = ScriptedEndpoint(unused_tcp_port)
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", unused_tcp_port)
    yield endpoint
    server.close()


async def connect(endpoint) -> EndpointConnection:
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        EndpointConnection, "127.0.0.1", endpoint.port
    )
    return connection


def make_response(attempt: str, body: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nX-Attempt: {attempt}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def exchange(connection, attempt) -> bytes:
    connection.send("POST", "/", HEADERS, b"")
    head = await connection.read_head(
        lambda head: head.get(b"x-attempt") == attempt.encode()
    )
    assert head.status == 200
    body = b""
    while (data := await connection.read_data()) is not None:
        body += data
    return body


async def test_connection_is_reused_after_a_complete_response(endpoint):
    endpoint.answers = [make_response("1", b"one"), make_response("2", b"two")]
    connection = await connect(endpoint)
    assert await exchange(connection, "1") == b"one"
    assert connection.is_reusable
    connection.mark_idle(0.0)
    assert await exchange(connection, "2") == b"two"


async def test_late_response_to_another_request_is_skipped(endpoint):
    endpoint.answers = [
        make_response("1", b"one"),
        make_response("1", b"ghost") + make_response("2", b"2"),
    ]
    connection = await connect(endpoint)
    await exchange(connection, "1")
    connection.mark_idle(0.0)
    assert await exchange(connection, "2") == b"2"


async def test_extra_bytes_make_a_connection_unusable(endpoint):
    endpoint.answers = [make_response("1", b"one") + make_response("1", b"again"), b""]
    connection = await connect(endpoint)
    await exchange(connection, "1")
    assert not connection.is_reusable


async def test_bytes_on_an_idle_connection_close_it(endpoint):
    endpoint.answers = [make_response("1", b"one"), b""]
    connection = await connect(endpoint)
    await exchange(connection, "1")
    connection.mark_idle(0.0)
    connection.data_received(b"HTTP/1.1 200 OK\r\n")
    assert not connection.is_open


async def test_truncated_response_is_not_complete(endpoint):
    endpoint.answers = [make_response("1", b"one")[:-1]]
    connection = await connect(endpoint)
    with pytest.raises(ConnectionEnded):
        await exchange(connection, "1")


async def test_response_without_length_ends_with_its_connection(endpoint):
    endpoint.answers = [b"HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n\r\nwhole"]
    connection = await connect(endpoint)
    assert await exchange(connection, "1") == b"whole"
    assert not connection.is_reusable


async def test_response_without_length_that_is_reset_is_not_complete(endpoint):
    endpoint.answers = [b"HTTP/1.1 200 OK\r\nX-Attempt: 1\r\n\r\nwhole"]
    endpoint.reset = True
    connection = await connect(endpoint)
    with pytest.raises(ConnectionEnded):
        await exchange(connection, "1")
