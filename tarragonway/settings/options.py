"""What the runner of daemons reads from the settings."""

from tarragonway.process.runner import RunOptions
from tarragonway.settings.model import Settings


def read_options(settings: Settings) -> RunOptions:
    """Return the runner's options."""
    cluster = settings.cluster
    return RunOptions(
        settings.process.name, cluster.log_format, cluster.timing.stop_deadline_s
    )
