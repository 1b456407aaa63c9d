"""Replicated state machine, and the view of it that entry processes keep."""

from tarragonway.state.machine import Command, Result, StampedCommand, StateMachine
from tarragonway.state.view import Change, View

__all__ = ["Change", "Command", "Result", "StampedCommand", "StateMachine", "View"]
