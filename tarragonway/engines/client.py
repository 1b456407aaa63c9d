"""Client of a model engine.

Engines implement the OpenAI-compatible chat completions API with server-sent events. In
addition, a request's ``tarragonway`` object carries the priority, the tokens after
which generation resumes, and the handle of an imported KV cache.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, TypeVar
from urllib.parse import SplitResult, urlsplit

import aiohttp
import msgspec
from aiohttp.http_exceptions import HttpProcessingError

from tarragonway.core.decoding import (
    Decoder,
    UndecodableError,
    decode_bytes,
    decode_json,
    drop_deep_values,
)
from tarragonway.core.http_status import reject_invalid_status
from tarragonway.core.numbers import Count, parse_bounded_number
from tarragonway.endpoints import Endpoint
from tarragonway.engines.lines import LineTooLong, read_lines
from tarragonway.http1 import (
    ConnectionEnded,
    EndpointConnection,
    ResponseHead,
    open_connection,
)
from tarragonway.http1.client import RequestNotEncodable
from tarragonway.routing.notices import MAX_PAUSE_S

STATUS_UNAVAILABLE = 503
READ_TIMEOUT_S = 30.0
# Longest wait for the end of a stream without length and chunks after its last event.
END_WAIT_S = 0.1
CONTROL_REQUEST_TIMEOUT_S = 1.5
MAX_REASON_BYTES = 200
# ``ValueError`` is raised for an address that the system cannot use.
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)

T = TypeVar("T")


class StreamCall(msgspec.Struct, frozen=True):
    """A stream to open.

    ``body`` is the caller's JSON body; ``tokens`` holds the tokens that have already
    been generated.
    """

    stream: str
    body: bytes
    priority: int
    tokens: tuple[str, ...] = ()
    kv_handle: str = ""


class EngineToken(msgspec.Struct, frozen=True):
    """A generated token's text and its position in the stream."""

    position: int
    text: str


class EngineFinished(msgspec.Struct, frozen=True):
    """Last event of a stream that the engine completed."""


class EngineRefused(msgspec.Struct, frozen=True):
    """Last event of a stream that the engine did not start.

    ``leaving`` is set if the engine is leaving; ``permanent`` is set if a retry on
    another engine cannot succeed. ``pause_s`` are the seconds for which the engine
    wants no request, 0 if it names none.
    """

    reason: str
    leaving: bool = False
    permanent: bool = False
    pause_s: float = 0.0


class EngineInterrupted(msgspec.Struct, frozen=True):
    """Last event of a stream whose connection ended before the answer was complete."""

    reason: str


class EnginePrefill(msgspec.Struct, frozen=True):
    """Number of prompt tokens that the engine had to compute."""

    computed: int


EngineEvent = (
    EngineToken | EnginePrefill | EngineFinished | EngineRefused | EngineInterrupted
)


class _Delta(msgspec.Struct, frozen=True):
    content: str = ""


class _Choice(msgspec.Struct, frozen=True):
    delta: _Delta = _Delta()


class _Usage(msgspec.Struct, frozen=True):
    computed_prompt_tokens: Count = 0


class _Chunk(msgspec.Struct, frozen=True):
    choices: tuple[_Choice, ...] = ()
    position: Count = 0
    usage: _Usage | None = None


class _Load(msgspec.Struct, frozen=True):
    running: Count = 0
    waiting: Count = 0


class _Kv(msgspec.Struct, frozen=True):
    kv: str = ""
    handle: str = ""


_chunk_decoder = msgspec.json.Decoder(_Chunk)
_load_decoder = msgspec.json.Decoder(_Load)
_kv_decoder = msgspec.json.Decoder(_Kv)
# Values are passed on as the caller wrote them.
_fields_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])


class EngineClient:
    """Opens streams on engines and sends control requests to them.

    Each has a connection of its own, since an answer has no id: a faulty engine may
    write an earlier refusal once more.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    def open(self) -> None:
        """Create the client session; needs a running loop."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_REQUEST_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            raise_for_status=reject_invalid_status,
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def stream(
        self, endpoint: Endpoint, call: StreamCall
    ) -> AsyncIterator[EngineEvent]:
        """Open a stream and yield its events.

        The last event is EngineFinished, EngineRefused or EngineInterrupted.
        """
        try:
            body = _extend_body(call)
        except UndecodableError as error:
            yield EngineRefused(f"the body cannot be read: {error}", permanent=True)
            return
        try:
            url = urlsplit(f"{endpoint.url}/v1/chat/completions")
            connection = await open_connection(url)
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            yield EngineRefused(f"the connection failed: {error!r}")
            return
        try:
            async for event in _exchange(connection, url, call.stream, body):
                yield event
        except (ConnectionEnded, TimeoutError, LineTooLong) as error:
            yield EngineInterrupted(repr(error))
        except RequestNotEncodable as error:
            yield EngineRefused(f"the request cannot be encoded: {error}")
        finally:
            connection.abort()

    async def cancel(self, endpoint: Endpoint, stream: str) -> None:
        """Ask the engine to stop a stream; failures are ignored."""
        await self._send_control_request(
            "DELETE", f"{endpoint.url}/v1/streams/{stream}"
        )

    async def read_load(self, endpoint: Endpoint) -> int | None:
        """Return the number of running and waiting requests, or None on failure."""
        data = await self._send_control_request("GET", f"{endpoint.url}/load")
        load = _decode_or_none(_load_decoder, data)
        return None if load is None else load.running + load.waiting

    async def export_kv(self, endpoint: Endpoint, stream: str) -> str:
        """Return the KV cache of a stream, or an empty string on failure."""
        data = await self._send_control_request(
            "POST", f"{endpoint.url}/kv/export", {"stream": stream}
        )
        reply = _decode_or_none(_kv_decoder, data)
        return reply.kv if reply is not None else ""

    async def import_kv(self, endpoint: Endpoint, kv: str) -> str:
        """Load a KV cache into an engine; return its handle, or "" on failure."""
        data = await self._send_control_request(
            "POST", f"{endpoint.url}/kv/import", {"kv": kv}
        )
        reply = _decode_or_none(_kv_decoder, data)
        return reply.handle if reply is not None else ""

    async def _send_control_request(
        self, method: str, url: str, body: Any = None
    ) -> bytes | None:
        assert self._session is not None
        try:
            async with self._session.request(method, url, json=body) as response:
                data = await response.read()
                return data if response.status == 200 else None
        except (*CALL_ERRORS, HttpProcessingError):
            return None


