"""Outcomes of the sends of a hedged request: which one answers the caller."""

from tarragonway.gateway.attempt import (
    Answered,
    Broken,
    Expired,
    NotContinued,
    Refused,
    SendFailed,
    SendOutcome,
    Streamed,
)
from tarragonway.gateway.final_errors import PROMISING_STATUSES


def is_good(outcome: SendOutcome) -> bool:
    """Return whether an outcome answers the caller, so that no other is awaited.

    Statuses that promise that the request has not run would be false while another send
    may run it.
    """
    match outcome:
        case Streamed():
            return True
        case Answered(head):
            return head.status < 500 and head.status not in PROMISING_STATUSES
        case _:
            return False


def rank_failure(outcome: SendOutcome) -> int:
    """Return the place of a failure: the better it is for the caller, the lower."""
    match outcome:
        case Answered():
            return 0
        case Broken() | NotContinued() | SendFailed(was_sent=True):
            return 1
        case Expired():
            return 2
        case Refused():
            return 3
        case _:
            return 4
