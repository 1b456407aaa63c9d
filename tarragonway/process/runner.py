"""Start, signal handling and stop of a daemon."""

import argparse
import asyncio
import errno
import os
import pathlib
import signal
import sys
from collections.abc import Callable
from typing import Any, Protocol, TypeVar

import msgspec
import structlog

from tarragonway.consensus.files import DataFolderLockedError
from tarragonway.core.errors import SettingsError, TarragonwayError
from tarragonway.core.logs import LogFormat, configure_logs
from tarragonway.process.loop_errors import LoopErrorLog
from tarragonway.signals import (
    HELD_SIGNALS,
    hold_signals,
    ignore_signals,
    release_signals,
)

SETTINGS_VARIABLE = "TARRAGONWAY_SETTINGS"
EXIT_SETTINGS = 2
EXIT_FAILED = 1
EXIT_STOP_INCOMPLETE = 3
HAND_OVER_TIMEOUT_S = 3.0
# Time for which a start is tried again, and the pause between two tries.
START_TIMEOUT_S = 60.0
START_RETRY_INTERVAL_S = 0.2
PASSING_ERRORS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EDQUOT,
        errno.EFBIG,
        errno.EIO,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENOSPC,
    }
)

_log = structlog.get_logger()


S = TypeVar("S")


class RunOptions(msgspec.Struct, frozen=True):
    """Options of the runner, taken from a process's settings."""

    name: str
    log_format: LogFormat
    stop_deadline_s: float


class Daemon(Protocol):
    """Interface of a process that the runner starts and stops."""

    async def start(self) -> None:
        """Open sockets and start tasks."""
        ...

    async def drain(self) -> None:
        """Refuse new work and return once work in flight has ended."""
        ...

    async def hand_over(self) -> None:
        """Transfer work that was not finished in time to other processes."""
        ...

    async def close(self) -> None:
        """Stop all tasks and close the sockets and files."""
        ...

    def make_dump(self) -> dict[str, Any]:
        """Return the process's state for the state dump."""
        ...

    def reload(self, settings: Any) -> None:
        """Apply changed settings as far as possible without a restart."""
        ...

    @property
    def failure(self) -> asyncio.Future:
        """Future that completes when a task has failed and the process must stop."""
        ...


def run_daemon(
    program: str,
    summary: str,
    build: Callable[[S, argparse.Namespace], Daemon],
    load: Callable[[pathlib.Path], S],
    read_options: Callable[[S], RunOptions],
    check: Callable[[S], None] = lambda settings: None,
    add_arguments: Callable[[argparse.ArgumentParser], None] | None = None,
) -> int:
    """Parse the command line, check the settings, and run until a signal.

    SIGTERM or SIGINT starts a graceful stop; a second one, or the deadline, ends it.
    SIGHUP reads the settings again; SIGUSR1 writes the state dump to standard error.
    Signals that arrive before these handlers are installed are not lost if the program
    has called :func:`~tarragonway.signals.hold_signals`.

    Parameters
    ----------
    program, summary : str
        Name and description of the program in its usage message.
    build : callable
        Returns the process, given its settings and the command line's arguments.
    load : callable
        Reads the settings file; raises SettingsError if it cannot be used.
    read_options : callable
        Returns the runner's options, given the settings.
    check : callable
        Raises SettingsError if the settings do not suit the program.
    add_arguments : callable, optional
        Adds the program's own arguments to the parser.

    Returns
    -------
    int
        0 after a complete stop, 1 after a failure, 2 for unusable settings, 3 if the
        stop was incomplete at the deadline or at the second signal.
    """
    parser = argparse.ArgumentParser(program, description=summary)
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"settings file (TOML); ${SETTINGS_VARIABLE} if not given",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    if add_arguments is not None:
        add_arguments(parser)
    arguments = parser.parse_args()
    if arguments.settings is None:
        parser.error(f"give --settings, or set {SETTINGS_VARIABLE}")
    try:
        settings = load(arguments.settings)
        check(settings)
    except SettingsError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    if arguments.check:
        print(f"{arguments.settings}: settings are usable")
        return 0
    options = read_options(settings)
    configure_logs(options.log_format, options.name)

    def reload(daemon: Daemon) -> None:
        try:
            changed_settings = load(arguments.settings)
            check(changed_settings)
        except SettingsError as error:
            _log.error("changed settings rejected", error=str(error))
            return
        daemon.reload(changed_settings)
        _log.info("settings reloaded")

    try:
        return asyncio.run(
            _run(lambda: build(settings, arguments), options.stop_deadline_s, reload)
        )
    except (TarragonwayError, OSError) as error:
        _log.error("process failed", error=str(error))
        return EXIT_FAILED


