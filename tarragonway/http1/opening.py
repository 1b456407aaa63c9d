"""Opening of a connection of its own for one exchange with a URL's server."""

import asyncio
from urllib.parse import SplitResult

from tarragonway.http1.client import EndpointConnection

CONNECT_TIMEOUT_S = 1.0


async def open_connection(url: SplitResult) -> EndpointConnection:
    """Return a connection to the server of an ``http`` or ``https`` URL.

    Raises
    ------
    OSError, TimeoutError, ValueError, OverflowError
        If the address cannot be used, or the connection not opened in time. Nothing was
        sent.
    """
    if not url.hostname:
        raise ValueError(f"{url.geturl()} names no host")
    port = url.port or (443 if url.scheme == "https" else 80)
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        _, connection = await asyncio.get_running_loop().create_connection(
            EndpointConnection, url.hostname, port, ssl=url.scheme == "https" or None
        )
    return connection
