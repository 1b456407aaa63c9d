"""Records of sends as evidence on the versions of rollouts."""

from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.gateway.attempt import (
    Answered,
    Attempt,
    Broken,
    Expired,
    NotContinued,
    SendFailed,
    SendOutcome,
    Streamed,
    Unsent,
)
from tarragonway.gateway.state import GatewayState
from tarragonway.rollouts.send_counts import SendResult


class RolloutRecords:
    """Records each send of an attempt, with or without a rollout in progress.

    Parameters
    ----------
    state : GatewayState
        Rollouts and endpoints in force.
    """

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    def record_start(self, attempt: Attempt, endpoint: ListedEndpoint) -> None:
        """Record that the attempt is about to be sent to the endpoint."""
        attempt.rollout_send = self._state.rollouts.start_send(
            endpoint, attempt.route.name
        )

    def record_sent(self, attempt: Attempt) -> None:
        """Record that the attempt has been written to its endpoint."""
        if attempt.rollout_send is not None:
            self._state.rollouts.record_sent(attempt.rollout_send)

    def record_first_part(self, attempt: Attempt, taken_ms: float) -> None:
        """Record that the answer has begun ``taken_ms`` after the send."""
        if attempt.rollout_send is not None:
            attempt.rollout_send.first_ms = taken_ms

    def record_end(
        self,
        attempt: Attempt,
        endpoint: ListedEndpoint,
        outcome: SendOutcome | None,
        now: float,
    ) -> None:
        """Record the outcome of the send, None if the caller has left."""
        send, attempt.rollout_send = attempt.rollout_send, None
        if send is None:
            return
        row = self._state.endpoints.rows.get(endpoint.key)
        is_active = row is not None and not row.leaving
        taken_ms = (now - attempt.sent_at) * 1000
        result = classify_outcome(outcome, send.was_sent)
        self._state.rollouts.end_send(send, result, taken_ms, is_active)


def classify_outcome(outcome: SendOutcome | None, was_sent: bool) -> SendResult:
    """Return what an outcome says of the version of its endpoint.

    Parameters
    ----------
    outcome : SendOutcome or None
        Outcome of a send, None if the caller has left.
    was_sent : bool
        Whether the request was written to the endpoint.
    """
    match outcome:
        case None:
            return SendResult.CALLER_LEFT
        case Answered(head):
            return SendResult.FAILED if head.status >= 500 else SendResult.ANSWERED
        case Streamed():
            return SendResult.STREAMED
        case Broken() | NotContinued():
            return SendResult.FAILED
        case Unsent():
            return SendResult.UNREACHED
        case Expired() | SendFailed() if was_sent:
            return SendResult.FAILED
        case _:
            return SendResult.NO_EVIDENCE
