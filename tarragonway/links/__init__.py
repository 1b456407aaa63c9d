"""Connections between processes of a deployment: framed messages and heartbeats."""

from tarragonway.links.link import Link
from tarragonway.links.pool import LinkPool

__all__ = ["Link", "LinkPool"]
