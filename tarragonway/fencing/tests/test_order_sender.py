"""Orders under a lease, also from a holder that is frozen past the lease's end."""

import asyncio
import types

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from standins.engine import Engine
from tarragonway.core.counters import Counters
from tarragonway.endpoints import Endpoint
from tarragonway.fencing import OrderLeaseStore
from tarragonway.fencing.order_sender import (
    ORDER_LEASE_S,
    ORDER_TIMEOUT_S,
    DesiredModel,
    OrderSender,
)

WAIT_MS = int(1000 * (ORDER_LEASE_S + ORDER_TIMEOUT_S))


class Control:
    """Order senders that share one lease store, with a clock that the test advances."""

    def __init__(self, checks_fence):
        options = types.SimpleNamespace(
            slots=1, lag=60, no_kv=False, checks_fence=checks_fence
        )
        self.engine = Engine(options)
        self.store = OrderLeaseStore()
        self.now_s = 0.0
        self.delays = {}

    def make_order_sender(self, name):
        async def propose(command):
            result = self.store.take(command, int(self.now_s * 1000))
            await self.delays.get(name, asyncio.sleep)(0)
            return result

        return OrderSender(name, lambda: True, list, propose, Counters())


async def start(control, monkeypatch):
    app = web.Application()
    app.router.add_post("/orders", control.engine.order)
    app.router.add_get("/orders", control.engine.get_orders)
    server = TestServer(app)
    await server.start_server()
    loop = asyncio.get_running_loop()
    real = loop.time
    monkeypatch.setattr(loop, "time", lambda: real() + control.now_s)
    endpoint = Endpoint("e1", "s", "a", str(server.make_url("")).rstrip("/"))
    return server, endpoint


async def test_frozen_holder_orders_nothing_when_it_wakes(monkeypatch):
    """The engine ignores fencing tokens, so only the lease protects it."""
    control = Control(checks_fence=False)
    server, endpoint = await start(control, monkeypatch)
    wake = asyncio.Event()

    async def freeze(_):
        await wake.wait()

    control.delays["old"] = freeze
    old, new = control.make_order_sender("old"), control.make_order_sender("new")
    async with aiohttp.ClientSession() as session:
        late = asyncio.create_task(old.reconcile(session, DesiredModel(endpoint, "v1")))
        while not control.store.leases:
            await asyncio.sleep(0)
        await new.reconcile(session, DesiredModel(endpoint, "v2"))
        assert control.engine.orders == []
        control.now_s += WAIT_MS / 1000
        await new.reconcile(session, DesiredModel(endpoint, "v2"))
        wake.set()
        await late
    versions = [order["model_version"] for order in control.engine.orders]
    assert versions == ["v2"]
    await server.close()


async def test_checking_engine_refuses_an_old_fencing_token(monkeypatch):
    control = Control(checks_fence=True)
    server, endpoint = await start(control, monkeypatch)
    control.engine.fence = 7
    async with aiohttp.ClientSession() as session:
        await control.make_order_sender("old").reconcile(
            session, DesiredModel(endpoint, "v1")
        )
    assert control.engine.orders == []
    await server.close()


async def test_engine_that_matches_gets_no_order(monkeypatch):
    control = Control(checks_fence=True)
    server, endpoint = await start(control, monkeypatch)
    async with aiohttp.ClientSession() as session:
        for _ in range(3):
            await control.make_order_sender("one").reconcile(
                session, DesiredModel(endpoint, "v1")
            )
    assert len(control.engine.orders) == 1
    await server.close()


async def test_order_that_the_engine_fails_to_take_does_not_count_as_sent(monkeypatch):
    control = Control(checks_fence=False)
    counters = Counters()
    sender = control.make_order_sender("one")
    sender._counters = counters

    async def fail(request):
        return web.Response(status=500)

    monkeypatch.setattr(control.engine, "order", fail)
    server, endpoint = await start(control, monkeypatch)
    async with aiohttp.ClientSession() as session:
        await sender.reconcile(session, DesiredModel(endpoint, "v1"))
    await server.close()
    snapshot = counters.snapshot()
    assert snapshot.get("orders.failed") == 1
    assert "orders.sent" not in snapshot


# Guards against an order to an engine whose failure is taken for its state.
async def test_engine_that_fails_to_tell_its_state_gets_no_order(monkeypatch):
    control = Control(checks_fence=False)

    async def fail(request):
        return web.json_response({"error": "busy"}, status=503)

    control.engine.get_orders = fail
    server, endpoint = await start(control, monkeypatch)
    async with aiohttp.ClientSession() as session:
        await control.make_order_sender("one").reconcile(
            session, DesiredModel(endpoint, "v1")
        )
    assert not control.engine.orders
    await server.close()


# Guards against an engine's answer that ends the task which sends orders to all
# engines, and with it the control process.
@pytest.mark.parametrize(
    "answer", [b"[" * 5000, b'{"x": ' + b"[" * 5000, b"\xff", b"", b"[]"]
)
async def test_engine_whose_state_cannot_be_read_gets_no_order(answer):
    async def get_orders(request):
        return web.Response(body=answer)

    app = web.Application()
    app.router.add_get("/orders", get_orders)
    server = TestServer(app)
    await server.start_server()
    counters = Counters()
    sender = OrderSender("a", lambda: True, list, None, counters)
    urls = [str(server.make_url("")).rstrip("/"), "http://a\0b:80", "http://a:70000"]
    async with aiohttp.ClientSession() as session:
        for url in urls:
            endpoint = Endpoint("e1", "s", "a", url)
            await sender.reconcile(session, DesiredModel(endpoint, "v2"))
    await server.close()
    assert counters.snapshot() == {"orders.unreadable": len(urls)}
