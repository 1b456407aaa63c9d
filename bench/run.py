"""Runs benchmarks and prints their measurements."""

import argparse
import json
from collections.abc import Callable, Sequence

import msgspec

from bench.admission import measure_admission
from bench.choice import measure_choice
from bench.costs import (
    measure_log,
    measure_messages,
    measure_rollouts,
    measure_state,
    measure_tokens,
)
from bench.decisions import (
    measure_capacity,
    measure_queue,
    measure_retries,
    measure_routing,
    measure_shares,
)
from bench.end_to_end import measure_end_to_end
from bench.hedging import measure_hedging
from bench.idle import measure_idle
from bench.load import measure_load
from bench.measurements import Comparison, Slope, print_measurements

CASES: dict[str, Callable[[int, bool], Sequence[Comparison | Slope]]] = {
    "routing": measure_routing,
    "queue": measure_queue,
    "retries": measure_retries,
    "shares": measure_shares,
    "capacity": measure_capacity,
    "admission": measure_admission,
    "choice": measure_choice,
    "hedging": measure_hedging,
    "state": measure_state,
    "log": measure_log,
    "messages": measure_messages,
    "tokens": measure_tokens,
    "rollouts": measure_rollouts,
    "idle": measure_idle,
    "load": measure_load,
    "path": measure_end_to_end,
}


def main() -> None:
    """Run the selected cases, or all, and print their measurements."""
    parser = argparse.ArgumentParser("bin/bench", description=__doc__)
    parser.add_argument("cases", nargs="*", metavar="CASE", help=", ".join(CASES))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    parser.add_argument(
        "--quick", action="store_true", help="measure less, within a minute"
    )
    arguments = parser.parse_args()
    unknown = set(arguments.cases) - set(CASES)
    if unknown:
        parser.error(f"unknown case {sorted(unknown)[0]!r}")
    measurements: list[Comparison | Slope] = []
    for name in arguments.cases or CASES:
        rows = CASES[name](arguments.seed, arguments.quick)
        measurements += rows
        if not arguments.json:
            print(f"-- {name} (seed {arguments.seed})")
            print_measurements(rows)
    if arguments.json:
        print(json.dumps([msgspec.to_builtins(row) for row in measurements]))


if __name__ == "__main__":
    main()
