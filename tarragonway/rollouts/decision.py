"""Decision on a rollout: the next share of the new version, or its end.

Load pattern: one order with a deadline of 12 to 60 s, of which the platform takes about
4 s to start the new endpoints and the streams at old endpoints take some seconds to
end. A bad version may get a tenth of the requests, so most of the time that is left
goes into a small share, and the last steps are short.

The decision is a pure function of the sums of all gateways' counts, the times and the
endpoints. The leader keeps only its present share between two decisions; a new leader
takes it from the reports.
"""

import enum
import math
from collections.abc import Mapping

import msgspec

from tarragonway.rollouts.evidence import EMPTY, RouteSums
from tarragonway.rollouts.judgement import BadVersion, find_bad
from tarragonway.rollouts.messages import RouteCounts

# Part of the deadline that is left for old streams to end once the share is 1: at a
# deadline of 12 s, 3 s for the streams, and the rest for reports and the log.
TAIL_FRACTION = 0.4
MAX_TAIL_S = 10.0
# Part of that time that remains after a wait for more endpoints of the version.
WAITING_TAIL_PART = 0.75
# The canary share is not held for longer, however late the deadline is.
MAX_CANARY_S = 120.0
# A version whose endpoints come late is still observed for this long.
MIN_CANARY_S = 1.5
# Share of the step between the canary share and 1, and its duration in seconds. In it,
# the responses of two reports of each gateway arrive.
MIDDLE_SHARE = 0.3
STEP_S = 0.7
MAX_CANARY_SHARE = 0.5
# The same for a route with few requests: at 8 a second, half of those in 3 s are too
# few to find a version of which half of the responses on this route are bad.
MAX_RARE_ROUTE_SHARE = 0.8
# Time in seconds until a judgement takes effect at all gateways: a report interval, a
# decision and a reply, and the responses that judge.
REACTION_S = 0.75
# Parts of the allowed exposure that are planned with. The rest is for requests that are
# not reported yet and for bursts.
SHARE_PART = 0.9
SLACK_PART = 0.5
# At least this part of the allowed exposure goes to the canary share. A fault that
# begins within it is caught in time. One that begins at share 1 is not at 300 requests
# a second, however small the canary share was.
CANARY_PART = 0.7
# Each route needs so many responses before the share rises, or this fraction of what
# the route sends if it has few requests.
MIN_ROUTE_ANSWERS = 6
MIN_ANSWERED_FRACTION = 0.25
# At a low rate, single routes need no response; of all requests, the version must have
# answered this fraction.
MIN_NEW_FRACTION = 0.1
# Requests that a rarely used route is to send to the new version: enough for the
# evidence, as some take seconds.
WANTED_ROUTE_REQUESTS = 16
# Requests in addition to these that a route sends while the version is suspected there.
SUSPECTED_ROUTE_REQUESTS = 2 * WANTED_ROUTE_REQUESTS
# All routes together need so many responses, or this fraction of the requests since the
# canary began if they are few. Of a version that fails 4 in 10, 15 responses have fewer
# than MIN_SUSPICIOUS_RESPONSES failures in one of 200 cases.
MIN_ANSWERS = 15
MIN_ANSWERS_FRACTION = 0.2
# Each step needs so many responses since it began, or those of its fraction.
MIN_STEP_ANSWERS = 10
# Rates below this are not measured well in two seconds.
MIN_RATE_PER_S = 10.0
# New endpoints that are fewer than this fraction of the old ones cannot take all
# requests; the share waits for the others while the deadline allows.
ENOUGH_ENDPOINTS = 0.8
# A canary share within this factor of the present one does not replace it.
MIN_CHANGE = 0.8
FULL = 1.0
# Window of all counts since requests could be sent to the new version.
WHOLE_WINDOW = "all"
SUSPECTED = "the version is suspected"


class RolloutPolicy(msgspec.Struct, frozen=True):
    """Bounds of the deployment: see ``exposure_share`` and ``exposure_slack``."""

    exposure_share: float
    exposure_slack: float


