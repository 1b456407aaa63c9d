"""Authenticated messages between the system's own processes."""

from tarragonway.transport.mailbox import Delivery, Mailbox

__all__ = ["Delivery", "Mailbox"]
