"""Refusals that a faulty endpoint writes once more on a kept connection."""

import asyncio
from types import SimpleNamespace

import pytest

from tarragonway.claims import Answer
from tarragonway.endpoints import Endpoint
from tarragonway.engines.client import EngineClient, EngineFinished, EngineRefused
from tarragonway.engines.client import StreamCall as EngineCall
from tarragonway.entry.sender import CallSender, NotExecuted, PlainCall


def make_response(status, body, *headers):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


LEAVING = make_response(503, "leaving", "X-Endpoint-State: leaving")
BAD_REQUEST = make_response(400, "bad")


class FaultyEndpoint:
    """Refuses the first request, and writes that refusal again for each later one.

    The later ones run all the same, and are answered on a new connection.
    """

    def __init__(self, refusal, success):
        self.refusal = refusal
        self.success = success
        self.requests = 0
        self.runs = 0

    async def serve(self, reader, writer):
        has_refused = False
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await reader.readexactly(read_length(head))
                self.requests += 1
                if self.requests == 1 or has_refused:
                    has_refused = True
                    self.runs += self.requests > 1
                    writer.write(self.refusal)
                else:
                    self.runs += 1
                    writer.write(self.success)
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()


def read_length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0


async def start(refusal, success, port):
    faulty = FaultyEndpoint(refusal, success)
    await asyncio.start_server(faulty.serve, "127.0.0.1", port)
    return faulty, Endpoint("e1", "s", "z", f"http://127.0.0.1:{port}")


# Guards against 'not run' for a call that runs, told by an earlier refusal.
async def test_refusal_of_a_service_counts_for_one_call(unused_tcp_port):
    success = make_response(200, "done")
    faulty, endpoint = await start(LEAVING, success, unused_tcp_port)
    caller = SimpleNamespace(account=SimpleNamespace(id="acct"))
    call = PlainCall(caller, SimpleNamespace(), "GET", "/x", "", (), b"")
    sender = CallSender(2.0)
    assert isinstance(await sender.send(call, endpoint), NotExecuted)
    result = await sender.send(call, endpoint)
    assert isinstance(result, Answer)
    assert faulty.runs == 1


@pytest.mark.parametrize("refusal", [LEAVING, BAD_REQUEST])
# Guards against a request that fails for the refusal of an earlier one.
async def test_refusal_of_an_engine_counts_for_one_stream(refusal, unused_tcp_port):
    success = make_response(200, "data: [DONE]\n\n", "Content-Type: text/event-stream")
    faulty, endpoint = await start(refusal, success, unused_tcp_port)
    engines = EngineClient()
    engines.open()
    try:
        ends = []
        for stream in ("s1", "s2"):
            call = EngineCall(stream, b"{}", 0)
            ends.append([event async for event in engines.stream(endpoint, call)][-1])
    finally:
        await engines.close()
    assert isinstance(ends[0], EngineRefused)
    assert isinstance(ends[1], EngineFinished)
    assert faulty.runs == 1
