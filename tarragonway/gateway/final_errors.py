"""Outcomes of sends: failures of endpoints, and error responses without an answer."""

from tarragonway.gateway.attempt import (
    Answered,
    Attempt,
    Broken,
    Expired,
    Limited,
    NotContinued,
    NotEncodable,
    Overloaded,
    Paused,
    Refused,
    SendFailed,
    SendOutcome,
    Shed,
    Unsent,
    VersionGone,
    VersionUnregistered,
)
from tarragonway.gateway.error_responses import DEFAULT_RETRY_AFTER_S, ErrorCause
from tarragonway.gateway.origin_guard import OriginNotFound

# With these, callers are told that a request has not run.
PROMISING_STATUSES = frozenset({408, 421, 429, 503})
# Time in which a leader reads the endpoint list and registers a new version.
VERSION_RETURN_S = 0.5


def choose_error(
    attempt: Attempt, outcome: SendOutcome | None
) -> tuple[ErrorCause, float | None]:
    """Return the cause of an error response, and its Retry-After in seconds."""
    match outcome:
        case OriginNotFound(_, return_s):
            return ErrorCause.VERSION_UNKNOWN, return_s
        case VersionGone():
            return ErrorCause.VERSION_GONE, None
        case _ if not attempt.may_have_run:
            return _choose_refusal(outcome)
        case Expired():
            return ErrorCause.DEADLINE, None
        case _:
            return ErrorCause.ENDPOINT_FAILED, None


def _choose_refusal(outcome: SendOutcome | None) -> tuple[ErrorCause, float | None]:
    """Return the cause and the Retry-After for a request that has not run."""
    match outcome:
        case Overloaded(delay_ms):
            return ErrorCause.OVERLOADED, round(delay_ms / 1000 / 2, 3)
        case Shed(return_s):
            return ErrorCause.OVERLOADED, round(return_s, 3)
        case Limited(return_s):
            wait_s = max(return_s, DEFAULT_RETRY_AFTER_S)
            return ErrorCause.ENDPOINTS_LIMITED, round(wait_s, 3)
        case Paused(return_s):
            wait_s = max(return_s, DEFAULT_RETRY_AFTER_S)
            return ErrorCause.ENDPOINTS_PAUSED, round(wait_s, 3)
        case VersionUnregistered():
            return ErrorCause.VERSION_UNREGISTERED, VERSION_RETURN_S
        case Refused():
            return ErrorCause.ENDPOINTS_FULL, DEFAULT_RETRY_AFTER_S
        case Expired():
            return ErrorCause.DEADLINE_BEFORE_SEND, DEFAULT_RETRY_AFTER_S
        case NotEncodable():
            return ErrorCause.NOT_ENCODABLE, None
        case _:
            return ErrorCause.NO_ENDPOINT, DEFAULT_RETRY_AFTER_S


def choose_handler_error(attempt: Attempt | None) -> tuple[ErrorCause, float | None]:
    """Return the cause, and the Retry-After, if the handling of a request failed."""
    if attempt is not None and attempt.may_have_run:
        return ErrorCause.HANDLER_FAILED_AFTER_SEND, None
    return ErrorCause.HANDLER_FAILED, DEFAULT_RETRY_AFTER_S


def is_false_promise(attempt: Attempt, outcome: Answered) -> bool:
    """Return whether an answer would tell that a request that ran has not run.

    An endpoint's own failure may have such a status. Callers repeat after it even what
    must run at most once. Of a hedged request, the other send may have run.
    """
    may_run_elsewhere = attempt.hedged or not attempt.route.is_repeatable
    return may_run_elsewhere and outcome.head.status in PROMISING_STATUSES


def is_endpoint_failure(outcome: SendOutcome) -> bool:
    """Return whether an outcome counts as a failure of its endpoint."""
    match outcome:
        case Unsent() | SendFailed() | Broken() | NotContinued():
            return True
        case Expired(in_body):
            return in_body
        case _:
            return False
