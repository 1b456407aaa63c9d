"""HTTP responses to calls of plain services, from the service or from a claim."""

import msgspec
from aiohttp import web

from tarragonway.claims import Answer, ClaimRecord, ClaimState
from tarragonway.core.outcomes import Outcome, Refusal, RefusalReason
from tarragonway.entry.problems import make_problem_response, make_unknown_response


class CallStatus(msgspec.Struct, frozen=True):
    """Body of the answer to a status query for an idempotency key.

    ``status`` is the service's HTTP status, or 0 if no answer is stored.
    """

    outcome: Outcome
    in_progress: bool
    status: int = 0


def make_answer_response(answer: Answer, replayed: bool = False) -> web.Response:
    """Return a service's answer as an HTTP response.

    Parameters
    ----------
    answer : Answer
        Answer of the service.
    replayed : bool
        Whether the answer comes from a claim's record; the response then carries the
        header ``Idempotent-Replayed``.
    """
    headers = {"X-Outcome": Outcome.DONE.value}
    if answer.content_type:
        headers["Content-Type"] = answer.content_type
    if replayed:
        headers["Idempotent-Replayed"] = "true"
    return web.Response(status=answer.status, body=answer.body, headers=headers)


def make_not_run_response(detail: str) -> web.Response:
    """Return the response for a key whose record shows that the call did not run."""
    refusal = Refusal(RefusalReason.NO_ENDPOINT, detail, 0.0, Outcome.NOT_RUN)
    return make_problem_response(refusal)


def make_record_response(record: ClaimRecord) -> web.Response:
    """Return the response to a resend, from the claim's record."""
    match record.state:
        case ClaimState.DONE if record.answer is not None:
            return make_answer_response(record.answer, replayed=True)
        case ClaimState.DONE:
            detail = "the call has run; its answer is no longer stored"
            refusal = Refusal(RefusalReason.NOT_FOUND, detail, 0.0, Outcome.DONE)
            return make_problem_response(refusal)
        case ClaimState.NOT_RUN:
            return make_not_run_response(
                "the call did not run and never will under this key"
            )
    return make_unknown_response("the call may have run; it will not be sent again")


def describe_record(record: ClaimRecord) -> CallStatus:
    """Return the answer to a status query, from the claim's record."""
    if record.state is ClaimState.CLAIMED:
        return CallStatus(Outcome.UNKNOWN, True)
    status = record.answer.status if record.answer else 0
    return CallStatus(Outcome(record.state.value), False, status)


def make_in_progress_response() -> web.Response:
    """Return the response for a key whose first call is still in progress."""
    detail = "an earlier call with this key is still in progress"
    return make_problem_response(
        Refusal(RefusalReason.IN_PROGRESS, detail, 1.0, Outcome.UNKNOWN)
    )