def _decode_or_none(decoder: Decoder[T], data: bytes | None) -> T | None:
    """Return what an engine's answer states, None if there is none to read."""
    try:
        return decode_json(decoder, data) if data is not None else None
    except UndecodableError:
        return None


def _extend_body(call: StreamCall) -> bytes:
    fields: dict[str, Any] = dict(
        decode_bytes(_fields_decoder, drop_deep_values(call.body))
    )
    fields["stream"] = True
    fields["tarragonway"] = {
        "priority": call.priority,
        "resume_tokens": call.tokens,
        "kv_handle": call.kv_handle,
    }
    return msgspec.json.encode(fields)


async def _exchange(
    connection: EndpointConnection, url: SplitResult, stream: str, body: bytes
) -> AsyncIterator[EngineEvent]:
    """Send the request and yield the events of its answer.

    Raises
    ------
    ConnectionEnded, TimeoutError, LineTooLong
        If the answer broke off or cannot be read.
    RequestNotEncodable
        If nothing was sent.
    """
    headers = [
        (b"Host", url.netloc.encode()),
        (b"Connection", b"close"),
        (b"Content-Type", b"application/json"),
        (b"Content-Length", b"%d" % len(body)),
        (b"X-Stream-Id", stream.encode()),
    ]
    connection.send("POST", url.path, headers, body)
    async with asyncio.timeout(READ_TIMEOUT_S):
        head = await connection.read_head(lambda head: True)
    if head.status != 200:
        yield await _describe_refusal(head, connection)
        return
    async for event in _read_events(connection):
        if isinstance(event, EngineFinished):
            if not head.is_framed:
                await _check_unframed_end(connection)
            connection.close()
        yield event
        if isinstance(event, EngineFinished | EngineInterrupted):
            return
    yield EngineInterrupted("the stream ended before its [DONE] event")


async def _check_unframed_end(connection: EndpointConnection) -> None:
    """Check that an answer without length and chunks belongs to the whole request.

    Raises
    ------
    ConnectionEnded
        If the connection ends before the engine has received the request, or with a
        reset.
    """
    try:
        async with asyncio.timeout(END_WAIT_S):
            while await connection.read_data() is not None:
                pass
    except TimeoutError:
        if connection.has_undelivered_request:
            raise ConnectionEnded("[DONE] before the request was received") from None


async def _describe_refusal(
    head: ResponseHead, connection: EndpointConnection
) -> EngineRefused:
    async with asyncio.timeout(READ_TIMEOUT_S):
        data = await connection.read_data() or b""
    text = data[:MAX_REASON_BYTES].decode(errors="replace")
    leaving = head.get(b"x-endpoint-state") == b"leaving"
    permanent = 400 <= head.status < 500 and head.status != 429
    pause_s = 0.0
    if head.status == STATUS_UNAVAILABLE:
        pause = (head.get(b"retry-after") or b"").decode("latin-1")
        pause_s = parse_bounded_number(pause, MAX_PAUSE_S) or 0.0
    return EngineRefused(f"{head.status}: {text}", leaving, permanent, pause_s)


async def _read_events(connection: EndpointConnection) -> AsyncIterator[EngineEvent]:
    async for line in read_lines(connection, READ_TIMEOUT_S):
        if not line.startswith(b"data: "):
            continue
        data = line[6:].strip()
        if not data:
            continue
        if data == b"[DONE]":
            yield EngineFinished()
            return
        try:
            chunk = decode_json(_chunk_decoder, data)
        except UndecodableError as error:
            if line.endswith(b"\n"):
                # A token may be missing, so what follows cannot complete the answer.
                yield EngineInterrupted(f"an event cannot be read: {error}")
                return
            # The stream was cut within an event; reading on shows how it ended.
            continue
        if chunk.usage is not None:
            yield EnginePrefill(chunk.usage.computed_prompt_tokens)
        if chunk.choices and chunk.choices[0].delta.content:
            yield EngineToken(chunk.position, chunk.choices[0].delta.content)
