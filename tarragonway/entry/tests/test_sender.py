import asyncio
import gzip

import pytest

from tarragonway.claims import Answer
from tarragonway.endpoints import Endpoint
from tarragonway.entry.sender import CallSender, NotExecuted, PlainCall


async def send(port, serve, method="GET", path="/", query="", body=b""):
    call = PlainCall(None, None, method, path, query, (("Accept", "a/b"),), body)
    async with await asyncio.start_server(serve, "127.0.0.1", port):
        endpoint = Endpoint("e1", "s", "z", f"http://127.0.0.1:{port}/base")
        return await CallSender(2.0).send(call, endpoint, "key")


# Guards against a body that the service encoded for the sender, without the header that
# says so.
async def test_service_is_not_asked_for_an_encoded_body(unused_tcp_port):
    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if b"gzip" in head:
            body, header = gzip.compress(b"text"), b"Content-Encoding: gzip\r\n"
        else:
            body, header = b"text", b""
        length = b"Content-Length: %d\r\n" % len(body)
        writer.write(b"HTTP/1.1 200 OK\r\n" + header + length + b"\r\n" + body)
        writer.close()

    result = await send(unused_tcp_port, serve)
    assert isinstance(result, Answer)
    assert result.body == b"text"


async def test_call_is_forwarded_as_it_was_received(unused_tcp_port):
    heads = []

    async def serve(reader, writer):
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        heads.append(await reader.readexactly(2))
        writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        writer.close()

    path, query = "/a b%20/é/x:y", "q=%20a&r=/?%C3%A9"
    result = await send(unused_tcp_port, serve, "PUT", path, query, b"{}")
    assert result == Answer(204, "", b"")
    head = heads[0].decode()
    target = f"/base/a%20b%2520/%C3%A9/x:y?{query}"
    assert head.startswith(f"PUT {target} HTTP/1.1\r\n")
    for line in (f"Host: 127.0.0.1:{unused_tcp_port}", "Idempotency-Key: key"):
        assert f"\r\n{line}\r\n" in head
    assert "\r\nAccept: a/b\r\n" in head
    assert heads[1] == b"{}"


async def test_call_to_an_unusable_address_is_not_executed():
    for url in ("http://127.0.0.1:70000", "http://[::1", "", "http://\0:1"):
        call = PlainCall(None, None, "GET", "/", "", (), b"")
        result = await CallSender(2.0).send(call, Endpoint("e1", "s", "z", url))
        assert isinstance(result, NotExecuted)


# Guards against a call that ends without an outcome, so that its caller gets no answer
# and its claim stays open.
@pytest.mark.parametrize("value", ["a\r\nb", "a\0", "\ud800"])
async def test_call_that_http_does_not_allow_is_not_executed(unused_tcp_port, value):
    received = []

    async def serve(reader, writer):
        received.append(await reader.read(1))
        writer.close()

    call = PlainCall(None, None, "GET", "/", "", (("X", value),), b"")
    async with await asyncio.start_server(serve, "127.0.0.1", unused_tcp_port):
        endpoint = Endpoint("e1", "s", "z", f"http://127.0.0.1:{unused_tcp_port}")
        result = await CallSender(2.0).send(call, endpoint)
    assert isinstance(result, NotExecuted)
    assert not any(received)
