"""A part that crashes replicas is never held if it stands far back in a prompt."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from harness import FRONT, CannotRun, Case, Headers, read_head, run
from model import HOST, PATH, Replica, make_config

CONTACT_S = 3.0
DOWN_S = 3.0
PLAY_S = 30.0
REPLICAS = 8
DEADLY = "dead0001"
# Position of the deadly part; sound requests have another part there.
POSITION = 130


class CrashingReplica(Replica):
    """A replica that crashes when it begins an answer on the deadly part."""

    def __init__(self, case: Case, number: int) -> None:
        super().__init__(case, number, "v1", 5, 0.05)
        self.reached: list[tuple[float, str]] = []
        self._restart: asyncio.Task[None] | None = None

    async def _answer(self, headers: Headers, writer: asyncio.StreamWriter) -> None:
        if f"{DEADLY}:" not in headers.get("tarragonway-prefix-hash", ""):
            await super()._answer(headers, writer)
            return
        attempt = headers["tarragonway-attempt-id"]
        self._case.record(f"replica {self.id} gets {attempt} (deadly part)")
        self.reached.append((time.monotonic(), attempt))
        await asyncio.sleep(0.02)
        self.crash()
        self._restart = asyncio.create_task(self._start_again())

    async def _start_again(self) -> None:
        await asyncio.sleep(DOWN_S)
        self.born = int(time.time() * 1000)
        await self.start()
        self._case.record(f"replica {self.id} is back")


async def send(case: Case, deadly: bool) -> int:
    """Send one request with many parts; return its status."""
    attempt = f"{random.getrandbits(64):016x}"
    parts = [f"{0x5C1E0000 + number:08x}:10" for number in range(POSITION - 1)]
    parts += [f"{DEADLY if deadly else '50a40001'}:10", f"{attempt[:8]}:50"]
    lines = [
        f"POST {PATH} HTTP/1.1",
        f"Host: {HOST}",
        f"Tarragonway-Attempt-Id: {attempt}",
        "Tarragonway-Model: m",
        f"Tarragonway-Token-Usage: {10 * POSITION + 50},40",
        f"Tarragonway-Prefix-Hash: {','.join(parts)}",
        "Tarragonway-Deadline-Ms: 5000",
        "Content-Length: 16",
    ]
    front = random.choice(case.edge).address(FRONT)
    host, _, port = front.rpartition(":")
    status, ended, writer = 0, "no answer", None
    try:
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + attempt.encode())
            first, _ = await read_head(reader)
            status, ended = int(first.split()[1]), "broken off"
            if status == 200 and (await reader.readuntil(b"0\r\n\r\n")):
                ended = "complete"
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        ended += f" {error!r}"[:40]
    finally:
        if writer is not None:
            writer.transport.abort()
    kind = "deadly" if deadly else "sound"
    case.record(f"client's {kind} request {attempt} at {front}: {status} {ended}")
    return status


async def play(case: Case) -> bool:
    """Send sound requests, and others with a part that crashes replicas."""
    replicas = [CrashingReplica(case, n) for n in range(1, REPLICAS + 1)]
    for replica in replicas:
        await replica.start()
    case.platform.list_entries = lambda: [replica.entry for replica in replicas]
    await case.start([*case.core, *case.edge])
    await asyncio.sleep(3.0)
    if await case.operator.replace(make_config(7), 10.0) != 200:
        raise CannotRun("the first configuration was not acknowledged")
    await asyncio.sleep(5.0)
    end = time.monotonic() + PLAY_S
    async with asyncio.TaskGroup() as group:
        number = 0
        while time.monotonic() < end:
            group.create_task(send(case, case.trouble and number % 10 == 9))
            number += 1
            await asyncio.sleep(0.1)
    reached = sorted(row for replica in replicas for row in replica.reached)
    late = set()
    if len(reached) >= 5:
        fifth_at = reached[4][0]
        late = {attempt for at, attempt in reached if at > fifth_at + CONTACT_S}
    case.record(
        f"{len(reached)} times a request with the deadly part reached a replica"
    )
    case.record(
        f"{len(late)} such requests reached one later than contact_ms after the fifth"
    )
    return len(late) <= 3


if __name__ == "__main__":
    run(__file__, 3, 3, play)
