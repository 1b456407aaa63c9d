"""What all daemons share: start, signals, stop, dumps and the operators' interface."""

from tarragonway.process.runner import Daemon, RunOptions, run_daemon

__all__ = ["Daemon", "RunOptions", "run_daemon"]
