"""Options of the daemon runner, read from the settings."""

from tarragonway.process.runner import RunOptions
from tarragonway.settings.model import Settings


def read_options(settings: Settings) -> RunOptions:
    """Return the options with which the runner starts and stops the process."""
    cluster = settings.cluster
    return RunOptions(
        settings.process.name, cluster.log_format, cluster.timing.stop_deadline_s
    )