class RolloutEndpoints(msgspec.Struct, frozen=True):
    """Numbers of usable endpoints of a service, by side.

    ``moves_nothing`` means that no other version than the ordered one is in service.
    """

    old: int
    new: int
    moves_nothing: bool = False


class Situation(msgspec.Struct, frozen=True):
    """What a decision on one rollout is made from.

    ``time_s`` and ``deadline_s`` are seconds since the order, and ``canary_began_s`` is
    when a request could first be sent to the new version. ``share`` is the
    present share, since ``share_age_s`` seconds; ``at_step`` are the sums at that time.
    The window :data:`WHOLE_WINDOW` has the counts since the canary began.
    ``totals`` are the sums since the order, ``windows`` those that are judged, and
    ``rates`` the requests per second of each route. ``may_raise`` is whether the
    gateways have had time to report to this leader, and ``has_gateways`` whether any
    reports now.
    """

    time_s: float
    deadline_s: float
    endpoints: RolloutEndpoints
    totals: RouteSums
    windows: Mapping[str, RouteSums]
    rates: Mapping[str, float]
    canary_began_s: float | None = None
    share: float = 0.0
    share_age_s: float = 0.0
    at_step: RouteSums = {}
    may_raise: bool = True
    has_gateways: bool = True


class Verdict(enum.Enum):
    """Whether a rollout goes on; ``READY`` may complete when old requests end."""

    CONTINUE = "continue"
    READY = "ready"
    ROLL_BACK = "roll_back"


class Decision(msgspec.Struct, frozen=True):
    """The next share, and the reason and figures that decided."""

    verdict: Verdict
    share: float
    reason: str
    endpoint_fraction: float = 1.0
    route_shares: dict[str, float] = {}
    evidence: BadVersion | None = None


def decide(situation: Situation, policy: RolloutPolicy) -> Decision:
    """Return the decision on a rollout in progress.

    Examples
    --------
    >>> endpoints = RolloutEndpoints(old=4, new=0)
    >>> waiting = Situation(3.0, 12.0, endpoints, {}, {}, {})
    >>> decide(waiting, RolloutPolicy(0.1, 50.0)).reason
    'no endpoint of the version is usable'
    >>> late = Situation(12.0, 12.0, endpoints, {}, {}, {})
    >>> decide(late, RolloutPolicy(0.1, 50.0)).verdict
    <Verdict.ROLL_BACK: 'roll_back'>
    """
    bad = find_bad(situation.windows, situation.totals)
    if bad is not None:
        return Decision(Verdict.ROLL_BACK, 0.0, "the version is bad", evidence=bad)
    share, reason = _choose_share(situation, policy)
    is_late = situation.time_s >= situation.deadline_s
    if share < FULL and is_late and situation.may_raise:
        return Decision(Verdict.ROLL_BACK, 0.0, f"the deadline has passed: {reason}")
    if share >= FULL:
        if _is_suspected(situation):
            # A completed rollout cannot be rolled back, so more responses decide first.
            return Decision(Verdict.CONTINUE, FULL, SUSPECTED)
        return Decision(Verdict.READY, FULL, reason)
    if not situation.may_raise:
        # Each gateway keeps its share, which this leader may not know yet.
        return Decision(Verdict.CONTINUE, share, reason)
    return Decision(
        Verdict.CONTINUE,
        share,
        reason,
        _compute_endpoint_fraction(share, situation.endpoints),
        _boost_rare_routes(share, situation),
    )


def compute_allowed_exposure(situation: Situation, policy: RolloutPolicy) -> float:
    """Return the number of requests to the new version that are planned with."""
    left_s = max(0.0, situation.deadline_s - situation.time_s)
    sent = sum(row.old.sent + row.new.sent for row in situation.totals.values())
    expected = sent + sum(situation.rates.values()) * left_s
    return (
        SHARE_PART * policy.exposure_share * expected
        + SLACK_PART * policy.exposure_slack
    )


def count_exposed(situation: Situation) -> int:
    """Return the number of requests that gateways have sent to the new version."""
    return sum(row.new.sent for row in situation.totals.values())


