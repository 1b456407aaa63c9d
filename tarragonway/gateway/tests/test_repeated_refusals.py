"""Refusals that a faulty endpoint writes once more on a kept connection."""

import asyncio

import pytest

from tarragonway.gateway.tests.harness import NOT_RUN, SIGNED, make_answer
from tarragonway.platform import names

ATTEMPT = names.ATTEMPT.decode()


class KeptConnections:
    """Endpoint that keeps its connections open, and answers by a function.

    The function gets the attempt id of a request and of the one before on the same
    connection, and returns the bytes to write.
    """

    def __init__(self, answer):
        self._answer = answer
        self.runs = []
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        before = ""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                attempt = read_attempt(head)
                self.runs.append(attempt)
                writer.write(self._answer(attempt, before))
                before = attempt
        except asyncio.IncompleteReadError:
            pass
        finally:
            writer.close()


def read_attempt(head):
    for line in head.decode().split("\r\n"):
        name, _, value = line.partition(": ")
        if name.lower() == ATTEMPT:
            return value
    return ""


def make_refusal(attempt):
    echo = f"{ATTEMPT}: {attempt}\r\n" if attempt else ""
    return make_answer(503, "full", NOT_RUN + echo)[0]


def make_success(attempt):
    return make_answer(200, "ok", f"{SIGNED}{ATTEMPT}: {attempt}\r\n")[0]


async def start_endpoint(harness, answer):
    """Add an endpoint that keeps its connections open."""
    port = harness.ports()
    await harness.add(port, listens=False)
    endpoint = KeptConnections(answer)
    await asyncio.start_server(endpoint.serve, "127.0.0.1", port)
    return endpoint


async def ask(harness, attempt, path="/read/"):
    return await harness.ask(path, f"{ATTEMPT}: {attempt}")


@pytest.mark.parametrize("repeated_id", ["a1", "a2", ""])
# Guards against 'not run' for a request that runs, told by an earlier refusal.
async def test_refusal_that_is_written_again_is_no_promise(harness, repeated_id):
    def answer(attempt, before):
        if attempt == "a1":
            return make_refusal("a1")
        repeated = make_refusal(repeated_id) if before == "a1" else b""
        return repeated + make_success(attempt)

    endpoint = await start_endpoint(harness, answer)
    assert (await ask(harness, "a1")).startswith(b"HTTP/1.1 503")
    received = await ask(harness, "a2")
    assert endpoint.runs == ["a1", "a2"]
    assert received.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("path", ["/read/", "/resume/"])
# Guards against a promise by a refusal that names no request, where several were sent.
async def test_refusal_without_an_id_on_a_kept_connection_is_no_promise(harness, path):
    def answer(attempt, before):
        return make_refusal("") if before else make_success(attempt)

    endpoint = await start_endpoint(harness, answer)
    assert (await ask(harness, "a1")).startswith(b"HTTP/1.1 200")
    received = await ask(harness, "a2", path)
    assert received.startswith(b"HTTP/1.1 502")
    assert endpoint.runs == ["a1", "a2"]


# Guards against an answer to an earlier request that is passed on as this one's.
async def test_answer_without_an_id_on_a_kept_connection_is_not_passed_on(harness):
    def answer(attempt, before):
        return make_answer(200, "extra")[0] if before else make_success(attempt)

    await start_endpoint(harness, answer)
    assert (await ask(harness, "a1")).endswith(b"ok")
    received = await ask(harness, "a2")
    assert b"extra" not in received


async def test_refusal_without_an_id_on_a_new_connection_is_a_promise(harness):
    endpoint = await start_endpoint(harness, lambda attempt, before: make_refusal(""))
    received = await ask(harness, "a1", "/once/")
    assert received.startswith(b"HTTP/1.1 503")
    assert endpoint.connections == 1
