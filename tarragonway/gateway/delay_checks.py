"""Whether a request is still served in time after a pause or at a loaded endpoint."""

from tarragonway.gateway.attempt import Attempt, Paused
from tarragonway.gateway.estimates import Choice

# A request is refused at once if the estimated delay until its first event exceeds the
# latency objective by this factor.
OVERLOAD_FACTOR = 1.5
# Fraction of the latency objective within which a request may wait until an endpoint's
# pause ends.
PAUSE_WAIT_FRACTION = 0.5


def may_wait(attempt: Attempt, paused: Paused, now: float) -> bool:
    """Return whether the request is still served in time after a pause.

    Its caller may have no further try.
    """
    ends_at = now + paused.return_s
    objective_s = PAUSE_WAIT_FRACTION * attempt.route.latency_objective_s
    return ends_at < min(attempt.deadline, attempt.request.arrived_s + objective_s)


def is_overloaded(attempt: Attempt, choice: Choice, now: float) -> bool:
    """Return whether the estimated delay is too far above the latency objective.

    A plain service that is sent more than it serves resets further connections. Whether
    a request on one of these has run is unknown, so a caller whose request must not run
    twice could not repeat it. A refusal lets it return.
    """
    if attempt.origin is not None:
        # The latency objective was decided by the first event, and no other version
        # can take the stream; it only has to go on before the caller leaves.
        return choice.delay_ms > (attempt.deadline - now) * 1000
    objective_ms = attempt.route.latency_objective_s * 1000
    if not objective_ms or (attempt.facts.prompt is None and not choice.is_paced):
        return False
    return choice.delay_ms > OVERLOAD_FACTOR * objective_ms
