"""Connections between processes of a deployment: framed messages and heartbeats."""

from tarragonway.links.link import Link
from tarragonway.links.switch import Switch

__all__ = ["Link", "Switch"]
