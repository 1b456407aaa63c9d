"""BUDGET: a prompt part that crashes replicas after their first event is never held.

Requests with the harmful part come at any gateway, no two alike; sound ones share
their caller and their other parts. A replica that begins to write an answer on the
part writes its head and the first event, and then ends. It is back after two seconds.
``FIRST_EVENT=0`` lets the replicas end before the first event, to compare.
"""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness3"))
import lab as harness

FIRST_EVENT = os.environ.get("FIRST_EVENT", "1") != "0"
HARMFUL = "dd00dd00"
DOWN_S = 2.0
SOUND_PER_S = 12.0
HARMFUL_GAP_S = 0.7
LENGTH_S = 45.0
BUDGET_S = 15.0


def make_headers(number: int, is_harmful: bool) -> dict[str, str]:
    """Return the headers of a request; its last prompt part is its own."""
    parts = ["5c1e07a2:800", f"91bd3f0{number % 4}:410"]
    if is_harmful:
        parts.append(f"{HARMFUL}:90")
    return harness.make_digest_headers([*parts, f"{number + 4096:x}:250"])


async def play(lab: harness.Lab) -> int:
    """Play the case and return its verdict."""
    replicas = await lab.add_replicas("llm", 1, 8)
    crashes: list[float] = []
    reached: list[tuple[float, str, str]] = []

    async def handle(replica, target, headers, body, writer) -> bool:  # type: ignore[no-untyped-def]
        if HARMFUL not in headers.get("tarragonway-prefix-hash", ""):
            return False
        attempt = headers["tarragonway-attempt-id"]
        reached.append((time.monotonic(), replica.id, attempt))
        lab.record.add("harmful", attempt, "reaches", replica.id)
        await asyncio.sleep(replica.first_s)
        sse = {**replica.sign(headers), "Content-Type": "text/event-stream"}
        writer.write(harness.encode_answer(200, sse, chunked=True))
        if FIRST_EVENT:
            replica.write_event(writer, int(headers.get("last-event-id") or "0") + 1)
        await writer.drain()
        await asyncio.sleep(0.02)
        crashes.append(time.monotonic())
        replica.crash(DOWN_S)
        return True

    for replica in replicas:
        replica.count_events = lambda target: 20
        replica.handle = handle
    await lab.start(4)
    await lab.configure(harness.make_digest_configuration())
    await lab.wait_ready()
    answers: list[harness.Answer] = []

    async def ask(gap_s: float, is_harmful: bool, first: int) -> None:
        for number in range(first, first + 100_000):
            lab.spawn(
                lab.ask(
                    f"/s/case-{number}",
                    body=b'{"case": "%d"}' % number,
                    headers=make_headers(number, is_harmful),
                    budget_s=BUDGET_S,
                    answers=answers if not is_harmful else None,
                )
            )
            await asyncio.sleep(gap_s)

    lab.spawn(ask(1 / SOUND_PER_S, False, 1))
    await asyncio.sleep(harness.CONTACT_S)
    if harness.TROUBLE:
        lab.spawn(ask(HARMFUL_GAP_S, True, 500_000))
    await asyncio.sleep(LENGTH_S)
    begun = sum(bool(row.ids) for row in answers) / len(answers)
    lab.record.add(
        "crashes", len(crashes), "sound", len(answers), "begun", round(begun, 3)
    )
    lab.record.add("holds of parts:", lab.count_log("prompt part held"))
    print(f"crashes {len(crashes)}, sound {len(answers)}, begun {begun:.3f}")
    if not harness.TROUBLE:
        return harness.HELD if begun > 0.9 else harness.NOT_RUN
    if len(crashes) < 5:
        return harness.HELD
    end = sorted(crashes)[4] + harness.CONTACT_S
    late = [row for row in reached if row[0] > end]
    lab.record.add("reach replicas later than contact_ms after the fifth:", len(late))
    print("later than contact_ms after the fifth crash:", len(late))
    return harness.BROKEN if len(late) > 3 else harness.HELD


harness.run_case(play, str(pathlib.Path(__file__).resolve().parent))
