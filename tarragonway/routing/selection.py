"""Selection of an endpoint by load, prefix affinity and availability zone."""

import random
from collections.abc import Sequence

import msgspec

from tarragonway.core.hashes import rank_by_hash
from tarragonway.core.ids import EndpointId, ZoneName


class Candidate(msgspec.Struct, frozen=True):
    """An endpoint that may receive the request.

    Parameters
    ----------
    expected : float
        Last reported number of requests, plus those that this process has sent and
        minus those that it has seen end since the report.
    slots : int
        Number of requests that the endpoint runs at once.
    speed : float
        Speed relative to the other endpoints: 1.0 is the median, lower is slower.
    ejected : bool
        Whether the endpoint has failed too often recently; it is then used only if all
        others are ejected too.
    """

    id: EndpointId
    zone: ZoneName
    expected: float
    slots: int
    speed: float = 1.0
    ejected: bool = False


class RoutingPolicy(msgspec.Struct, frozen=True):
    """Parameters of the selection.

    Utilization is the expected number of requests divided by the slots and the speed.

    Parameters
    ----------
    choices : int
        Number of endpoints drawn at random, of which the least utilized is selected.
    affinity_bound : float
        Factor by which the utilization of an endpoint that probably has the prefix in
        its cache may exceed the mean.
    zone_penalty : float
        Utilization that is added to the endpoints of other availability zones.
    urgent_overcommit : float
        Factor by which urgent requests may exceed an endpoint's slots.
    """

    choices: int = 3
    affinity_bound: float = 1.25
    zone_penalty: float = 0.05
    urgent_overcommit: float = 1.5


def select_endpoint(
    candidates: Sequence[Candidate],
    prefix: str,
    zone: ZoneName,
    urgent: bool,
    policy: RoutingPolicy,
    source: random.Random,
) -> EndpointId | None:
    """Return the endpoint for a request, or None if no endpoint has a free slot.

    Parameters
    ----------
    candidates : sequence of Candidate
        Endpoints that are not leaving.
    prefix : str
        Hash of the prompt's prefix; empty if the request cannot benefit from a cache.
    zone : ZoneName
        This process's availability zone.
    urgent : bool
        Whether the request may wait in an engine's queue beyond its slots.
    policy : RoutingPolicy
        Parameters of the selection.
    source : random.Random
        Source of the random choices.

    References
    ----------
    Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
    Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", 2018.
    """
    healthy = [c for c in candidates if not c.ejected] or list(candidates)
    factor = policy.urgent_overcommit if urgent else 1.0
    available = [c for c in healthy if c.expected < c.slots * factor]
    if not available:
        return None
    if prefix:
        chosen = _select_by_prefix(available, prefix, policy)
        if chosen is not None:
            return chosen.id
    count = min(policy.choices, len(available))
    sampled = source.sample(available, count)
    return min(sampled, key=lambda c: _compute_cost(c, zone, policy)).id


def _select_by_prefix(
    candidates: list[Candidate], prefix: str, policy: RoutingPolicy
) -> Candidate | None:
    by_id = {candidate.id: candidate for candidate in candidates}
    mean = sum(_compute_utilization(c) for c in candidates) / len(candidates)
    for endpoint_id in rank_by_hash(prefix, list(by_id))[:2]:
        candidate = by_id[EndpointId(endpoint_id)]
        projected_utilization = (candidate.expected + 1) / (
            candidate.slots * candidate.speed
        )
        if projected_utilization <= policy.affinity_bound * (
            mean + 1 / candidate.slots
        ):
            return candidate
    return None


def _compute_utilization(candidate: Candidate) -> float:
    return candidate.expected / (candidate.slots * candidate.speed)


def _compute_cost(candidate: Candidate, zone: ZoneName, policy: RoutingPolicy) -> float:
    # Counting the new request makes an idle slow endpoint cost more than an idle fast
    # one.
    utilization = (candidate.expected + 1) / (candidate.slots * candidate.speed)
    penalty = 0.0 if candidate.zone == zone else policy.zone_penalty
    return utilization + penalty
