"""Entry point of the coordinator: ``python -m tarragonway.coordinator``."""

from tarragonway.coordinator.daemon import CoordinatorProcess
from tarragonway.node.program import run_node

if __name__ == "__main__":
    raise SystemExit(
        run_node(
            "tarragonway-coordinator",
            "Replicates the configuration and carries out the platform's duties.",
            CoordinatorProcess.from_config,
        )
    )
