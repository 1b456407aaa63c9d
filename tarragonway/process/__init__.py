"""Common parts of all daemons: start, signals, stop, dumps, operators' interface."""

from tarragonway.process.runner import Daemon, RunOptions, run_daemon

__all__ = ["Daemon", "RunOptions", "run_daemon"]
