"""Outcomes of requests and calls, as values."""

import enum

import msgspec


class Outcome(enum.Enum):
    """What a caller may rely on about a request.

    ``DONE`` states that the request has run; ``REFUSED`` that this attempt was not
    accepted; ``NOT_RUN`` that the request did not run and never will under its key;
    ``UNKNOWN`` that it may have run and will not be resent.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    REFUSED = "refused"


class RefusalReason(enum.Enum):
    """Why a request was refused before acceptance."""

    BAD_REQUEST = "bad_request"
    BODY_MISMATCH = "body_mismatch"
    BODY_TOO_LARGE = "body_too_large"
    CONFIGURATION_STALE = "configuration_stale"
    DEADLINE = "deadline"
    FORBIDDEN = "forbidden"
    IN_PROGRESS = "in_progress"
    LIMIT = "limit"
    MISSING_KEY = "missing_key"
    NO_CONTROL = "no_control"
    NO_ENDPOINT = "no_endpoint"
    NOT_FOUND = "not_found"
    QUARANTINED = "quarantined"
    STOPPING = "stopping"
    UNAUTHENTICATED = "unauthenticated"


class Refusal(msgspec.Struct, frozen=True, tag=True):
    """Sentinel for a request that was not accepted.

    Parameters
    ----------
    reason : RefusalReason
        Machine-readable reason.
    detail : str
        Explanation for the caller, as a sentence.
    retry_after_s : float
        Seconds after which the caller may retry; 0 if a retry cannot succeed.
    outcome : Outcome
        Outcome to report. ``REFUSED`` states that this attempt was not accepted, and
        nothing about earlier attempts under the same key; ``NOT_RUN`` requires a record
        that shows it.

    Examples
    --------
    >>> Refusal(RefusalReason.LIMIT, "plan limit reached", 2.0).outcome
    <Outcome.REFUSED: 'refused'>
    """

    reason: RefusalReason
    detail: str
    retry_after_s: float = 0.0
    outcome: Outcome = Outcome.REFUSED
