"""Status codes of responses in sessions of aiohttp."""

import asyncio
import pathlib
import re

import aiohttp
import pytest

import tarragonway
from tarragonway.core.http_status import reject_invalid_status

ODD_STATUSES = ["000", "099", "600", "999", "1000", "+20", " 20", "2 0", "\u0662" * 3]


async def get_status(port, status):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode())
        writer.close()

    async with (
        await asyncio.start_server(serve, "127.0.0.1", port),
        aiohttp.ClientSession(raise_for_status=reject_invalid_status) as session,
        session.get(f"http://127.0.0.1:{port}/") as response,
    ):
        return response.status


# Guards against a number such as 000 that counts as a success because it is below 300.
@pytest.mark.parametrize("status", ODD_STATUSES)
async def test_number_that_is_no_status_code_is_an_error(unused_tcp_port, status):
    with pytest.raises(aiohttp.ClientError):
        await get_status(unused_tcp_port, status)


@pytest.mark.parametrize("status", [200, 404, 599])
async def test_status_code_is_passed_on(unused_tcp_port, status):
    assert await get_status(unused_tcp_port, str(status)) == status


# Guards against a client that is added without the check.
def test_each_session_checks_status_codes():
    package = pathlib.Path(tarragonway.__file__).parent
    unchecked = []
    for path in package.rglob("*.py"):
        text = path.read_text(encoding="utf-8")
        if "tests" in path.parts:
            continue
        for call in re.finditer(r"aiohttp\.ClientSession\((?!\))", text):
            arguments = text[call.end() : call.end() + 200]
            if "raise_for_status=reject_invalid_status" not in arguments:
                unchecked.append(path.name)
        assert "aiohttp.ClientSession()" not in text
    assert not unchecked
