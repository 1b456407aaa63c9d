"""Endpoints that send bytes without end, with the real programs."""

import asyncio
import contextlib
import pathlib
import time

import pytest

from soak.clients import Operator
from soak.deployment import Deployment, reserve_base_port
from soak.stubs import StubEndpoint
from soak.tests.test_self_reports import send_requests
from tarragonway.platform import names

CLIENTS = 10
LOAD_S = 8.0
# Memory of an instance that runs a gateway on the users' deployments.
MEMORY_LIMIT_KB = 300 * 1024
PIECE = b"a" * 65536
HEAD = f"HTTP/1.1 200 OK\r\n{names.SIGNATURE.decode()}: s\r\n".encode()
BEGINNINGS = {
    "head": b"HTTP/1.1 200 OK\r\nX-Long: ",
    "no_answer": b"",
    "body": HEAD + b"Content-Length: 1000000000000\r\n\r\n",
    "chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n",
    "unframed": HEAD + b"\r\n",
}


class EndlessEndpoint(StubEndpoint):
    """Endpoint that answers each request with bytes until the caller closes."""

    beginning = b""

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._listener = await asyncio.start_server(self._pour, host, int(port))

    def close(self):
        self._listener.close()

    async def _pour(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.arrived_at.append(asyncio.get_running_loop().time())
            writer.write(self.beginning)
            while True:
                writer.write(PIECE)
                await writer.drain()
        writer.transport.abort()


def read_peak_kb(process):
    status = pathlib.Path(f"/proc/{process._process.pid}/status").read_text()
    (line,) = [row for row in status.splitlines() if row.startswith("VmHWM")]
    return int(line.split()[1])


@pytest.mark.timeout(60)
@pytest.mark.parametrize("kind", list(BEGINNINGS))
# Guards against a gateway that keeps all bytes of a faulty endpoint, runs out of
# memory, and ends with the requests of its other callers.
async def test_bytes_without_end_harm_no_other_request(tmp_path, kind):
    counts = {"plain": 4, "model": 1}
    deployment = Deployment(tmp_path, reserve_base_port(), 1, counts)
    for endpoint in deployment.endpoints[:2]:
        endpoint.__class__ = EndlessEndpoint
        endpoint.beginning = BEGINNINGS[kind]
    statuses = []
    await deployment.start()
    try:
        async with asyncio.timeout(20.0):
            await Operator(deployment, 1).replace_configuration(1)
        await asyncio.sleep(4.0)
        until = time.monotonic() + LOAD_S
        async with asyncio.TaskGroup() as group:
            for number in range(CLIENTS):
                address = deployment.client_addresses[number % 2]
                group.create_task(send_requests(address, until, statuses))
        peaks_kb = [read_peak_kb(gateway) for gateway in deployment.gateways[:2]]
    finally:
        await deployment.stop()
    assert sum(len(e.arrived_at) for e in deployment.endpoints[:2]) >= 4
    assert max(peaks_kb) < MEMORY_LIMIT_KB
    assert 0 not in statuses
    assert sum(status == 200 for status in statuses) >= 0.9 * len(statuses)