def _choose_share(situation: Situation, policy: RolloutPolicy) -> tuple[float, str]:
    """Return the next share and the reason for it."""
    share, endpoints = situation.share, situation.endpoints
    if not situation.may_raise:
        return share, "reports of gateways are awaited"
    if not situation.has_gateways:
        return 0.0, "no gateway reports"
    if endpoints.new <= 0:
        return 0.0, "no endpoint of the version is usable"
    if share >= FULL:
        return FULL, "requests at old endpoints are ending"
    if endpoints.moves_nothing:
        return FULL, "no other version is in service"
    if situation.time_s >= situation.deadline_s:
        return share, _find_missing_evidence(situation) or "evidence came too late"
    return _choose_step(situation, policy)


def _choose_step(situation: Situation, policy: RolloutPolicy) -> tuple[float, str]:
    """Return the canary share, or one of the steps after it."""
    share, full_at_s = situation.share, _plan_full_share(situation)
    canary_share = _compute_canary_share(situation, policy, full_at_s)
    if situation.time_s < full_at_s - STEP_S:
        return canary_share, "canary"
    missing = _find_missing_evidence(situation)
    rate = sum(situation.rates.values())
    if share < MIDDLE_SHARE:
        # A version that was suspected in the middle step has used up its exposure.
        spent = _plan_canary_exposure(situation, policy)
        spent += rate * MIDDLE_SHARE * 2 * STEP_S
        missing = missing or _find_missing_endpoints(situation)
        if not missing and count_exposed(situation) >= max(spent, MIN_STEP_ANSWERS):
            missing = "the allowed exposure is used up"
        return (canary_share, missing) if missing else (MIDDLE_SHARE, "middle step")
    if situation.share_age_s < STEP_S:
        return share, "the step is observed"
    missing = missing or _find_missing_at_step(situation)
    missing = missing or _find_missing_endpoints(situation)
    if not missing:
        return FULL, "every step has evidence"
    exposed = count_exposed(situation) + rate * share * REACTION_S
    if exposed > compute_allowed_exposure(situation, policy):
        return canary_share, missing
    return share, missing


def _plan_full_share(situation: Situation) -> float:
    """Return the time since the order, in seconds, at which the share is to reach 1."""
    planned_s = situation.deadline_s - _compute_tail(situation.deadline_s)
    began_s = situation.canary_began_s
    if began_s is None:
        began_s = situation.time_s
    earliest_s = began_s + MIN_CANARY_S + STEP_S
    return max(earliest_s, min(planned_s, began_s + MAX_CANARY_S))


def _compute_tail(deadline_s: float) -> float:
    return min(MAX_TAIL_S, TAIL_FRACTION * deadline_s)


def _compute_canary_share(
    situation: Situation, policy: RolloutPolicy, full_at_s: float
) -> float:
    """Return the share that spreads the canary's exposure over the rest of its time."""
    rate = max(MIN_RATE_PER_S, sum(situation.rates.values()))
    planned = _plan_canary_exposure(situation, policy)
    # Requests that gateways have sent and not reported yet are part of the exposure.
    sent = count_exposed(situation) + rate * situation.share * REACTION_S / 2
    left_s = max(REACTION_S, full_at_s - STEP_S - situation.time_s)
    share = min(MAX_CANARY_SHARE, max(0.0, planned - sent) / (rate * left_s))
    if MIN_CHANGE * situation.share <= share <= situation.share / MIN_CHANGE:
        return situation.share
    return math.floor(1000 * share) / 1000


def _plan_canary_exposure(situation: Situation, policy: RolloutPolicy) -> float:
    """Return how many requests the canary share may send to the new version.

    What the later steps need until a bad judgement would take effect is set aside.
    """
    allowed = compute_allowed_exposure(situation, policy)
    rate = max(MIN_RATE_PER_S, sum(situation.rates.values()))
    reserved = rate * (MIDDLE_SHARE * STEP_S + FULL * REACTION_S)
    return max(allowed - reserved, CANARY_PART * allowed)


