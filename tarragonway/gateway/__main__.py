"""Entry point of the gateway: ``python -m tarragonway.gateway``."""

from tarragonway.signals import hold_signals

if __name__ == "__main__":
    hold_signals()
    from tarragonway.gateway.daemon import GatewayProcess
    from tarragonway.node.program import run_node

    raise SystemExit(
        run_node(
            "tarragonway-gateway",
            "Accepts callers' requests and forwards them to endpoints.",
            GatewayProcess.from_config,
            ("callers", "readiness"),
        )
    )
