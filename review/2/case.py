"""A valid configuration with a high bound of replicas hangs every leader for good."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from harness import CannotRun, Case, run
from model import Replica, make_config

# The highest 32 bit integer, as it is written where no bound is wanted.
HIGH_BOUND, USUAL_BOUND = 2147483647, 8
WAIT_S = 12.0


def make_scaled_config(version: int, bound: int) -> dict[str, object]:
    """Return a valid configuration with a service that may be scaled."""
    config = make_config(version)
    config["services"][0]["scaling"] = {
        "min": 1,
        "max": bound,
        "boot_s": 4.0,
        "spot_price": 0.18,
        "zone_prices": dict(zip(Case.zones, (0.85, 1.2, 1.0), strict=True)),
    }
    return config


async def play(case: Case) -> bool:
    """Send the configuration; then read it back, also after a restart of the core."""
    say, operator = case.record, case.operator
    case.duties.append("scaling")
    replicas = [Replica(case, n, "v1", 40, 0.1) for n in (1, 2, 3)]
    for replica in replicas:
        await replica.start()
    case.platform.entries = [replica.entry for replica in replicas]
    await case.start(case.core)
    await asyncio.sleep(3.0)
    if await operator.replace(make_scaled_config(7, USUAL_BOUND), 10.0) != 200:
        raise CannotRun("the first configuration was not acknowledged")
    await asyncio.sleep(5.0)
    bound = HIGH_BOUND if case.trouble else USUAL_BOUND
    status = await operator.replace(make_scaled_config(9, bound), 10.0)
    say(f"answer to version 9 with a bound of {bound}: {status}")
    if status != 200:
        raise CannotRun("version 9 was not acknowledged")
    await asyncio.sleep(WAIT_S)
    before = await operator.read(15.0)
    say(f"read back after {WAIT_S} s: version {before}")
    say("the operator has all core machines restarted")
    for machine in case.core:
        await machine.terminate()
        await machine.start()
    await asyncio.sleep(WAIT_S)
    after = await operator.read(15.0)
    say(f"read back {WAIT_S} s after the restart: version {after}")
    return before == after == 9


if __name__ == "__main__":
    run(__file__, 3, 0, play)
