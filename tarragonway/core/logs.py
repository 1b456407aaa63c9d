"""Configuration of the structured logs."""

import enum
import logging
import os
from typing import Any, TextIO, cast

import msgspec
import structlog

from tarragonway.core.output import BoundedOutput

STANDARD_OUTPUT = 1


class LogFormat(enum.Enum):
    """Format of the log lines on standard output."""

    CONSOLE = "console"
    JSON = "json"


class LibraryLogHandler(logging.Handler):
    """Passes on what libraries log, so that it cannot block on standard error."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record of the standard library's logging as a structured line."""
        structlog.get_logger().log(
            record.levelno,
            "library logged",
            logger=record.name,
            message=record.getMessage(),
            exc_info=record.exc_info,
        )


def configure_logs(log_format: LogFormat, process: str) -> None:
    """Write structured log lines, each with the name ``process``, to standard output.

    Parameters
    ----------
    log_format : LogFormat
        Format of the lines.
    process : str
        Name of the process.
    """
    renderer: structlog.types.Processor
    match log_format:
        case LogFormat.JSON:
            renderer = structlog.processors.JSONRenderer(serializer=_encode)
        case LogFormat.CONSOLE:
            renderer = structlog.dev.ConsoleRenderer(colors=False)
    output = cast(TextIO, BoundedOutput(open_standard_output()))
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(output),
    )
    structlog.contextvars.bind_contextvars(process=process)
    logging.basicConfig(
        handlers=[LibraryLogHandler()], level=logging.WARNING, force=True
    )


def open_standard_output() -> int:
    """Return the descriptor of standard output, or one that drops all if it is closed.

    The number of a closed descriptor would else be given to the next file that the
    process opens, and log lines would go there.
    """
    try:
        os.fstat(STANDARD_OUTPUT)
    except OSError:
        null = os.open(os.devnull, os.O_WRONLY)
        if null != STANDARD_OUTPUT:
            os.dup2(null, STANDARD_OUTPUT)
            os.close(null)
    return STANDARD_OUTPUT


def _encode(line: dict[str, Any], **options: Any) -> str:
    """Return a log line as JSON; values of unsupported types are written by repr."""
    return msgspec.json.encode(line, enc_hook=repr).decode()
