"""Runs the soak test: ``python -m soak --seed 1 --seconds 20``."""

import argparse
import asyncio
import contextlib
import pathlib
import sys
import tempfile

from soak.checks import list_violations
from soak.clients import AttemptRecord, Client, Operator
from soak.deployment import Deployment, reserve_base_port
from soak.faults import FaultInjector
from soak.rollouts import RolloutOperator

CLIENT_COUNT = 12
RECOVERY_DELAY_S = 3.0
MAX_READ_ATTEMPTS = 40


class SeedResult:
    """Violated guarantees, injected faults and request counts of one seed.

    Parameters
    ----------
    violations : list of str
        Violated guarantees, one line each.
    faults : list of str
        Faults in the order in which they were injected, one line each.
    records : list of AttemptRecord
        What the clients received, one entry for each request.

    Attributes
    ----------
    served : int
        Number of requests with status 200 and a complete response.
    sent : int
        Number of all requests.
    """

    def __init__(
        self, violations: list[str], faults: list[str], records: list[AttemptRecord]
    ) -> None:
        self.violations = violations
        self.faults = faults
        self.served = sum(
            record.status == 200 and record.complete for record in records
        )
        self.sent = len(records)


async def run_seed(seed: int, seconds: float, folder: pathlib.Path) -> SeedResult:
    """Run a deployment under the faults of one seed and check the guarantees.

    The ports do not follow from the seed.

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
    port = reserve_base_port()
    deployment = Deployment(folder, port, seed)
    records: list[AttemptRecord] = []
    operator = Operator(deployment, seed)
    faults = FaultInjector(deployment, seed)
    rollouts = RolloutOperator(deployment, seed)
    await deployment.start()
    try:
        async with asyncio.timeout(20.0):
            await operator.replace_configuration(0)
        deployment.disable_bootstrap()
        clients = [Client(deployment, n, records) for n in range(CLIENT_COUNT)]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        tasks += [
            asyncio.create_task(work)
            for work in (operator.run(), faults.run(), rollouts.run())
        ]
        await asyncio.wait(tasks, timeout=seconds, return_when=asyncio.FIRST_EXCEPTION)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        await faults.end_all()
        await asyncio.sleep(RECOVERY_DELAY_S)
        violations = list_violations(records, deployment.observations, operator)
        violations += rollouts.list_violations()
        violations += await _check_final_read(operator)
        violations += [
            repr(task.exception())
            for task in tasks
            if not task.cancelled() and task.exception()
        ]
    finally:
        await deployment.stop()
    return SeedResult(violations, faults.history + rollouts.history, records)


async def _check_final_read(operator: Operator) -> list[str]:
    """Return a line for each read of an outdated configuration, or if none succeeds."""
    for _ in range(MAX_READ_ATTEMPTS):
        version = await operator.read_configuration()
        if version is not None:
            return list(operator.violations)
        await asyncio.sleep(0.25)
    return [
        f"no coordinator returned the configuration in {MAX_READ_ATTEMPTS} reads"
        " at the end"
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
        verdict = "broken" if result.violations else "kept"
        print(
            f"seed {seed}: {verdict}; served {result.served} of {result.sent};"
            f" {len(result.faults)} faults",
            flush=True,
        )
        for line in [
            *result.violations[:10],
            *(result.faults if result.violations else []),
        ]:
            print(f"  {line}")
        failed += bool(result.violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
