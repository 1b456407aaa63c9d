"""Settings of the processes, read from TOML and checked before anything starts."""

from tarragonway.settings.load import Settings, load_settings
from tarragonway.settings.model import (
    Address,
    ClusterSettings,
    Peer,
    ProcessSettings,
    Timing,
)

__all__ = [
    "Address",
    "ClusterSettings",
    "Peer",
    "ProcessSettings",
    "Settings",
    "Timing",
    "load_settings",
]
