"""A client session that sends each request at most once.

aiohttp repeats PUT and DELETE by itself when the server closes the connection without
an answer, even on a new connection. The session's trace hooks run before each
connection is opened; they allow one connection for a request and refuse a second.
"""

from types import SimpleNamespace

import aiohttp


class SecondSendError(aiohttp.ClientError):
    """aiohttp tried to open a second connection for a request."""


class SendGuard:
    """State of one request: whether a connection was opened for it.

    Examples
    --------
    >>> SendGuard().opened
    False
    """

    def __init__(self) -> None:
        self.opened = False


def open_guarded_session(timeout: aiohttp.ClientTimeout) -> aiohttp.ClientSession:
    """Return a session that refuses a second connection for a request.

    Each request must carry a :class:`SendGuard` as its ``trace_request_ctx``.
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(_refuse_second_connection)
    trace.on_connection_create_end.append(_record_connection)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        timeout=timeout,
        auto_decompress=False,
        trace_configs=[trace],
    )


async def _refuse_second_connection(
    session: aiohttp.ClientSession, context: SimpleNamespace, parameters: object
) -> None:
    guard: SendGuard = context.trace_request_ctx
    if guard.opened:
        raise SecondSendError("the connection broke after the request was sent")


async def _record_connection(
    session: aiohttp.ClientSession, context: SimpleNamespace, parameters: object
) -> None:
    guard: SendGuard = context.trace_request_ctx
    guard.opened = True
