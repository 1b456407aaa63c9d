"""Responses to model requests, as server-sent events or as one JSON body."""

import msgspec
from aiohttp import web

from tarragonway.core.ids import RequestId
from tarragonway.requests.live import LiveRequest
from tarragonway.requests.model import RequestRecord, RequestState

EVENT_STREAM_HEADERS = {
    "Content-Type": "text/event-stream",
    "Cache-Control": "no-cache",
    "X-Accel-Buffering": "no",
}


class _Delta(msgspec.Struct, frozen=True):
    content: str


class _ChunkChoice(msgspec.Struct, frozen=True):
    index: int
    delta: _Delta
    finish_reason: str | None = None


class _Chunk(msgspec.Struct, frozen=True):
    id: RequestId
    object: str
    model: str
    choices: tuple[_ChunkChoice, ...]


class _Message(msgspec.Struct, frozen=True):
    role: str
    content: str


class _Choice(msgspec.Struct, frozen=True):
    index: int
    message: _Message
    finish_reason: str = "stop"


class _Usage(msgspec.Struct, frozen=True):
    completion_tokens: int


class _Completion(msgspec.Struct, frozen=True):
    id: RequestId
    object: str
    model: str
    choices: tuple[_Choice, ...]
    usage: _Usage


class _StreamError(msgspec.Struct, frozen=True):
    error: str


_encoder = msgspec.json.Encoder()


def make_answer(record: RequestRecord) -> web.Response:
    """Return a finished request's answer as one JSON response."""
    message = _Message("assistant", "".join(record.tokens))
    completion = _Completion(
        record.id,
        "chat.completion",
        record.service,
        (_Choice(0, message),),
        _Usage(len(record.tokens)),
    )
    return web.Response(
        body=_encoder.encode(completion), content_type="application/json"
    )


def format_events(record: RequestRecord, start: int, tokens: list[str]) -> bytes:
    """Return one server-sent event per token.

    An event's id is the number of tokens up to and including its own, so that a client
    which reconnects with ``Last-Event-ID`` gets the next token first.

    Parameters
    ----------
    record : RequestRecord
        The request.
    start : int
        Position of the first token.
    tokens : list of str
        Consecutive tokens.
    """
    parts = []
    for offset, text in enumerate(tokens):
        chunk = _Chunk(
            record.id,
            "chat.completion.chunk",
            record.service,
            (_ChunkChoice(0, _Delta(text)),),
        )
        number = str(start + offset + 1).encode()
        parts.append(b"id: " + number + b"\ndata: " + _encoder.encode(chunk) + b"\n\n")
    return b"".join(parts)


class StreamWriter:
    """Streams a live request's tokens to one caller.

    Parameters
    ----------
    live : LiveRequest
        The request.
    """

    def __init__(self, live: LiveRequest) -> None:
        self._live = live

    async def write(self, request: web.Request, start: int) -> web.StreamResponse:
        """Send events from position ``start`` on, until the request is over."""
        record = self._live.record
        headers = {
            **EVENT_STREAM_HEADERS,
            "X-Request-Id": record.id,
            "Location": f"/v1/requests/{record.id}",
        }
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        position = start
        try:
            async for tokens in self._live.follow(start):
                await response.write(format_events(record, position, tokens))
                position += len(tokens)
            await self._write_end(response)
        except ConnectionResetError:
            # The caller has disconnected; it may reconnect with Last-Event-ID.
            return response
        return response

    async def _write_end(self, response: web.StreamResponse) -> None:
        if self._live.abandoned:
            # Abort the connection, so that the caller reconnects and is served by the
            # new owner.
            assert response._req is not None
            if response._req.transport is not None:
                response._req.transport.abort()
            return
        # Clients of this protocol read [DONE] as the end of a complete answer, whatever
        # came before it.
        if self._live.state is RequestState.FAILED:
            error = _encoder.encode(_StreamError(self._live.error))
            await response.write(b"event: error\ndata: " + error + b"\n\n")
        else:
            await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
