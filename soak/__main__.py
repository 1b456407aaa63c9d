"""Runs the soak test: ``python -m soak --seed 1 --seconds 20``."""

import argparse
import asyncio
import contextlib
import pathlib
import random
import sys
import tempfile

from soak.checks import list_violations
from soak.clients import AttemptRecord, Client, Operator
from soak.deployment import Deployment
from soak.faults import FaultInjector

CALLERS = 12
SETTLE_S = 3.0
READ_TRIES = 40
FIRST_PORT = 21000
LAST_PORT = 29000


class SeedResult:
    """Violated guarantees, injected faults and request counts of one seed.

    Parameters
    ----------
    broken : list of str
        Violated guarantees, one line each.
    faults : list of str
        Faults in the order in which they were injected, one line each.
    told : list of AttemptRecord
        What the clients received, one entry for each request.
    """

    def __init__(
        self, broken: list[str], faults: list[str], told: list[AttemptRecord]
    ) -> None:
        self.broken = broken
        self.faults = faults
        self.served = sum(one.status == 200 and one.complete for one in told)
        self.asked = len(told)


async def run_seed(seed: int, seconds: float, folder: pathlib.Path) -> SeedResult:
    """Run a deployment under the faults of one seed and check the guarantees.

    Parameters
    ----------
    seed : int
        Seed of the faults, the endpoints' failures and the operator's choices.
    seconds : float
        How long clients, operator and faults run.
    folder : pathlib.Path
        Receives settings, logs and data folders.

    Raises
    ------
    TimeoutError
        If no coordinator acknowledges the first configuration within 20 s.
    """
    port = random.Random().randrange(FIRST_PORT, LAST_PORT, 10)
    stage = Deployment(folder, port, seed)
    told: list[AttemptRecord] = []
    operator = Operator(stage, seed)
    faults = FaultInjector(stage, seed)
    await stage.start()
    try:
        async with asyncio.timeout(20.0):
            await operator.replace_configuration(0)
        stage.disable_bootstrap()
        callers = [Client(stage, n, told) for n in range(CALLERS)]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        tasks += [asyncio.create_task(work) for work in (operator.run(), faults.run())]
        await asyncio.wait(tasks, timeout=seconds, return_when=asyncio.FIRST_EXCEPTION)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        await faults.end_all()
        await asyncio.sleep(SETTLE_S)
        broken = list_violations(told, stage.ledger, operator)
        broken += await _check_final_read(operator)
        broken += [
            repr(task.exception())
            for task in tasks
            if not task.cancelled() and task.exception()
        ]
    finally:
        await stage.stop()
    return SeedResult(broken, faults.log, told)


async def _check_final_read(operator: Operator) -> list[str]:
    """Return a line for each read of an outdated configuration, or if none succeeds."""
    for _ in range(READ_TRIES):
        version = await operator.read_configuration()
        if version is not None:
            return list(operator.broken)
        await asyncio.sleep(0.25)
    return [
        f"no coordinator returned the configuration in {READ_TRIES} reads at the end"
    ]


def main() -> int:
    """Run the requested seeds; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser("soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="duration of each seed in seconds"
    )
    parser.add_argument(
        "--keep", type=pathlib.Path, help="folder that keeps logs and data"
    )
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        with contextlib.ExitStack() as stack:
            if arguments.keep is None:
                name = stack.enter_context(tempfile.TemporaryDirectory())
                folder = pathlib.Path(name)
            else:
                folder = arguments.keep / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            result = asyncio.run(run_seed(seed, arguments.seconds, folder))
        verdict = "broken" if result.broken else "kept"
        print(
            f"seed {seed}: {verdict}; served {result.served} of {result.asked};"
            f" {len(result.faults)} faults",
            flush=True,
        )
        for line in [*result.broken[:10], *(result.faults if result.broken else [])]:
            print(f"  {line}")
        failed += bool(result.broken)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
