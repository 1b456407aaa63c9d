"""Replicated state machine of the control processes, and the view of the others."""

from tarragonway.state.machine import Command, Result, StampedCommand, StateMachine
from tarragonway.state.view import Change, View

__all__ = ["Change", "Command", "Result", "StampedCommand", "StateMachine", "View"]
