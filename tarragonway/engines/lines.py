"""Lines of a response body."""

import asyncio
from collections.abc import AsyncIterator

from tarragonway.http1 import EndpointConnection

MAX_LINE_BYTES = 256 * 1024


class LineTooLong(Exception):  # noqa: N818
    """A line exceeds :data:`MAX_LINE_BYTES`."""


async def read_lines(
    connection: EndpointConnection, timeout_s: float
) -> AsyncIterator[bytes]:
    """Yield the lines with their ends; the last one may lack it.

    Raises
    ------
    ConnectionEnded
        If the connection ends before the body is complete.
    TimeoutError
        If no part of the body arrives for ``timeout_s`` seconds.
    LineTooLong
        If a line is too long.
    """
    rest = bytearray()
    while True:
        async with asyncio.timeout(timeout_s):
            data = await connection.read_data()
        if data is None:
            break
        first_new = len(rest)
        rest += data
        start = 0
        while (end := rest.find(b"\n", max(start, first_new))) >= 0:
            yield bytes(rest[start : end + 1])
            start = end + 1
        del rest[:start]
        if len(rest) > MAX_LINE_BYTES:
            raise LineTooLong(f"a line exceeds {MAX_LINE_BYTES} bytes")
    if rest:
        yield bytes(rest)
