"""What all daemons share: start, signals, stop, dumps and the operators' interface."""

from tarragonway.process.admin import RevisionBody, check_operator, write_json
from tarragonway.process.runner import Daemon, run_daemon

__all__ = ["Daemon", "RevisionBody", "check_operator", "run_daemon", "write_json"]
