"""The replicated state machine: one command in, one result out."""

from tarragonway.state.machine import Command, Result, Stamped, StateMachine
from tarragonway.state.view import Change, View

__all__ = ["Change", "Command", "Result", "Stamped", "StateMachine", "View"]
