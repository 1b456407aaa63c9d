"""Answers without a length of services and engines, by what these do afterwards."""

import asyncio

from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.claims import Answer
from tarragonway.engines.client import EngineFinished
from tarragonway.entry.tests.test_early_ends import (
    PLAIN,
    STREAM,
    call_service,
    read_stream,
)
from tarragonway.http1.tests.early_endpoint import HELD_UPLOAD_BYTES
from tarragonway.http1.tests.ending_endpoint import EndingEndpoint, draw_orders

ORDERS = st.lists(draw_orders([200, HELD_UPLOAD_BYTES]), min_size=4, max_size=4)


async def play(ports, orders, answer, send):
    """Send a request to an endpoint of its own for each order."""
    addresses = [ports() for _ in orders]
    endpoints = [
        EndingEndpoint(port, lambda head, order=order: (order, answer))
        for port, order in zip(addresses, orders, strict=True)
    ]
    sends = [
        send(port, order.request_bytes)
        for port, order in zip(addresses, orders, strict=True)
    ]
    try:
        return await asyncio.gather(*sends)
    finally:
        for endpoint in endpoints:
            await endpoint.close()


def check(orders, wholes):
    for order, is_whole in zip(orders, wholes, strict=True):
        assert is_whole or not order.closes_in_order, order
        assert not is_whole or order.may_be_whole, order


# Guards against a part of an answer that is recorded as the result of a claimed call.
@settings(max_examples=8, deadline=None, derandomize=True)
@given(orders=ORDERS)
def test_answer_of_a_service_is_whole_only_if_it_closed(
    unused_tcp_port_factory, orders
):
    results = asyncio.run(play(unused_tcp_port_factory, orders, PLAIN, call_service))
    check(orders, [isinstance(result, Answer) for result in results])


# Guards against events of an engine that has not read the prompt, which look complete.
@settings(max_examples=8, deadline=None, derandomize=True)
@given(orders=ORDERS)
def test_stream_of_an_engine_is_whole_only_if_it_closed(
    unused_tcp_port_factory, orders
):
    streams = asyncio.run(play(unused_tcp_port_factory, orders, STREAM, read_stream))
    check(orders, [isinstance(events[-1], EngineFinished) for events in streams])
