"""Structured logs."""

import enum
import logging
import sys

import structlog


class LogFormat(enum.Enum):
    """Form of the log lines on standard output."""

    CONSOLE = "console"
    JSON = "json"


def configure_logs(form: LogFormat, process: str) -> None:
    """Send structured log lines to standard output, each bound to ``process``."""
    renderer: structlog.types.Processor
    match form:
        case LogFormat.JSON:
            renderer = structlog.processors.JSONRenderer()
        case LogFormat.CONSOLE:
            renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sys.stdout),
    )
    structlog.contextvars.bind_contextvars(process=process)
