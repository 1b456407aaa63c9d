"""Division of a service's capacity among ranks and client accounts, with floors.

It addresses a service that is offered more work than its endpoints can do. More urgent
ranks go first; within a rank, accounts get max-min fair shares.
"""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from tarragonway.core.ids import AccountId

# Least admitted fraction of any rank and account, relative to that of all requests of
# the service. Callers need 0.25; the rest covers figures that are a second old.
ADMITTED_FLOOR = 0.3
# Halvings of the interval in which a floor or a fair share is sought.
BISECTION_STEPS = 10


class LoadKey(NamedTuple):
    """Whose requests: rank, priority of the route, and client account.

    The rank is the priority that is sent to endpoints: the account's if it has one,
    else the route's.
    """

    rank: int
    priority: int
    account: AccountId


class OfferedLoad(msgspec.Struct):
    """Work in seconds per second, and requests per second."""

    work: float = 0.0
    requests: float = 0.0


class _RankLoad(msgspec.Struct):
    rows: list[tuple[LoadKey, OfferedLoad]]
    work: float
    requests: float


def admit(
    capacity: float, offered: Sequence[tuple[LoadKey, OfferedLoad]]
) -> dict[LoadKey, float]:
    """Return the fraction of each load that the capacity serves.

    Parameters
    ----------
    capacity : float
        Work that the endpoints can do, in seconds per second.
    offered : sequence of (LoadKey, OfferedLoad)
        Offered loads, with different keys.

    Examples
    --------
    >>> rows = [
    ...     (LoadKey(0, 0, "a"), OfferedLoad(2.0, 2.0)),
    ...     (LoadKey(2, 2, "a"), OfferedLoad(6.0, 2.0)),
    ...     (LoadKey(2, 2, "b"), OfferedLoad(2.0, 2.0)),
    ... ]
    >>> {key[1:]: round(fraction, 1) for key, fraction in admit(6.0, rows).items()}
    {(0, 'a'): 1.0, (2, 'a'): 0.3, (2, 'b'): 1.0}
    """
    ranks = _group_by_rank(offered)
    work = sum(rank.work for rank in ranks)
    if work <= capacity or work <= 0:
        return {key: 1.0 for key, _ in offered}
    requests = max(1e-9, sum(rank.requests for rank in ranks))
    low, high = 0.0, max(0.0, capacity) / work
    for _ in range(BISECTION_STEPS):
        floor = (low + high) / 2
        fractions = _divide(ranks, capacity, floor)
        served = sum(load.requests * fractions[key] for key, load in offered)
        if floor < ADMITTED_FLOOR * served / requests:
            low = floor
        else:
            high = floor
    return _divide(ranks, capacity, high)


def _divide(
    ranks: list[_RankLoad], capacity: float, floor: float
) -> dict[LoadKey, float]:
    """Return the fraction of each load; ranks get the rest above the floor in order."""
    fractions: dict[LoadKey, float] = {}
    left = max(0.0, capacity - floor * sum(rank.work for rank in ranks))
    for rank in ranks:
        added = min(left, (1 - floor) * rank.work)
        left -= added
        _divide_fairly(rank, floor * rank.work + added, floor, fractions)
    return fractions


def _group_by_rank(
    offered: Sequence[tuple[LoadKey, OfferedLoad]],
) -> list[_RankLoad]:
    groups: dict[tuple[int, int], _RankLoad] = {}
    for key, load in offered:
        group = groups.setdefault(key[:2], _RankLoad([], 0.0, 0.0))
        group.rows.append((key, load))
        group.work += load.work
        group.requests += load.requests
    return [groups[key] for key in sorted(groups)]


def _divide_fairly(
    rank: _RankLoad, work: float, floor: float, fractions: dict[LoadKey, float]
) -> None:
    """Divide a rank's work by max-min fairness; each account gets its floor."""
    low, high = 0.0, max(load.work for _, load in rank.rows)
    for _ in range(BISECTION_STEPS if work < rank.work else 0):
        share = (low + high) / 2
        used = sum(
            max(floor * load.work, min(load.work, share)) for _, load in rank.rows
        )
        if used > work:
            high = share
        else:
            low = share
    share = high if work >= rank.work else low
    for key, load in rank.rows:
        part = share / load.work if load.work > 0 else 1.0
        fractions[key] = min(1.0, max(floor, part))
