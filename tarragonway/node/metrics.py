"""HTTP server for the counters and the state dump."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.http1.response import Request, ResponseWriter
from tarragonway.http1.server import HttpServer
from tarragonway.routes.model import ConnectionLimits

METRICS_PATH = "/metrics"
DUMP_PATH = "/dump"
LISTEN_RETRY_INTERVAL_S = 1.0

_log = structlog.get_logger()


def make_metrics_server(
    counters: Counters, make_dump: Callable[[], dict[str, Any]]
) -> HttpServer:
    """Return a server with a page of counters and a page with the state dump."""

    async def answer(request: Request, writer: ResponseWriter) -> None:
        path = request.target.partition("?")[0]
        if path == METRICS_PATH:
            body = format_metrics(counters.snapshot()).encode()
            await writer.send(200, [(b"content-type", b"text/plain")], body)
        elif path == DUMP_PATH:
            body = msgspec.json.encode(make_dump())
            await writer.send(200, [(b"content-type", b"application/json")], body)
        else:
            await writer.send(404, [])

    return HttpServer(answer, ConnectionLimits)


async def listen_for_metrics(server: HttpServer, address: str) -> None:
    """Start to serve the metrics, again until their address is available.

    The process serves its callers in the meantime.
    """
    failed = False
    while True:
        try:
            await server.listen(address)
            break
        except OSError as error:
            if not failed:
                _log.warning(
                    "metrics are not served yet", address=address, error=str(error)
                )
            failed = True
            await asyncio.sleep(LISTEN_RETRY_INTERVAL_S)
    if failed:
        _log.info("metrics are served", address=address)


def format_metrics(values: dict[str, int]) -> str:
    r"""Return the metrics page, which has one line per counter.

    Examples
    --------
    >>> format_metrics({"request.answered": 2})
    'tarragonway_request_answered 2\n'
    """
    lines = [
        f"tarragonway_{name.replace('.', '_').replace('-', '_')} {value}\n"
        for name, value in sorted(values.items())
    ]
    return "".join(lines)