async def _run(
    build: Callable[[], Daemon],
    stop_deadline_s: float,
    reload: Callable[[Daemon], None],
) -> int:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(LoopErrorLog().handle)
    signals: asyncio.Queue[int] = asyncio.Queue()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    requests: asyncio.Queue[Callable[[Daemon], None]] = asyncio.Queue()
    loop.add_signal_handler(signal.SIGUSR1, requests.put_nowait, _print_dump)
    loop.add_signal_handler(signal.SIGHUP, requests.put_nowait, reload)
    release_signals()
    try:
        return await _run_until_signal(build, stop_deadline_s, signals, requests)
    finally:
        # A closing loop would restore the signals' default action, which ends the
        # process.
        hold_signals()
        for held in HELD_SIGNALS:
            loop.remove_signal_handler(held)
        ignore_signals()


async def _run_until_signal(
    build: Callable[[], Daemon],
    stop_deadline_s: float,
    signals: asyncio.Queue[int],
    requests: asyncio.Queue[Callable[[Daemon], None]],
) -> int:
    daemon = await _start(build, signals)
    if daemon is None:
        _log.info("stopped before the start was complete")
        return 0
    _log.info("started")
    serving = asyncio.create_task(_serve_requests(requests, daemon))
    first = asyncio.ensure_future(signals.get())
    await asyncio.wait([first, daemon.failure], return_when=asyncio.FIRST_COMPLETED)
    if daemon.failure.done():
        _log.error("task failed", error=repr(daemon.failure.exception()))
        serving.cancel()
        await daemon.close()
        return EXIT_FAILED
    _log.info("stopping")
    code = await _drain(daemon, signals, stop_deadline_s)
    serving.cancel()
    await daemon.close()
    _log.info("stopped", whole=code == 0)
    return code


async def _start(
    build: Callable[[], Daemon], signals: asyncio.Queue[int]
) -> Daemon | None:
    """Build and start the process, again while what it needs is not available yet.

    Returns
    -------
    Daemon or None
        None if a signal has ended the start.

    Raises
    ------
    OSError or DataFolderLockedError
        If the fault does not pass, or has lasted for :data:`START_TIMEOUT_S`.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    while signals.empty():
        daemon = None
        try:
            daemon = build()
            await daemon.start()
            return daemon
        except (OSError, DataFolderLockedError) as error:
            if daemon is not None:
                await daemon.close()
            if not _may_pass(error) or loop.time() - began > START_TIMEOUT_S:
                raise
            _log.warning("start failed; trying again", error=str(error))
            await asyncio.sleep(START_RETRY_INTERVAL_S)
    return None


def _may_pass(error: OSError | DataFolderLockedError) -> bool:
    """Return whether a start may succeed a little later.

    The process before may still be ending, a disk may be full for some time.
    """
    if isinstance(error, DataFolderLockedError):
        return True
    return error.errno in PASSING_ERRORS


async def _serve_requests(
    requests: asyncio.Queue[Callable[[Daemon], None]], daemon: Daemon
) -> None:
    """Carry out what signals ask of the process, those during its start first."""
    while True:
        request = await requests.get()
        try:
            request(daemon)
        except Exception:
            _log.exception("request by a signal failed")


async def _drain(daemon: Daemon, signals: asyncio.Queue, deadline_s: float) -> int:
    drain = asyncio.ensure_future(daemon.drain())
    second = asyncio.ensure_future(signals.get())
    await asyncio.wait(
        [drain, second], timeout=deadline_s, return_when=asyncio.FIRST_COMPLETED
    )
    second.cancel()
    if drain.done():
        drain.result()
        return 0
    drain.cancel()
    _log.warning("graceful stop ended before completion")
    try:
        await asyncio.wait_for(daemon.hand_over(), HAND_OVER_TIMEOUT_S)
    except TimeoutError:
        _log.error("hand-over timed out")
    return EXIT_STOP_INCOMPLETE


def _print_dump(daemon: Daemon) -> None:
    text = msgspec.json.encode(daemon.make_dump()).decode()
    print(text, file=sys.stderr, flush=True)
