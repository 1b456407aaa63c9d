"""Entry point of the coordinator: ``python -m tarragonway.coordinator``."""

from tarragonway.signals import hold_signals

if __name__ == "__main__":
    hold_signals()
    from tarragonway.coordinator.daemon import CoordinatorProcess
    from tarragonway.node.program import run_node

    raise SystemExit(
        run_node(
            "tarragonway-coordinator",
            "Replicates the configuration and carries out the platform's duties.",
            CoordinatorProcess.from_config,
            ("operators",),
        )
    )
