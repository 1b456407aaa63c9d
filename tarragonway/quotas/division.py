"""Division of a rate among classes of requests by urgency, with floors.

It addresses an account whose demand exceeds its quota several times over. Route
priority decides first, then size. Floors keep each class from being starved.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

MAX_PRIORITY = 9
# A class is small if its requests have at most this fraction of the mean units of the
# account's requests.
SMALL_FRACTION = 0.25
# Fraction of the rate that small requests get before any priority, as they use few
# units: a call of 200 units does not wait behind prompts of 12,000.
SMALL_SHARE = 0.2
# Least fraction of a class's requests that is served, relative to that of all requests
# of the account. Callers need 0.25; the rest covers errors of the measured demand.
CLASS_FLOOR = 0.3
# Least fraction of a size class that is served, relative to its priority. Callers need
# that the largest tenth of a kind is served half as often as the kind; the rest covers
# the chance with which few large requests are served.
SIZE_FLOOR = 0.85
# Halvings of the interval in which a floor is sought: to 1/128 of the served fraction.
BISECTION_STEPS = 7


class RequestClass(NamedTuple):
    """Route priority, and size class: each covers a factor of 4 in units."""

    priority: int
    size: int


class ClassDemand(msgspec.Struct, frozen=True):
    """Demand of one class, in units and in requests per second."""

    request_class: RequestClass
    units_per_s: float
    requests_per_s: float


class _Group(msgspec.Struct):
    """Classes of one priority that are all small, or all not."""

    is_small: bool
    priority: int
    members: list[ClassDemand]
    units: float = 0.0
    requests: float = 0.0


def classify(priority: int, units: float) -> RequestClass:
    """Return the class of a request.

    Examples
    --------
    >>> [classify(2, units).size for units in (0.0, 1.0, 200.0, 2400.0, 12_000.0)]
    [0, 0, 4, 6, 7]
    """
    size = max(0, math.frexp(units)[1]) // 2
    return RequestClass(max(0, min(MAX_PRIORITY, priority)), size)


def divide(rate: float, demands: Sequence[ClassDemand]) -> dict[RequestClass, float]:
    """Return the fraction of each class's demand that the rate serves.

    Small requests get up to :data:`SMALL_SHARE` of the rate first. Then the priorities
    are served in their order, small requests first. Each class is served at least
    :data:`CLASS_FLOOR` times as often as all requests, and within its priority at least
    :data:`SIZE_FLOOR` times as often as the priority.

    Parameters
    ----------
    rate : float
        Units per second to divide.
    demands : sequence of ClassDemand
        Demand of each class.

    Examples
    --------
    >>> long, short = RequestClass(0, 7), RequestClass(2, 6)
    >>> demands = [ClassDemand(long, 900.0, 1.0), ClassDemand(short, 900.0, 5.0)]
    >>> {key.priority: round(f, 2) for key, f in divide(800.0, demands).items()}
    {0: 0.83, 2: 0.06}
    """
    wanted = sum(demand.units_per_s for demand in demands)
    if wanted <= rate:
        return {demand.request_class: 1.0 for demand in demands}
    groups = _make_groups(demands)
    max_floor = max(0.0, rate) / wanted
    low, high = 0.0, max_floor
    for _ in range(BISECTION_STEPS):
        floor = (low + high) / 2
        if floor < CLASS_FLOOR * _compute_served(groups, _fill(groups, rate, floor)):
            low = floor
        else:
            high = floor
    fractions: dict[RequestClass, float] = {}
    for group, fraction in zip(groups, _fill(groups, rate, high), strict=True):
        _divide_by_size(group, fraction, high, fractions)
    return fractions


def _make_groups(demands: Sequence[ClassDemand]) -> list[_Group]:
    requests = sum(demand.requests_per_s for demand in demands)
    mean_units = sum(demand.units_per_s for demand in demands) / max(requests, 1e-9)
    groups: dict[tuple[int, bool], _Group] = {}
    for demand in demands:
        small_units = SMALL_FRACTION * mean_units * demand.requests_per_s
        is_small = demand.units_per_s <= small_units
        priority = demand.request_class.priority
        group = groups.setdefault(
            (priority, not is_small), _Group(is_small, priority, [])
        )
        group.members.append(demand)
        group.units += demand.units_per_s
        group.requests += demand.requests_per_s
    return [groups[key] for key in sorted(groups)]


def _fill(groups: list[_Group], rate: float, floor: float) -> list[float]:
    """Return the served fraction of each group, at least ``floor``."""
    served = [floor * group.units for group in groups]
    left = max(0.0, rate - sum(served))
    small_left = min(left, SMALL_SHARE * rate)
    for index, group in enumerate(groups):
        if group.is_small:
            added = min(small_left, group.units - served[index])
            served[index] += added
            small_left -= added
            left -= added
    for index, group in enumerate(groups):
        added = min(left, group.units - served[index])
        served[index] += added
        left -= added
    return [
        units / group.units if group.units > 0 else 1.0
        for units, group in zip(served, groups, strict=True)
    ]


def _compute_served(groups: list[_Group], fractions: list[float]) -> float:
    """Return the fraction of all requests that is served."""
    requests = sum(group.requests for group in groups)
    served = sum(g.requests * f for g, f in zip(groups, fractions, strict=True))
    return served / requests if requests > 0 else 1.0


def _divide_by_size(
    group: _Group,
    fraction: float,
    min_floor: float,
    fractions: dict[RequestClass, float],
) -> None:
    """Divide a group's units among its size classes, small before large.

    The largest class gets at least :data:`SIZE_FLOOR` of the fraction of all requests
    of the group, and at least ``min_floor``. The rest is given to the smaller classes
    first.
    """
    members = sorted(group.members, key=lambda each: each.request_class.size)
    low, high = min(min_floor, fraction), fraction
    for _ in range(BISECTION_STEPS if len(members) > 1 else 0):
        floor = (low + high) / 2
        served = _fill_sizes(members, fraction * group.units, floor)
        requests = sum(
            m.requests_per_s * f for m, f in zip(members, served, strict=True)
        )
        if floor * group.requests < SIZE_FLOOR * requests:
            low = floor
        else:
            high = floor
    served = _fill_sizes(members, fraction * group.units, high)
    for member, served_fraction in zip(members, served, strict=True):
        fractions[member.request_class] = served_fraction


def _fill_sizes(
    members: list[ClassDemand], units_per_s: float, floor: float
) -> list[float]:
    """Return the served fraction of each size class, in the order of ``members``."""
    left = max(0.0, units_per_s - floor * sum(m.units_per_s for m in members))
    served: list[float] = []
    for member in members:
        added = min(left, (1.0 - floor) * member.units_per_s)
        left -= added
        share = added / member.units_per_s if member.units_per_s > 0 else 1.0
        served.append(min(1.0, floor + share))
    return served
