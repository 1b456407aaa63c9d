"""Console script ``tarragonway-entry``."""

from tarragonway.signals import hold_signals


def main() -> None:
    """Run the program; signals that arrive during its imports wait."""
    hold_signals()
    from tarragonway.entry import daemon

    daemon.main()
