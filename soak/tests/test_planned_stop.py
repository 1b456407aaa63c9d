"""Planned stop of a gateway in calm, with the real programs: no answer is cut."""

import asyncio
import signal
import socket
from dataclasses import dataclass

import pytest

from soak.clients import API_KEY, Operator
from soak.deployment import Deployment, reserve_base_port
from tarragonway.platform import names

SERVICE_TIME_S = 1.0
CALL_INTERVAL_S = 0.1
ANSWER_BYTES = 300_000
READ_BYTES = 10_000
READ_BYTES_PER_S = 150_000.0


@dataclass
class Call:
    """One request that may not be repeated, and what its caller got."""

    attempt: str
    status: int = 0
    is_whole: bool = False
    end: str = ""


async def send_call(address, call, read_bytes_per_s):
    """Send a call on a connection of its own, and read its answer at this rate."""
    host, _, port = address.rpartition(":")
    line = socket.socket()
    line.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
    line.setblocking(False)
    try:
        async with asyncio.timeout(12.0):
            await asyncio.get_running_loop().sock_connect(line, (host, int(port)))
            reader, writer = await asyncio.open_connection(sock=line, limit=16 * 1024)
            lines = [
                f"POST /once/{call.attempt} HTTP/1.1",
                "Host: soak",
                "Content-Length: 0",
                f"{names.ATTEMPT.decode()}: {call.attempt}",
                f"{names.DEADLINE.decode()}: 3000",
                f"Authorization: Bearer {API_KEY}",
            ]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            call.status = int(head.split()[1])
            left = int(head.split(b"content-length:")[1].split()[0])
            while left > 0:
                data = await reader.read(READ_BYTES)
                if not data:
                    raise EOFError(f"{left} bytes are missing")
                left -= len(data)
                await asyncio.sleep(len(data) / read_bytes_per_s)
            call.is_whole = True
            writer.close()
    except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError) as error:
        call.end = repr(error)
    finally:
        line.close()


async def stop_under_load(tmp_path, grace_s, answer_bytes, read_bytes_per_s):
    """Stop a gateway while calls keep coming; return them, and which ones ran."""
    port = reserve_base_port()
    deployment = Deployment(
        tmp_path, port, 1, {"plain": 4, "model": 1}, grace_s=grace_s
    )
    for endpoint in deployment.endpoints:
        endpoint.service_time_s = SERVICE_TIME_S
        endpoint.answer_bytes = answer_bytes
    await deployment.start()
    calls, tasks = [], []
    try:
        async with asyncio.timeout(20.0):
            await Operator(deployment, 1).replace_configuration(1)
        await asyncio.sleep(4.0)
        loop = asyncio.get_running_loop()
        stopped_at = loop.time() + 1.0
        gateway = deployment.gateways[0]
        is_stopping = False
        while loop.time() < stopped_at + grace_s:
            if not is_stopping and loop.time() >= stopped_at:
                gateway.send(signal.SIGTERM)
                is_stopping = True
            calls.append(Call(f"call-{len(calls)}"))
            address = deployment.client_addresses[0]
            tasks.append(
                asyncio.create_task(send_call(address, calls[-1], read_bytes_per_s))
            )
            await asyncio.sleep(CALL_INTERVAL_S)
        await gateway.wait(1.0)
        await asyncio.gather(*tasks)
    finally:
        await deployment.stop()
    return calls, {run.attempt for run in deployment.observations.executions}


@pytest.mark.timeout(90)
@pytest.mark.parametrize(
    ("grace_s", "answer_bytes", "read_bytes_per_s"),
    [
        # Calls that come late in a short grace period must not be taken and then cut.
        (3, 0, 1e9),
        # Callers on slow lines still read when the gateway has written its answers.
        (8, ANSWER_BYTES, READ_BYTES_PER_S),
    ],
)
# Guards against calls that ran, must not be repeated, and whose answers a planned stop
# of their gateway cuts.
async def test_planned_stop_cuts_no_answer(
    tmp_path, grace_s, answer_bytes, read_bytes_per_s
):
    calls, ran = await stop_under_load(
        tmp_path, grace_s, answer_bytes, read_bytes_per_s
    )
    cut = [call for call in calls if call.attempt in ran and not call.is_whole]
    assert not cut
    wrong = [call for call in calls if call.attempt in ran and call.status == 503]
    assert not wrong
    assert sum(call.status == 200 for call in calls) >= 10
    # Some calls came after the intake, and were told so.
    assert any(call.status == 503 for call in calls)
