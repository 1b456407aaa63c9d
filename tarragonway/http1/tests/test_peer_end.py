"""Responses by what their endpoints do with the connection, in any order.

A response without a length or chunks is whole only if its endpoint has closed the
connection in order. A response that states its length is whole whatever follows it.
"""

import asyncio
import contextlib
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.http1 import ConnectionEnded, ConnectionPool, peer_end
from tarragonway.http1.peer_end import PeerEnd, find_peer_end
from tarragonway.http1.tests.early_endpoint import HELD_UPLOAD_BYTES
from tarragonway.http1.tests.ending_endpoint import (
    Ending,
    EndingEndpoint,
    Order,
    draw_orders,
)

BODY = b"part"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n" + BODY
FRAMED = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + BODY
SIZES = [0, 200, HELD_UPLOAD_BYTES, 1_000_000]


async def post(pool, address, number, size):
    """Return the body of the response, None if it was broken off."""
    connection = await pool.acquire(f"e{number}", address, 0.0)
    headers = [(b"host", b"e"), (b"content-length", b"%d" % size)]
    try:
        connection.send("POST", f"/{number}", headers, bytes(size))
        await connection.read_head(lambda head: True)
        return await connection.read_body(1024)
    except ConnectionEnded:
        return None
    finally:
        pool.release(f"e{number}", connection)


async def play(port, orders, answer):
    """Send a request for each order at the same time, and return the bodies."""
    endpoint = EndingEndpoint(
        port, lambda head: (orders[int(head.split(b" ")[1][1:])], answer)
    )
    pool = ConnectionPool()
    try:
        return await asyncio.gather(
            *(
                post(pool, f"127.0.0.1:{port}", number, order.request_bytes)
                for number, order in enumerate(orders)
            )
        )
    finally:
        await endpoint.close()


# Guards against a part of a response that counts as whole, and against a whole response
# that counts as broken off.
@settings(max_examples=12, deadline=None, derandomize=True)
@given(orders=st.lists(draw_orders(SIZES), min_size=20, max_size=20))
def test_unframed_response_is_whole_only_if_its_connection_was_closed(
    unused_tcp_port_factory, orders
):
    bodies = asyncio.run(play(unused_tcp_port_factory(), orders, UNFRAMED))
    for order, body in zip(orders, bodies, strict=True):
        assert body in (None, BODY)
        assert body == BODY or not order.closes_in_order, order
        assert body is None or order.may_be_whole, order


# Guards against a doubt about a response that states where it ends.
@settings(max_examples=4, deadline=None, derandomize=True)
@given(orders=st.lists(draw_orders(SIZES), min_size=20, max_size=20))
def test_response_with_a_length_is_whole_whatever_follows(
    unused_tcp_port_factory, orders
):
    bodies = asyncio.run(play(unused_tcp_port_factory(), orders, FRAMED))
    for order, body in zip(orders, bodies, strict=True):
        was_reset = order.ending in (Ending.RESET, Ending.HALF_CLOSE_THEN_RESET)
        is_certain = order.has_read and not (was_reset and order.pause_s < 0.01)
        assert body == BODY or not is_certain, order


@contextlib.asynccontextmanager
async def connect(sock):
    """Connect a transport, and yield it with the socket of its peer.

    Its received stream may end without closing it.
    """
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()

    class Protocol(asyncio.Protocol):
        def eof_received(self):
            ended.set()
            return True

    transport, _ = await loop.create_connection(Protocol, *sock.getsockname())
    peer, _ = sock.accept()
    with peer:
        yield transport, peer, ended
    transport.abort()


# Guards against an urgent byte that the endpoint reads as a part of its stream.
async def test_half_closed_peer_is_recognized_and_reads_nothing_of_it():
    with socket.create_server(("127.0.0.1", 0)) as server:
        async with connect(server) as (transport, peer, ended):
            peer.shutdown(socket.SHUT_WR)
            await ended.wait()
            assert await find_peer_end(transport) is PeerEnd.HALF_CLOSED
            assert peer.recv(10) == b""


@pytest.mark.parametrize("has_half_closed", [False, True])
async def test_closed_peer_is_recognized(has_half_closed):
    with socket.create_server(("127.0.0.1", 0)) as server:
        async with connect(server) as (transport, peer, ended):
            if has_half_closed:
                peer.shutdown(socket.SHUT_WR)
            peer.close()
            await ended.wait()
            assert await find_peer_end(transport) is PeerEnd.CLOSED


# Guards against a gateway that refuses all such responses on a system without urgent
# data, and against one that takes a reset for a close there.
@pytest.mark.parametrize(
    ("ending", "pause_s", "expected"),
    [(Ending.CLOSE, 0.0, BODY), (Ending.HALF_CLOSE_THEN_RESET, 0.005, None)],
)
async def test_reset_is_awaited_on_a_system_without_urgent_data(
    unused_tcp_port, monkeypatch, ending, pause_s, expected
):
    def refuse(transport):
        raise OSError("not supported")

    monkeypatch.setattr(peer_end, "_send_probe", refuse)
    order = Order(True, ending, HELD_UPLOAD_BYTES, 0.0, pause_s)
    assert await play(unused_tcp_port, [order], UNFRAMED) == [expected]
