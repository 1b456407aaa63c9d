import aiohttp
from aiohttp import web

from tarragonway.core.ids import OwnerEpoch
from tarragonway.entry.streams import StreamWriter
from tarragonway.requests.live import LiveRequest
from tarragonway.requests.model import RequestRecord, RequestState


def make_live(state):
    record = RequestRecord("r1", "acct", "s", "f", 0, b"{}", "entry-1", OwnerEpoch(1))
    live = LiveRequest(record, copied=False)
    live.add_token(0, "a")
    live.finish(state, "no endpoint is left" if state is RequestState.FAILED else "")
    return live


async def read_stream(state, port):
    async def answer(request):
        return await StreamWriter(make_live(state)).write(request, 0)

    app = web.Application()
    app.router.add_get("/", answer)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://127.0.0.1:{port}/") as response,
        ):
            return await response.read()
    finally:
        await runner.cleanup()


# Guards against a failed stream that callers take for a complete one.
async def test_failed_stream_has_no_end_mark(unused_tcp_port):
    body = await read_stream(RequestState.FAILED, unused_tcp_port)
    assert b"event: error" in body
    assert b"no endpoint is left" in body
    assert b"[DONE]" not in body


async def test_complete_stream_has_an_end_mark(unused_tcp_port):
    body = await read_stream(RequestState.DONE, unused_tcp_port)
    assert body.endswith(b"data: [DONE]\n\n")
    assert b"event: error" not in body
