import asyncio

import pytest

from tarragonway.http1 import HttpServer, Request, ResponseWriter
from tarragonway.routes import ConnectionLimits

LIMITS = ConnectionLimits(
    header_bytes=2048, body_bytes=1024, header_timeout_s=0.2, idle_timeout_s=5.0
)


class RecordingServer:
    """A server on the loopback address that records the requests it receives."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.cancelled = asyncio.Event()
        self.release = asyncio.Event()
        self.release.set()
        self.server = HttpServer(self.handle, lambda: LIMITS)

    async def handle(self, request: Request, writer: ResponseWriter) -> None:
        self.requests.append(request)
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        await writer.send(200, [], request.target.encode())


@pytest.fixture
async def recorder(unused_tcp_port):
    recorder = RecordingServer()
    recorder.address = f"127.0.0.1:{unused_tcp_port}"
    await recorder.server.listen(recorder.address)
    yield recorder
    recorder.server.close()


async def exchange_bytes(recorder, data, *, wait_s=0.5):
    """Send bytes; return those received until the server closes or ``wait_s`` ends."""
    host, port = recorder.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    received = b""
    try:
        async with asyncio.timeout(wait_s):
            while chunk := await reader.read(65536):
                received += chunk
    except TimeoutError:
        pass
    writer.close()
    return received


async def test_requests_on_one_connection_are_answered_in_order(recorder):
    data = b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\nGET /b/ HTTP/1.1\r\nHost: h\r\n\r\n"
    received = await exchange_bytes(recorder, data)
    assert received.index(b"/a/") < received.index(b"/b/")


@pytest.mark.parametrize(
    "head",
    [
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: h\r\nBad Header: x\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
async def test_ambiguous_requests_are_rejected_and_never_handled(recorder, head):
    received = await exchange_bytes(recorder, head)
    assert received.startswith(b"HTTP/1.1 400")
    assert not recorder.requests


async def test_oversized_head_and_body_are_rejected(recorder):
    big_head = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 5000 + b"\r\n\r\n"
    assert (await exchange_bytes(recorder, big_head)).startswith(b"HTTP/1.1 431")
    big_body = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n"
    received = await exchange_bytes(recorder, big_body + b"a" * 5000)
    assert received.startswith(b"HTTP/1.1 413")
    assert not recorder.requests


async def test_slow_head_ends_with_408(recorder):
    received = await exchange_bytes(recorder, b"GET / HTTP/1.1\r\nHo", wait_s=1.0)
    assert received.startswith(b"HTTP/1.1 408")


async def test_handler_is_cancelled_when_the_caller_disconnects(recorder):
    recorder.release.clear()
    await exchange_bytes(recorder, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", wait_s=0.1)
    async with asyncio.timeout(1.0):
        await recorder.cancelled.wait()


async def test_answers_ask_to_close_once_the_process_stops(recorder):
    recorder.server.announce_close()
    received = await exchange_bytes(recorder, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"connection: close" in received.lower()


# Guards against a request that ends without an answer because its handler failed.
@pytest.mark.parametrize("method", ["GET", "HEAD"])
async def test_failed_handler_answers_500(recorder, method):
    async def fail(request, writer):
        raise RuntimeError

    recorder.server.handle = fail
    data = b"%s /a/ HTTP/1.1\r\nHost: h\r\n\r\n" % method.encode()
    received = await exchange_bytes(recorder, data)
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 500") and b"connection: close" in head.lower()
    assert bool(body) == (method == "GET")


# Guards against a response that cannot be encoded and leaves its request unanswered.
async def test_response_with_impossible_headers_is_replaced(recorder):
    async def answer(request, writer):
        await writer.send(200, [(b"x", b"a\r\nb")], b"body")

    recorder.server.handle = answer
    received = await exchange_bytes(recorder, b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 500") and b"body" not in received


# Guards against a response that looks complete although its handler failed.
async def test_response_that_has_begun_is_reset_if_the_handler_fails(recorder):
    async def fail_late(request, writer):
        await writer.start(200, [(b"transfer-encoding", b"chunked")])
        await writer.write(b"part")
        raise RuntimeError

    recorder.server.handle = fail_late
    with pytest.raises(ConnectionResetError):
        await exchange_bytes(recorder, b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")


# Guards against a response to HEAD that is reset, as its body may not be sent.
async def test_response_to_head_has_no_body(recorder):
    data = b"HEAD /a/ HTTP/1.1\r\nHost: h\r\n\r\nGET /b/ HTTP/1.1\r\nHost: h\r\n\r\n"
    received = await exchange_bytes(recorder, data)
    assert received.count(b"HTTP/1.1 200") == 2
    assert b"\r\n\r\n/a/" not in received and received.endswith(b"/b/")


# Guards against an error response without its body, and a connection that stays open,
# because an earlier request on the connection was a HEAD.
@pytest.mark.parametrize(
    ("rest", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHo", 408),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 5000 + b"\r\n\r\n", 431),
        (
            b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + b"a" * 2000,
            413,
        ),
    ],
)
async def test_request_rejected_after_head_gets_a_whole_response(
    recorder, rest, status
):
    head = b"HEAD / HTTP/1.1\r\nHost: h\r\n\r\n"
    received = await exchange_bytes(recorder, head + rest, wait_s=2.0)
    assert received.endswith(b'{"error": "%d"}' % status)
    received = await exchange_bytes(recorder, head.replace(b"h\r", b"h" * 5000 + b"\r"))
    assert received.startswith(b"HTTP/1.1 431") and received.endswith(b"\r\n\r\n")
    assert len(recorder.requests) == 1
