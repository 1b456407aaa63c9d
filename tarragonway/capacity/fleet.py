"""Pure plan of a service's endpoints by availability zone and kind.

Reclaimable endpoints carry the load: so many that the rest suffices when one zone's are
taken away. On-demand ones bridge the time in which too few reclaimable ones are to be had.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec

from tarragonway.core.ids import ZoneName
from tarragonway.endpoints.listing import ListedEndpoint
from tarragonway.routes.model import ScalingTraits


class Kind(msgspec.Struct, frozen=True, order=True):
    """Endpoints that are ordered together."""

    zone: ZoneName
    reclaimable: bool


class FleetPolicy(msgspec.Struct, frozen=True):
    """Constants of the plan.

    ``utilization`` is the share of an endpoint's time that the load may take.
    """

    utilization: float = 0.55
    least_ready: int = 3


def count_needed(pressure: float, policy: FleetPolicy) -> int:
    """Return how many endpoints carry ``pressure`` seconds of work a second."""
    return max(policy.least_ready, math.ceil(pressure / policy.utilization))


def plan_fleet(
    traits: ScalingTraits,
    zones: Iterable[ZoneName],
    needed: int,
    ready_reclaimable: Mapping[ZoneName, int],
    unavailable: frozenset[ZoneName],
) -> dict[Kind, int]:
    """Return the wanted number of endpoints of each kind.

    Parameters
    ----------
    traits : ScalingTraits
        Bounds and prices.
    zones : iterable of ZoneName
        Availability zones of the deployment.
    needed : int
        Endpoints that must be left after the loss of a zone's reclaimable ones.
    ready_reclaimable : mapping
        Reclaimable endpoints that serve now and are not leaving, by zone.
    unavailable : frozenset of ZoneName
        Zones that refused reclaimable endpoints just now.

    Examples
    --------
    >>> traits = ScalingTraits(1, 4, 4.0, 0.2, {"a": 0.8, "b": 1.2, "c": 1.0})
    >>> plan = plan_fleet(traits, "abc", 3, {"a": 2, "b": 1, "c": 2}, frozenset())
    >>> [(k.zone, k.reclaimable, n) for k, n in sorted(plan.items()) if n]
    [('a', True, 2), ('b', True, 1), ('c', True, 2)]
    >>> plan = plan_fleet(traits, "abc", 3, {"b": 1}, frozenset("a"))
    >>> plan[Kind("a", False)] + plan[Kind("c", False)]
    2
    """
    ordered = sorted(zones, key=lambda z: traits.zone_prices.get(z, 1.0))
    wanted = _spread_reclaimable(traits, ordered, needed)
    plan = {Kind(zone, True): count for zone, count in wanted.items()}
    missing = needed - sum(ready_reclaimable.values())
    for zone in ordered:
        room = max(0, traits.most - plan[Kind(zone, True)])
        if zone in unavailable:
            room = traits.most
        bridge = max(0, min(missing, room))
        plan[Kind(zone, False)] = bridge
        missing -= bridge
    return plan


def count_kinds(rows: Iterable[ListedEndpoint]) -> dict[Kind, int]:
    """Return how many endpoints of each kind are listed and not leaving."""
    counts: dict[Kind, int] = {}
    for row in rows:
        if not row.leaving:
            kind = Kind(row.zone, row.reclaimable)
            counts[kind] = counts.get(kind, 0) + 1
    return counts


def _spread_reclaimable(
    traits: ScalingTraits, zones: list[ZoneName], needed: int
) -> dict[ZoneName, int]:
    """Return the least numbers of which ``needed`` remain without any one zone."""
    if not traits.reclaimable_price:
        return dict.fromkeys(zones, 0)
    losable = max(1, len(zones) - 1)
    each = min(traits.most, max(1, math.ceil(needed / losable)))
    counts = dict.fromkeys(zones, each)
    for zone in reversed(zones):
        # The dearest zones give up what the others can spare.
        while counts[zone] > max(1, traits.least) and _left(counts, zone) >= needed:
            counts[zone] -= 1
    return counts


def _left(counts: dict[ZoneName, int], zone: ZoneName) -> int:
    """Return what remains with one fewer in ``zone`` after the worst loss."""
    fewer = {**counts, zone: counts[zone] - 1}
    return sum(fewer.values()) - max(fewer.values())
