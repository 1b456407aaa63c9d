"""A client's key is taken away, and a part of its route becomes public."""

import asyncio
import sys

sys.path.insert(0, __file__.rpartition("/review/")[0] + "/review/harness2")

from configuration import KEY, SECOND_KEY, make_configuration, make_route
from replica import Replica
from web import Channel
from world import run_case

CONFIG_APPLY_S = 2.0
REQUESTS = 8
HOST = "ficu95.example"


def make_second_version():
    """Return a version that takes a key away, and adds a public route."""
    configuration = make_configuration(2)
    configuration["routes"].append(
        make_route("open", "/rapu33/mave9/", "safe", public=True, max_attempts=2)
    )
    configuration["tenants"][0]["api_keys"] = [SECOND_KEY]
    return configuration


async def case(world, trouble):
    """Play the case; return the lines that break the rule."""
    replica = Replica(world, 1)
    await replica.start()
    await world.start(make_configuration(1))
    channel = await Channel.open(world.caller_address(1))
    await ask(world, channel, "before")
    if trouble:
        await world.put(make_second_version())
    await asyncio.sleep(2 * CONFIG_APPLY_S)
    await ask(world, channel, "after")
    channel.close()
    leaked = [run for run in replica.runs if any(KEY in v for v in run[3].values())]
    for run in leaked:
        names = [name for name, value in run[3].items() if KEY in value]
        world.record.note(f"{run[1]} reached the replica with the key in {names}")
    if not leaked:
        return []
    return [f"{len(leaked)} of {len(replica.runs)} runs got the client's key itself"]


async def ask(world, channel, name):
    """Send a request and return its answer."""
    for number in range(REQUESTS):
        attempt = f"{name}{number}"
        answer = await channel.ask("GET", f"/rapu33/mave9/{number}", [
            ("Host", HOST), ("Tarragonway-Attempt-Id", attempt),
            ("Tarragonway-Deadline-Ms", "1500"), ("Authorization", f"Bearer {KEY}"),
        ])  # fmt: skip
        status = answer.status if answer else "no answer"
        world.record.note(f"{attempt} is answered {status}")


run_case(__file__.rpartition("/")[0], case, gateways=1)
