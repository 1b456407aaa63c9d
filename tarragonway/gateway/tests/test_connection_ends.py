"""Answers without a length by what their endpoints do with the connection.

Whatever the order, a caller never gets a part of an answer that looks whole.
"""

import asyncio

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tarragonway.gateway.tests.harness import GatewayHarness
from tarragonway.gateway.tests.test_early_ends import EVENTS, LAST_CHUNK, PLAIN, upload
from tarragonway.http1.tests.early_endpoint import HELD_UPLOAD_BYTES
from tarragonway.http1.tests.ending_endpoint import EndingEndpoint, draw_orders

ROUTES = ["/single/", "/read/", "/stream/", "/resume/"]


def looks_whole(route, received):
    if route in ("/single/", "/read/"):
        return received.startswith(b"HTTP/1.1 200") and received.endswith(b"part")
    return received.endswith(LAST_CHUNK)


async def play(ports, route, orders):
    """Send a request for each order through a gateway, and return what callers get."""
    harness = GatewayHarness()
    harness.address = f"127.0.0.1:{ports()}"
    await harness.server.listen(harness.address)
    answer = PLAIN if route in ("/single/", "/read/") else EVENTS

    def choose(head):
        return orders[int(head.split(b" ")[1].rpartition(b"/")[2])], answer

    endpoints = []
    for _ in range(2):
        port = ports()
        endpoints.append(EndingEndpoint(port, choose))
        await harness.add(port, listens=False)
    try:
        return await asyncio.gather(
            *(
                upload(harness, f"{route}{number}", order.request_bytes)
                for number, order in enumerate(orders)
            )
        )
    finally:
        harness.server.close()
        for endpoint in endpoints:
            await endpoint.close()


# Guards against a part of an answer that its caller gets as a whole one, and against a
# sound answer that is not served.
@settings(
    max_examples=12,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    route=st.sampled_from(ROUTES),
    orders=st.lists(draw_orders([0, 200, HELD_UPLOAD_BYTES]), min_size=4, max_size=4),
)
def test_caller_gets_a_whole_answer_only_if_its_connection_was_closed(
    unused_tcp_port_factory, route, orders
):
    received = asyncio.run(play(unused_tcp_port_factory, route, orders))
    for order, data in zip(orders, received, strict=True):
        assert looks_whole(route, data) or not order.closes_in_order, (order, data)
        assert not looks_whole(route, data) or order.may_be_whole, (order, data)
