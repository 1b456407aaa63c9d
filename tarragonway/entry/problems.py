"""Refusals and outcomes as RFC 9457 problem details."""

import math
from typing import Any

import msgspec
from aiohttp import web

from tarragonway.core.outcomes import Outcome, Refusal, RefusalReason

CONTENT_TYPE = "application/problem+json"

_STATUS = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.BODY_MISMATCH: 422,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.CONFIGURATION_STALE: 503,
    RefusalReason.DEADLINE: 503,
    RefusalReason.FORBIDDEN: 403,
    RefusalReason.IN_PROGRESS: 409,
    RefusalReason.LIMIT: 429,
    RefusalReason.MISSING_KEY: 400,
    RefusalReason.NO_CONTROL: 503,
    RefusalReason.NO_ENDPOINT: 503,
    RefusalReason.NOT_FOUND: 404,
    RefusalReason.QUARANTINED: 422,
    RefusalReason.STOPPING: 503,
    RefusalReason.UNAUTHENTICATED: 401,
}


class Problem(msgspec.Struct, frozen=True):
    """Body of an error response; ``type`` contains the refusal's reason."""

    type: str
    title: str
    status: int
    detail: str
    outcome: Outcome


def make_problem(refusal: Refusal) -> Problem:
    """Return the problem details of a refusal."""
    reason = refusal.reason.value
    return Problem(
        f"urn:tarragonway:problem:{reason}",
        reason.replace("_", " "),
        _STATUS[refusal.reason],
        refusal.detail,
        refusal.outcome,
    )


def make_problem_response(refusal: Refusal) -> web.Response:
    """Return the HTTP response for a refusal."""
    problem = make_problem(refusal)
    headers: dict[str, Any] = {}
    if refusal.retry_after_s > 0:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    if refusal.reason is RefusalReason.UNAUTHENTICATED:
        headers["WWW-Authenticate"] = "Bearer"
    return web.Response(
        body=msgspec.json.encode(problem),
        status=problem.status,
        content_type=CONTENT_TYPE,
        headers=headers,
    )


def make_unknown_response(detail: str) -> web.Response:
    """Return the response for a call that may have run and will not be resent."""
    problem = Problem(
        "urn:tarragonway:problem:unknown",
        "outcome unknown",
        504,
        detail,
        Outcome.UNKNOWN,
    )
    return web.Response(
        body=msgspec.json.encode(problem), status=504, content_type=CONTENT_TYPE
    )
