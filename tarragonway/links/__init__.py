"""Connections between the system's processes: framed messages with heartbeats."""

from tarragonway.links.link import Link
from tarragonway.links.switch import Switch

__all__ = ["Link", "Switch"]
