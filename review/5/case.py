"""A configuration whose version needs more than 64 bits ends every leader."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from harness import CannotRun, Case, run
from plain import make_config

# The time of the change to the microsecond, YYYYMMDDhhmmssffffff.
LONG_VERSION = 20261205083000123456
SHORT_VERSION = 20261205083000
SENDING_S = 40.0


async def play(case: Case) -> bool:
    """Send one change with a long version, again and again as an operator does."""
    say, operator = case.record, case.operator
    await case.start(case.core)
    keepers = [asyncio.create_task(m.keep_running()) for m in case.core]
    await asyncio.sleep(3.0)
    if await operator.replace(make_config(7, "safe", 2), 10.0) != 200:
        raise CannotRun("the first configuration was not acknowledged")
    await asyncio.sleep(3.0)

    version = LONG_VERSION if case.trouble else SHORT_VERSION
    say(f"the operator sends version {version} until it has a clear answer")
    status = await operator.replace(make_config(version, "safe", 1), SENDING_S)
    say(f"answer to version {version}: {status}")
    await asyncio.sleep(3.0)
    back = await operator.read(10.0)
    say(f"read back: version {back}")
    for keeper in keepers:
        keeper.cancel()
    ends = sum(machine.own_ends for machine in case.core)
    hit = sum(machine.own_ends > 0 for machine in case.core)
    say(f"processes of the core ended by themselves {ends} times, on {hit} machines")
    clear = status == 200 or 400 <= status < 500
    return ends == 0 and clear


if __name__ == "__main__":
    run(__file__, 3, 0, play)
