"""Pure choice among endpoints by load, prefix affinity and zone."""

import random
from collections.abc import Sequence

import msgspec

from tarragonway.core.hashes import rank_by_hash
from tarragonway.core.ids import EndpointId, ZoneName


class Candidate(msgspec.Struct, frozen=True):
    """An endpoint that may receive the request.

    ``expected`` is the last reported number of requests, corrected by what this
    process has sent and finished since; ``slots`` is how many run at once.
    ``speed`` is its pace relative to the others' (1.0 is usual, less is slower).
    ``ejected`` endpoints have failed lately and are used only if nothing else is left.
    """

    id: EndpointId
    zone: ZoneName
    expected: float
    slots: int
    speed: float = 1.0
    ejected: bool = False


class RoutingPolicy(msgspec.Struct, frozen=True):
    """Constants of the choice.

    ``affinity_bound`` is how far over the mean fill the endpoint with the cached
    prefix may be; ``zone_penalty`` is the fill that another zone must be emptier by.
    """

    choices: int = 3
    affinity_bound: float = 1.25
    zone_penalty: float = 0.05
    urgent_overcommit: float = 1.5


def choose_endpoint(
    candidates: Sequence[Candidate],
    prefix: str,
    zone: ZoneName,
    urgent: bool,
    policy: RoutingPolicy,
    source: random.Random,
) -> EndpointId | None:
    """Return the endpoint for a request, or None if all are full.

    Parameters
    ----------
    candidates : sequence of Candidate
        Endpoints that are not leaving.
    prefix : str
        Hash of the prompt's prefix; empty if there is nothing to gain from a cache.
    zone : ZoneName
        This process's availability zone.
    urgent : bool
        Whether the request may use the engines' queues beyond their slots.
    policy : RoutingPolicy
        Constants.
    source : random.Random
        Source of the random choices.

    References
    ----------
    Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
    Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", 2018.
    """
    healthy = [c for c in candidates if not c.ejected] or list(candidates)
    factor = policy.urgent_overcommit if urgent else 1.0
    open_ones = [c for c in healthy if c.expected < c.slots * factor]
    if not open_ones:
        return None
    if prefix:
        chosen = _choose_by_prefix(open_ones, prefix, policy)
        if chosen is not None:
            return chosen.id
    count = min(policy.choices, len(open_ones))
    drawn = source.sample(open_ones, count)
    return min(drawn, key=lambda c: _compute_cost(c, zone, policy)).id


def _choose_by_prefix(
    candidates: list[Candidate], prefix: str, policy: RoutingPolicy
) -> Candidate | None:
    by_id = {candidate.id: candidate for candidate in candidates}
    mean = sum(_compute_fill(c) for c in candidates) / len(candidates)
    for endpoint_id in rank_by_hash(prefix, list(by_id))[:2]:
        candidate = by_id[EndpointId(endpoint_id)]
        room = (candidate.expected + 1) / (candidate.slots * candidate.speed)
        if room <= policy.affinity_bound * (mean + 1 / candidate.slots):
            return candidate
    return None


def _compute_fill(candidate: Candidate) -> float:
    return candidate.expected / (candidate.slots * candidate.speed)


def _compute_cost(candidate: Candidate, zone: ZoneName, policy: RoutingPolicy) -> float:
    # An idle slow endpoint still costs more than an idle fast one.
    fill = (candidate.expected + 1) / (candidate.slots * candidate.speed)
    penalty = 0.0 if candidate.zone == zone else policy.zone_penalty
    return fill + penalty
