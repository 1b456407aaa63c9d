"""Signals that arrive while a program cannot handle them: at its start and its end."""

# The public module first imports others, which takes longer than the rest of the
# interpreter's start.
import _signal  # type: ignore[import-not-found]

# Their default action ends the process.
HELD_SIGNALS = (_signal.SIGHUP, _signal.SIGTERM, _signal.SIGINT, _signal.SIGUSR1)


def hold_signals() -> None:
    """Let the signals that the programs handle wait until :func:`release_signals`.

    A program calls it before its imports, which take most of its start.
    """
    _signal.pthread_sigmask(_signal.SIG_BLOCK, HELD_SIGNALS)


def release_signals() -> None:
    """Deliver the signals that have waited, once their handlers are installed."""
    _signal.pthread_sigmask(_signal.SIG_UNBLOCK, HELD_SIGNALS)


def ignore_signals() -> None:
    """Ignore these signals from now on, as the program has nothing left to stop.

    The interpreter still needs some time to end, in which their default action would
    look like a crash.
    """
    for number in HELD_SIGNALS:
        _signal.signal(number, _signal.SIG_IGN)