def _find_missing_evidence(situation: Situation) -> str:
    """Return why the share may not rise, or "" if every route has enough evidence."""
    if _is_suspected(situation):
        return SUSPECTED
    if _lacks_answers(situation):
        return "responses are missing"
    for route, row in situation.totals.items():
        share = max(situation.share, 0.01)
        has_rate = situation.rates.get(route, 0.0) * share * MIN_CANARY_S >= 1
        if not row.new.sent and has_rate:
            return f"route {route} has sent no request to the version"
        needed = math.ceil(MIN_ANSWERED_FRACTION * row.new.sent)
        if row.new.answers < min(MIN_ROUTE_ANSWERS, needed):
            return f"route {route} lacks responses"
    rows = situation.windows.get("all", situation.totals).values()
    sent = sum(row.old.sent + row.new.sent for row in rows)
    answers = sum(row.new.answers for row in situation.totals.values())
    if answers < min(MIN_ANSWERS, math.ceil(MIN_ANSWERS_FRACTION * sent)):
        return "the version has few responses"
    return ""


def _lacks_answers(situation: Situation) -> bool:
    """Return whether requests arrive, but hardly any was answered by the version."""
    rows = situation.windows.get(WHOLE_WINDOW, {}).values()
    answers = sum(row.new.answers for row in rows)
    sent = sum(row.old.sent + row.new.sent for row in rows)
    return answers < min(MIN_ROUTE_ANSWERS, math.ceil(MIN_NEW_FRACTION * sent))


def _is_suspected(situation: Situation) -> bool:
    return find_bad(situation.windows, situation.totals, suspicion=True) is not None


def _find_missing_at_step(situation: Situation) -> str:
    """Return what the step before share 1 lacks, or ""."""
    answers = sent = 0
    for route, row in situation.totals.items():
        before = situation.at_step.get(route, EMPTY).new
        answers += row.new.answers - before.answers
        sent += row.new.sent - before.sent
    if answers < min(MIN_STEP_ANSWERS, math.ceil(MIN_ANSWERED_FRACTION * sent)):
        return "responses since the step are missing"
    return ""


def _find_missing_endpoints(situation: Situation) -> str:
    """Return "" if the new endpoints can take all requests or need not be awaited."""
    endpoints, tail_s = situation.endpoints, _compute_tail(situation.deadline_s)
    is_early = situation.time_s < situation.deadline_s - WAITING_TAIL_PART * tail_s
    if is_early and endpoints.new < ENOUGH_ENDPOINTS * endpoints.old:
        return "more endpoints of the version are awaited"
    return ""


def _compute_endpoint_fraction(share: float, endpoints: RolloutEndpoints) -> float:
    """Return the fraction of new endpoints that have the load of an old one each.

    Examples
    --------
    >>> _compute_endpoint_fraction(0.1, RolloutEndpoints(old=36, new=36))
    0.1
    >>> _compute_endpoint_fraction(0.1, RolloutEndpoints(old=3, new=3))
    0.3333
    """
    if endpoints.new <= 0:
        return 1.0
    # The old endpoints carry the rest of the load, so each has less than before.
    old_per_new = endpoints.old / endpoints.new
    return round(min(1.0, max(share * old_per_new, 1 / endpoints.new)), 4)


def _boost_rare_routes(share: float, situation: Situation) -> dict[str, float]:
    """Return the shares of routes that would get too little evidence otherwise."""
    if share <= 0 or situation.canary_began_s is None:
        return {}
    full_at_s = _plan_full_share(situation)
    # The responses must have arrived when the canary ends.
    left_s = max(STEP_S, full_at_s - STEP_S - MIN_CANARY_S - situation.time_s)
    suspected = find_bad(situation.windows, situation.totals, suspicion=True)
    shares = {}
    for route, rate in situation.rates.items():
        row: RouteCounts = situation.totals.get(route, EMPTY)
        wanted = WANTED_ROUTE_REQUESTS - row.new.sent
        if suspected is not None and suspected.route == route:
            wanted += SUSPECTED_ROUTE_REQUESTS
        if wanted > 0 and wanted > share * rate * left_s and rate > 0:
            raised = min(MAX_RARE_ROUTE_SHARE, wanted / (rate * left_s))
            if raised > share:
                shares[route] = round(raised, 2)
    return shares
