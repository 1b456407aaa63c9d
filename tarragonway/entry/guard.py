"""A client session that sends each request once at most.

The client library repeats PUT and DELETE by itself when the server closes the
connection without an answer, on fresh connections too. The guard is told of each
connection before it is opened, and allows one.
"""

from types import SimpleNamespace

import aiohttp


class SecondSendError(aiohttp.ClientError):
    """The client library tried to repeat a request."""


class SendGuard:
    """Whether a connection was opened for one request.

    Examples
    --------
    >>> SendGuard().opened
    False
    """

    def __init__(self) -> None:
        self.opened = False


def open_guarded_session(timeout: aiohttp.ClientTimeout) -> aiohttp.ClientSession:
    """Return a session whose requests carry a guard as ``trace_request_ctx``."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(_refuse_second)
    trace.on_connection_create_end.append(_note_opened)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        timeout=timeout,
        auto_decompress=False,
        trace_configs=[trace],
    )


async def _refuse_second(
    session: aiohttp.ClientSession, context: SimpleNamespace, parameters: object
) -> None:
    guard: SendGuard = context.trace_request_ctx
    if guard.opened:
        raise SecondSendError("the connection broke after the request was sent")


async def _note_opened(
    session: aiohttp.ClientSession, context: SimpleNamespace, parameters: object
) -> None:
    guard: SendGuard = context.trace_request_ctx
    guard.opened = True
