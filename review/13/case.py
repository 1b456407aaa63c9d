"""MIXED: answers that their replicas broke off reach clients as whole ones.

Half of the replicas break off 3 in 100 answers: before the request's body is read, they
write part of an answer without a length, end their side of the channel, and reset it
40 ms later.
"""

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness3"))
import lab as harness

SHARE = 0.5
BROKEN_OFF = 0.03
TROUBLE_S = 5.0
PER_S = 60.0
REQUEST_BYTES = 60_000
ANSWER_BYTES = 800
PAUSE_S = float(os.environ.get("PAUSE_S", "0.04"))
BUDGET_S = 1.5


def make_configuration() -> dict[str, object]:
    """Return a configuration with one safe route and one tenant."""
    route = harness.make_route(
        "lookup", "/l/", "safe", "booking", timeout_ms=1500, slo_ms=200
    )
    service = {
        "name": "booking", "health_path": "/healthz", "max_conns": 110,
        "protocol": "h1", "tls": False,
    }  # fmt: skip
    tenant = {"name": "guides", "api_keys": [harness.KEY]}
    return harness.make_configuration(7, [route], [service], [tenant])


class GarblingReplica(harness.Replica):
    """Replica that breaks off some answers before it has read the request's body."""

    is_garbling = False
    source = random.Random(5)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._channels.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers = dict(
                    line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2]
                )
                attempt = headers["tarragonway-attempt-id"]
                self.runs.append((0.0, attempt))
                if self.is_garbling and self.source.random() < BROKEN_OFF:
                    await self._break_off(attempt, writer)
                    return
                await reader.readexactly(int(headers.get("content-length", "0")))
                await asyncio.sleep(self.work_s)
                signed = self.sign({"tarragonway-attempt-id": attempt})
                body = attempt.encode().ljust(ANSWER_BYTES, b".")
                writer.write(harness.encode_answer(200, signed, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._channels.discard(writer)
            writer.close()

    async def _break_off(self, attempt: str, writer: asyncio.StreamWriter) -> None:
        """Write part of an answer, end this side of the channel, then reset it."""
        self.lab.record.add("breaks off", self.id, attempt)
        self.broken_off.append(attempt)
        signed = self.sign({"tarragonway-attempt-id": attempt})
        lines = ["HTTP/1.1 200 x", *(f"{k}: {v}" for k, v in signed.items())]
        head = "\r\n".join([*lines, "Connection: close", "", ""]).encode()
        part = attempt.encode().ljust(ANSWER_BYTES, b".")[: ANSWER_BYTES // 2]
        writer.write(head + part)
        await writer.drain()
        writer.write_eof()
        await asyncio.sleep(PAUSE_S)
        harness.reset(writer)

    @property
    def broken_off(self) -> list[str]:
        """Attempts whose answers were broken off."""
        return self.__dict__.setdefault("_broken_off", [])


async def play(lab: harness.Lab) -> int:
    """Play the case and return its verdict."""
    for number in range(1, 7):
        address = f"127.0.4.{number}:{lab.base + 5}"
        lab.replicas.append(GarblingReplica(lab, "booking", number, address))
        await lab.replicas[-1].start()
    await lab.start(4)
    await lab.configure(make_configuration())
    await lab.wait_ready()
    answers: list[harness.Answer] = []
    body = b"q" * REQUEST_BYTES

    async def ask_often() -> None:
        for number in range(100_000):
            lab.spawn(
                lab.ask(
                    f"/l/{number}",
                    body=body,
                    headers={"Authorization": f"Bearer {harness.KEY}"},
                    budget_s=BUDGET_S,
                    answers=answers,
                )
            )
            await asyncio.sleep(1 / PER_S)

    asking = lab.spawn(ask_often())
    await asyncio.sleep(harness.CONTACT_S)
    for replica in lab.replicas[: int(len(lab.replicas) * SHARE)]:
        replica.is_garbling = harness.TROUBLE
    await asyncio.sleep(TROUBLE_S)
    for replica in lab.replicas:
        replica.is_garbling = False
    await asyncio.sleep(1.0)
    asking.cancel()
    await asyncio.sleep(BUDGET_S)
    whole = [row for row in answers if row.status == 200 and row.is_complete]
    cut = [row for row in whole if len(row.body) != ANSWER_BYTES]
    broken_off = sum(len(replica.broken_off) for replica in lab.replicas)
    for row in cut:
        lab.record.add("whole for the client, but cut:", row.attempt, len(row.body))
    lab.record.add("answers", len(whole), "broken off", broken_off, "cut", len(cut))
    print(f"answers {len(whole)}, broken off {broken_off}, cut but whole {len(cut)}")
    if len(whole) < 200 or (harness.TROUBLE and not broken_off):
        return harness.NOT_RUN
    return harness.BROKEN if cut else harness.HELD


harness.run_case(play, str(pathlib.Path(__file__).resolve().parent))
