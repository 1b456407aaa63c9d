"""Error responses to requests that no endpoint has answered."""

from tarragonway.gateway.attempt import (
    Attempt,
    Expired,
    Limited,
    Overloaded,
    Paused,
    Refused,
    SendOutcome,
    VersionGone,
    VersionUnregistered,
)
from tarragonway.gateway.error_responses import DEFAULT_RETRY_AFTER_S, ErrorCause
from tarragonway.gateway.origin_guard import OriginNotFound

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
        case _:
            return ErrorCause.NO_ENDPOINT, DEFAULT_RETRY_AFTER_S
