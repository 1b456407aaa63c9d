import aiohttp
import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from tarragonway.core.counters import Counters
from tarragonway.endpoints.model import Endpoint, ObserveEndpoints
from tarragonway.endpoints.watcher import PlatformWatcher

SOUND = [Endpoint(f"e{n}", "s", "a", f"http://10.0.0.{n}:80") for n in (1, 2)]
NO_NOTICES = b'{"leaving": []}'
NO_ENTRIES = b'{"instances": []}'
DEEP = b"[" * 5000 + b"]" * 5000


def make_entry(url):
    return msgspec.json.encode(Endpoint("odd", "s", "a", url))


ODD_ENTRIES = [
    DEEP,
    b"7",
    b"null",
    b'{"id": ' + DEEP + b"}",
    b'{"id": "odd", "service": 7, "zone": "a", "url": "http://a:80"}',
    make_entry("http://a:80").replace(b"0.0", b"1e400"),
    make_entry("http://a:80").replace(b'"active"', b'"odd"'),
    *(
        make_entry(url)
        for url in (
            "",
            "a:80",
            "ftp://a:80",
            "http://",
            "http://a:0",
            "http://a:70000",
            "http://a:" + "9" * 5000,
            "http://a:8\u00b2",
            "http://a\0b:80",
            "http://" + "\u00e9" * 300 + ":80",
            "http://[::1:80",
            "http://a b:80",
        )
    ),
]


async def poll(notices, instances):
    """Return the commands and the counters of one poll."""
    commands, counters = [], Counters()

    async def propose(command):
        commands.append(command)

    def answer(body):
        async def handle(request):
            return web.Response(body=body)

        return handle

    app = web.Application()
    app.router.add_get("/notices", answer(notices))
    app.router.add_get("/instances", answer(instances))
    server = TestServer(app)
    await server.start_server()
    url = str(server.make_url("")).rstrip("/")
    watcher = PlatformWatcher(url, 1.0, lambda: True, dict, dict, propose, counters)
    async with aiohttp.ClientSession() as session:
        await watcher._poll(session)
    await server.close()
    return commands, counters.snapshot()


# Guards against an odd entry that hides the sound ones, or ends the task that reads the
# list, and with it the control process.
@pytest.mark.parametrize("entry", ODD_ENTRIES)
async def test_odd_entry_is_left_out_alone(entry):
    first, second = (msgspec.json.encode(row) for row in SOUND)
    body = b'{"instances": [' + b",".join((first, entry, second)) + b"]}"
    commands, counters = await poll(NO_NOTICES, body)
    assert commands == [ObserveEndpoints(tuple(SOUND))]
    assert counters["platform.unusable_entries"] == 1


@pytest.mark.parametrize("body", [b"[" * 5000, DEEP, b"\xff", b"", b'{"instances": 7}'])
async def test_list_that_cannot_be_read_changes_nothing(body):
    for notices, instances in ((body, NO_ENTRIES), (NO_NOTICES, body)):
        commands, counters = await poll(notices, instances)
        if counters != {"platform.failed_polls": 1}:
            assert instances != body
        assert not commands


async def test_unknown_field_is_ignored_however_deep_it_is_nested():
    rows = [msgspec.json.encode(row) for row in SOUND]
    rows[0] = rows[0][:-1] + b', "x": ' + DEEP + b"}"
    body = b'{"instances": [' + b",".join(rows) + b"]}"
    commands, _ = await poll(NO_NOTICES, body)
    assert commands == [ObserveEndpoints(tuple(SOUND))]
