import asyncio

import msgspec
import pytest
from aiohttp import web

from tarragonway.endpoints import Endpoint
from tarragonway.engines.client import (
    EngineClient,
    EngineFinished,
    EngineInterrupted,
    EngineRefused,
    EngineToken,
    StreamCall,
)

NESTED = b"[" * 5000
UNREADABLE = [
    NESTED,
    b'{"x": ' + NESTED + b"]" * 5000 + b"}",
    b"\xff\xfe",
    b"[]",
    b"{",
    b'{"running": ' + b"9" * 5000 + b', "kv": [], "choices": 7}',
]
ODD_BODIES = [
    *UNREADABLE,
    b"",
    b'{"running": "many", "kv": 7}',
    b'{"running": 1e400, "kv": null}',
]


def chunk(position, text):
    body = {"choices": [{"delta": {"content": text}}], "position": position}
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


async def ask(port, status, body, use):
    """Return what ``use`` makes of an engine whose answers all have this body."""

    async def answer(request):
        headers = {"Content-Type": "text/plain; charset=none-such"}
        return web.Response(status=status, body=body, headers=headers)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    client = EngineClient()
    client.open()
    try:
        return await use(client, Endpoint("e1", "s", "z", f"http://127.0.0.1:{port}"))
    finally:
        await client.close()
        await runner.cleanup()


def read_stream(body=b'{"model": "m"}'):
    async def use(client, endpoint):
        call = StreamCall("s1", body, 0)
        return [event async for event in client.stream(endpoint, call)]

    return use


# Guards against a load report that ends the task which polls all engines, and with it
# the process; and against a moved stream that fails for the same reason.
@pytest.mark.parametrize("body", ODD_BODIES)
async def test_control_answers_that_cannot_be_read_count_as_failures(
    body, unused_tcp_port
):
    async def use(client, endpoint):
        return await asyncio.gather(
            client.read_load(endpoint),
            client.export_kv(endpoint, "s1"),
            client.import_kv(endpoint, "kv"),
        )

    assert await ask(unused_tcp_port, 200, body, use) == [None, "", ""]


# Guards against an event that raises, and against an answer that is complete without
# the token which the unreadable event held.
@pytest.mark.parametrize("body", [*UNREADABLE, b'{"x": "' + b"y" * 600_000 + b'"}'])
async def test_unreadable_event_interrupts_the_stream(body, unused_tcp_port):
    data = chunk(0, "a") + b"data: " + body + b"\n\n" + chunk(1, "b")
    events = await ask(unused_tcp_port, 200, data + b"data: [DONE]\n\n", read_stream())
    assert events[0] == EngineToken(0, "a")
    assert isinstance(events[-1], EngineInterrupted)
    assert not any(isinstance(event, EngineFinished) for event in events)


async def test_refusal_with_an_unreadable_text_is_a_refusal(unused_tcp_port):
    (event,) = await ask(unused_tcp_port, 503, b"\xff\xfe" * 900, read_stream())
    assert isinstance(event, EngineRefused)
    assert not event.permanent


# Guards against a request that an entry process has accepted and no engine gets.
@pytest.mark.parametrize("value", [b"9" * 5000, b"1e400", b'"\xed\xa0\x80"'])
async def test_values_that_are_not_read_are_passed_on(value, unused_tcp_port):
    body = b'{"model": "m", "x": ' + value + b"}"
    events = await ask(
        unused_tcp_port, 200, chunk(0, "a") + b"data: [DONE]\n\n", read_stream(body)
    )
    assert events == [EngineToken(0, "a"), EngineFinished()]
