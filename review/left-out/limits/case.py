"""The limit of bodies is raised; channels opened before still have the old one."""

import asyncio
import sys

sys.path.insert(0, __file__.rpartition("/review/")[0] + "/review/harness2")

from configuration import KEY, make_configuration
from replica import Replica
from web import Channel
from world import run_case

CONFIG_APPLY_S = 2.0
CHANNELS = 20
OLD_BODY_BYTES, NEW_BODY_BYTES = 65_536, 4_194_304
SMALL_BODY, LARGE_BODY = b"x" * 600, b"x" * 72_000


def make_version(version, body_bytes):
    """Return a configuration with this limit of bodies."""
    configuration = make_configuration(version)
    configuration["limits"]["max_body_bytes"] = body_bytes
    return configuration


async def ask(world, channel, attempt, body):
    """Send one request on a kept channel; return the status, None without one."""
    headers = [
        ("Host", "ficu95.example"),
        ("Tarragonway-Attempt-Id", attempt),
        ("Tarragonway-Deadline-Ms", "1500"),
        ("Authorization", f"Bearer {KEY}"),
    ]
    answer = await channel.ask("POST", f"/pule252/{attempt}", headers, body)
    status = answer.status if answer else None
    world.record.note(f"{attempt} with {len(body)} bytes: {status}")
    return status


async def case(world, trouble):
    """Play the case; return the lines that break the rule."""
    replica = Replica(world, 1)
    await replica.start()
    first = make_version(1, OLD_BODY_BYTES if trouble else NEW_BODY_BYTES)
    await world.start(first)
    channels = [await Channel.open(world.caller_address(1)) for _ in range(CHANNELS)]
    for number, channel in enumerate(channels):
        await ask(world, channel, f"before{number}", SMALL_BODY)
    if trouble:
        await world.put(make_version(2, NEW_BODY_BYTES))
    await asyncio.sleep(2 * CONFIG_APPLY_S)
    statuses = [
        await ask(world, channel, f"after{number}", LARGE_BODY)
        for number, channel in enumerate(channels)
    ]
    for channel in channels:
        channel.close()
    denied = [s for s in statuses if s is not None and 300 <= s < 500]
    denied = [s for s in denied if s not in (408, 421, 429)]
    if len(denied) > 5 + 2 * CHANNELS / 500:
        return [f"{len(denied)} proper requests were ended with {sorted(set(denied))}"]
    return []


run_case(__file__.rpartition("/")[0], case, gateways=1)
