"""Selection of the endpoints of a large service that one entry process uses."""

from collections.abc import Sequence

from tarragonway.core.hashes import rank_by_hash
from tarragonway.core.ids import EndpointId, ProcessName
from tarragonway.endpoints import Endpoint

MAX_SUBSET_SIZE = 24


def select_subset(
    own: ProcessName, endpoints: Sequence[Endpoint], size: int = MAX_SUBSET_SIZE
) -> list[Endpoint]:
    """Return up to ``size`` endpoints, spread evenly over their availability zones.

    Rendezvous hashing keeps the subset stable: adding or removing one endpoint changes
    at most one member of it.

    Examples
    --------
    >>> rows = [Endpoint(f"e{n}", "s", "ab"[n % 2], "http://x") for n in range(10)]
    >>> sorted(e.zone for e in select_subset("entry-1", rows, 4))
    ['a', 'a', 'b', 'b']
    """
    if len(endpoints) <= size:
        return list(endpoints)
    by_id = {endpoint.id: endpoint for endpoint in endpoints}
    ranked = [by_id[EndpointId(name)] for name in rank_by_hash(own, list(by_id))]
    zones = sorted({endpoint.zone for endpoint in endpoints})
    ranked_by_zone = [[e for e in ranked if e.zone == zone] for zone in zones]
    chosen: list[Endpoint] = []
    position = 0
    while len(chosen) < size:
        row = [
            ranked_in_zone[position]
            for ranked_in_zone in ranked_by_zone
            if position < len(ranked_in_zone)
        ]
        chosen += row[: size - len(chosen)]
        position += 1
    return chosen
