"""Run a coordinator: ``python -m tarragonway.coordinator``."""

from tarragonway.coordinator.daemon import CoordinatorProcess
from tarragonway.node.program import run_node

if __name__ == "__main__":
    raise SystemExit(
        run_node(
            "tarragonway-coordinator",
            "Agrees on the configuration and holds the platform's duties.",
            CoordinatorProcess.from_config,
        )
    )
