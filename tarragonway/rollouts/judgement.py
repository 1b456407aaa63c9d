"""Judgement whether a version is bad, from the counts of both sides on each route.

Load pattern: some responses of a bad version fail or are several times slower, at once
or after many good ones, on all routes or on one. A good version has as many bad
responses as the old one, which may be several in a hundred while endpoints are full.
"""

import math
from collections.abc import Mapping

import msgspec

from tarragonway.rollouts.evidence import RouteSums, sum_versions
from tarragonway.rollouts.messages import RouteCounts, VersionCounts

# Fewer bad responses are no evidence: one broken connection may end several requests.
MIN_BAD_RESPONSES = 5
# Standard deviations of the bounds. A rollout of 60 s makes some thousand comparisons
# (ten a second, five routes, two windows), most of them of the same responses.
NEW_DEVIATIONS = 3.0
# Fewer bad responses and a lower bound are a suspicion, with which no share rises.
MIN_SUSPICIOUS_RESPONSES = 2
SUSPICION_DEVIATIONS = 1.3
# A version of which more than this fraction fails is suspected, whatever the old one
# does: endpoints of both may crash for another reason, and then no comparison shows
# that the version is good. Slow responses are left out, as overload makes many.
MAX_FAILED_FRACTION = 0.1
OLD_DEVIATIONS = 2.0
# The fraction of bad responses may exceed that of the old side by this factor and
# amount, as endpoints differ in speed and their load is not exactly equal.
RATIO_TOLERANCE = 1.5
TOLERANCE = 0.01
# After this many bad responses only a smaller ratio is tolerated: no request may reach
# a bad version a few seconds after its 50th.
MANY_BAD_RESPONSES = 35
MANY_RATIO_TOLERANCE = 1.2
# From this one on, a suspicion suffices: at share 1 it would last while requests at old
# endpoints end, and the 50th bad response is a second away.
LAST_BAD_RESPONSES = 45
# With fewer old responses in a window, those since the order are the reference.
MIN_OLD_RESPONSES = 30
# The old side's responses on all routes count as so many on each route. Without them a
# rare route's reference is so uncertain that half of its responses may fail unnoticed.
COMMON_RESPONSES = 60.0
# Reference without old responses on any route.
DEFAULT_BAD_FRACTION = 0.05
# A response is slow if it takes this many times the old side's geometric mean time.
SLOW_FACTOR = 3.0


class BadVersion(msgspec.Struct, frozen=True):
    """Evidence that a version is bad: the figures that decided.

    ``route`` is "" for all routes together. ``limit`` is the fraction of bad responses
    that was allowed.
    """

    route: str
    window: str
    answers: int
    failures: int
    slow: int
    limit: float


def compute_bounds(
    count: float, total: float, deviations: float
) -> tuple[float, float]:
    """Return the Wilson bounds of a fraction of which a sample is known.

    Examples
    --------
    >>> [round(bound, 3) for bound in compute_bounds(5, 20, 2.6)]
    [0.087, 0.54]
    >>> compute_bounds(0, 0, 2.6)
    (0.0, 1.0)
    """
    if total <= 0:
        return 0.0, 1.0
    fraction = min(1.0, count / total)
    squared = deviations**2
    center = fraction + squared / (2 * total)
    spread = deviations * math.sqrt(
        fraction * (1 - fraction) / total + squared / (4 * total**2)
    )
    scale = 1 + squared / total
    return max(0.0, (center - spread) / scale), min(1.0, (center + spread) / scale)


def compute_slow_ms(totals: RouteSums) -> dict[str, float]:
    """Return the time over which a response counts as slow, for each route.

    Routes with fewer than :data:`MIN_OLD_RESPONSES` of the old side have none yet.
    """
    slow_ms: dict[str, float] = {}
    for route, row in totals.items():
        good = row.old.answers - row.old.failures
        if good >= MIN_OLD_RESPONSES:
            # A time above e^30 ms is a report's error, and would overflow.
            mean = min(30.0, row.old.log_ms / good)
            # Whole numbers are short in messages; a fast route has 1 ms at least.
            slow_ms[route] = max(1, round(SLOW_FACTOR * math.exp(mean)))
    return slow_ms


def find_bad(
    windows: Mapping[str, RouteSums], totals: RouteSums, suspicion: bool = False
) -> BadVersion | None:
    """Return the evidence that a version is bad, None if there is none.

    Parameters
    ----------
    windows : mapping of str to RouteSums
        Counts of both sides in the windows to be judged, by a name for the log.
    totals : RouteSums
        Counts since the order: the reference while the old side has too few responses
        in a window, as at a high share.
    suspicion : bool
        Whether weaker evidence suffices.
    """
    least = MIN_SUSPICIOUS_RESPONSES if suspicion else MIN_BAD_RESPONSES
    deviations = SUSPICION_DEVIATIONS if suspicion else NEW_DEVIATIONS
    all_old = sum_versions(row.old for row in totals.values())
    for name, sums in windows.items():
        bounds = {
            route: _bound_old(row.old, totals.get(route, row).old, all_old)
            for route, row in sums.items()
        }
        judged = [(route, row.new, bounds[route]) for route, row in sums.items()]
        total = sum_versions(row.new for row in sums.values())
        if total.answers:
            # Faults may be too rare on each route, but not on all together.
            weighted = sum(new.answers * bound for _, new, bound in judged)
            judged.append(("", total, weighted / total.answers))
        for route, new, bound in judged:
            limit = _compute_limit(new, bound)
            bad = new.failures + new.slow
            is_last = bad >= LAST_BAD_RESPONSES
            used = SUSPICION_DEVIATIONS if is_last else deviations
            if bad >= least and compute_bounds(bad, new.answers, used)[0] > limit:
                return BadVersion(
                    route, name, new.answers, new.failures, new.slow, round(limit, 4)
                )
            if suspicion and _fails_often(new):
                return BadVersion(
                    route,
                    name,
                    new.answers,
                    new.failures,
                    new.slow,
                    MAX_FAILED_FRACTION,
                )
    return None


def count_bad(sums: Mapping[str, RouteCounts]) -> int:
    """Return the bad responses of the new side on all routes."""
    return sum(row.new.failures + row.new.slow for row in sums.values())


def _fails_often(new: VersionCounts) -> bool:
    lowest, _ = compute_bounds(new.failures, new.answers, SUSPICION_DEVIATIONS)
    return new.failures >= MIN_SUSPICIOUS_RESPONSES and lowest > MAX_FAILED_FRACTION


def _compute_limit(new: VersionCounts, bound: float) -> float:
    if new.failures + new.slow >= MANY_BAD_RESPONSES:
        return min(1.0, MANY_RATIO_TOLERANCE * bound)
    return min(1.0, RATIO_TOLERANCE * bound + TOLERANCE)


def _bound_old(
    recent: VersionCounts, total: VersionCounts, common: VersionCounts
) -> float:
    """Return the upper bound of the old side's fraction of bad responses on a route."""
    if common.answers < MIN_OLD_RESPONSES:
        return DEFAULT_BAD_FRACTION
    old = recent if recent.answers >= MIN_OLD_RESPONSES else total
    fraction = (common.failures + common.slow) / common.answers
    bad = old.failures + old.slow + COMMON_RESPONSES * fraction
    answers = old.answers + COMMON_RESPONSES
    return compute_bounds(bad, answers, OLD_DEVIATIONS)[1]
