"""Entry point of the gateway and coordinator programs.

These programs run on a platform that has its own control plane.
"""

import argparse
import functools
from collections.abc import Callable

from tarragonway.core.logs import LogFormat
from tarragonway.node.settings import NodeSettings, load_node_settings
from tarragonway.process import Daemon, RunOptions, run_daemon

STOP_MARGIN_S = 0.5


def run_node(
    program: str,
    description: str,
    build: Callable[[NodeSettings, argparse.Namespace], Daemon],
    required: tuple[str, ...],
) -> int:
    """Run a gateway or coordinator until it is signalled; return its exit status.

    The program listens on the addresses that ``required`` names.
    """
    load = functools.partial(load_node_settings, required=required)
    return run_daemon(program, description, build, load, _read_options)


def _read_options(settings: NodeSettings) -> RunOptions:
    deadline_s = max(0.5, settings.bounds.grace_s - STOP_MARGIN_S)
    return RunOptions(settings.name, LogFormat.JSON, deadline_s)
