"""Console script ``tarragonway-control``."""

from tarragonway.signals import hold_signals


def main() -> None:
    """Run the program; signals that arrive during its imports wait."""
    hold_signals()
    from tarragonway.control import daemon

    daemon.main()
