import time
from types import SimpleNamespace

import pytest
from aiohttp import web

from tarragonway.operator import client as client_module
from tarragonway.operator.client import KEY_VARIABLE, OperatorClient, OperatorError


async def serve(port, statuses):
    """Serve one status after another, the last one again and again."""

    async def answer(request):
        status = statuses.pop(0) if len(statuses) > 1 else statuses[0]
        return web.json_response({"problem": "not the leader"}, status=status)

    app = web.Application()
    app.router.add_get("/lists", answer)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner


def make_client(monkeypatch, *ports):
    monkeypatch.setenv(KEY_VARIABLE, "key")
    peers = [SimpleNamespace(name=f"c{p}", http=f"127.0.0.1:{p}") for p in ports]
    return OperatorClient(SimpleNamespace(control=peers, entry=[]))


# Guards against a change that is given up although a new leader is elected soon after
# each process has been asked once.
async def test_processes_are_asked_again_until_one_leads(
    unused_tcp_port_factory, monkeypatch
):
    first, second, gone = (unused_tcp_port_factory() for _ in range(3))
    runners = [await serve(first, [503]), await serve(second, [503, 503, 200])]
    client = make_client(monkeypatch, first, second, gone)
    assert (await client.call_control("GET", "/lists")).status == 200
    for runner in runners:
        await runner.cleanup()


async def test_error_names_the_last_answer_once_the_time_is_over(
    unused_tcp_port, monkeypatch
):
    monkeypatch.setattr(client_module, "RETRY_TIMEOUT_S", 0.5)
    runner = await serve(unused_tcp_port, [503])
    with pytest.raises(OperatorError, match="not the leader"):
        await make_client(monkeypatch, unused_tcp_port).call_control("GET", "/lists")
    await runner.cleanup()


async def test_processes_that_are_all_gone_are_asked_once(
    unused_tcp_port_factory, monkeypatch
):
    client = make_client(monkeypatch, *(unused_tcp_port_factory() for _ in range(3)))
    began = time.monotonic()
    with pytest.raises(OperatorError, match="ClientConnectorError"):
        await client.call_control("GET", "/lists")
    assert time.monotonic() - began < client_module.RETRY_TIMEOUT_S / 2
