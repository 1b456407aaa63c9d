import asyncio

import aiohttp
import pytest

from tarragonway.core.counters import Counters
from tarragonway.endpoints import Endpoint
from tarragonway.endpoints.watcher import PlatformWatcher

KNOWN = {"e1": Endpoint("e1", "s", "z", "http://127.0.0.1:1")}
NOTICES = b'{"leaving": []}'


async def poll(port, answers):
    """Return what one poll proposes, given status and body of the answers by path."""

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        status, body = answers[head.split()[1]]
        length = len(body)
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, length) + body
        )
        writer.close()

    proposed = []

    async def propose(command):
        proposed.append(command)

    async with (
        await asyncio.start_server(serve, "127.0.0.1", port),
        aiohttp.ClientSession() as session,
    ):
        watcher = PlatformWatcher(
            f"http://127.0.0.1:{port}", 1.0, lambda: True, lambda: KNOWN, dict, propose,
            Counters(),
        )  # fmt: skip
        await watcher._poll(session)
    return proposed


# Guards against a failure of the platform that removes every endpoint.
@pytest.mark.parametrize(
    ("status", "body"),
    [(500, b"{}"), (429, b'{"error": "rate"}'), (200, b"{}"), (200, b'{"error": 1}')],
)
async def test_failure_is_not_an_empty_list(unused_tcp_port, status, body):
    answers = {b"/notices": (200, NOTICES), b"/instances": (status, body)}
    assert not await poll(unused_tcp_port, answers)


async def test_failure_is_not_a_list_of_notices(unused_tcp_port):
    answers = {
        b"/notices": (500, b'{"leaving": ["e1"]}'),
        b"/instances": (200, b'{"instances": []}'),
    }
    assert not await poll(unused_tcp_port, answers)


async def test_empty_list_removes_the_endpoints(unused_tcp_port):
    answers = {b"/notices": (200, NOTICES), b"/instances": (200, b'{"instances": []}')}
    (change,) = await poll(unused_tcp_port, answers)
    assert change.gone == ("e1",)
