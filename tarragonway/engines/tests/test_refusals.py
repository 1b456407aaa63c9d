import asyncio

import pytest

from tarragonway.endpoints import Endpoint
from tarragonway.engines.client import EngineClient, EngineRefused, StreamCall


# Guards against a request whose task fails on the text of an engine's refusal.
@pytest.mark.parametrize("charset", ["", "utf-16", "ascii", "idna", "hex", "none"])
async def test_refusal_with_undecodable_text_is_a_refusal(unused_tcp_port, charset):
    content_type = f"Content-Type: text/plain; charset={charset}\r\n".encode()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 400 X\r\nContent-Length: 3\r\n" + content_type * bool(charset)
        )
        writer.write(b"\r\n\xff\xfeb")
        writer.close()

    endpoint = Endpoint("e1", "s", "z", f"http://127.0.0.1:{unused_tcp_port}")
    engines = EngineClient()
    engines.open()
    async with await asyncio.start_server(serve, "127.0.0.1", unused_tcp_port):
        call = StreamCall("s1", b"{}", 0)
        events = [event async for event in engines.stream(endpoint, call)]
    await engines.close()
    (refusal,) = events
    assert isinstance(refusal, EngineRefused)
    assert refusal.permanent
    assert refusal.reason.startswith("400: ")
