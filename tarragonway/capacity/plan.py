"""Plan of least cost that keeps the latency objective after the loss of a zone."""

from collections.abc import Sequence

import msgspec

from tarragonway.core.ids import ZoneName


class Offer(msgspec.Struct, frozen=True):
    """Instances of one kind that a zone offers.

    Each costs ``price`` an hour and serves ``slots`` requests at once. ``available`` is
    the number of starts that are expected to succeed.
    """

    zone: ZoneName
    machine_class: str
    reclaimable: bool
    price: float
    slots: int
    available: int


class Purchase(msgspec.Struct, frozen=True):
    """A number of instances of one offer."""

    offer: Offer
    count: int


class CapacityPolicy(msgspec.Struct, frozen=True):
    """Parameters of the plan.

    ``shrink_fraction`` is the fraction of its cost that a new plan must save before it
    replaces a running plan that still suffices, to avoid flapping.
    """

    shrink_fraction: float = 0.15


def plan_capacity(
    offers: Sequence[Offer],
    needed_slots: int,
    policy: CapacityPolicy,
    running: Sequence[Purchase] = (),
) -> list[Purchase]:
    """Return the cheapest plan that leaves ``needed_slots`` after losing any one zone.

    On-demand instances stay when their zone's reclaimable ones are reclaimed, so the
    loss of a zone counts only its reclaimable slots. For each possible number of lost
    slots, the instances that are cheapest per slot are bought until the remaining slots
    suffice, and the cheapest of these plans is returned. If no plan suffices, the plan
    with the most remaining slots is returned. A sufficient ``running`` plan is returned
    instead, unless the new plan saves enough (see :class:`CapacityPolicy`).

    Examples
    --------
    >>> offers = [Offer(ZoneName(z), "g", True, 1.0, 8, 9) for z in "abc"]
    >>> plan = plan_capacity(offers, 32, CapacityPolicy())
    >>> sorted((p.offer.zone, p.count) for p in plan)
    [('a', 2), ('b', 2), ('c', 2)]
    """
    losses = {0}
    for offer in offers:
        losses |= {offer.slots * n for n in range(1, offer.available + 1)}
    plans = [
        _buy_with_bounded_loss(offers, needed_slots, loss) for loss in sorted(losses)
    ]
    sufficient = [
        plan for plan in plans if count_slots_after_zone_loss(plan) >= needed_slots
    ]
    if not sufficient:
        return max(plans, key=count_slots_after_zone_loss, default=[])
    plan = min(sufficient, key=compute_cost)
    running_suffices = count_slots_after_zone_loss(running) >= needed_slots
    max_cost = compute_cost(running) * (1 - policy.shrink_fraction)
    if running_suffices and compute_cost(plan) > max_cost:
        return list(running)
    return plan


def plan_on_demand(offers: Sequence[Offer], needed_slots: int) -> list[Purchase]:
    """Return the cheapest plan of on-demand instances alone."""
    usable = [offer for offer in offers if not offer.reclaimable]
    return _buy_in_order(sorted(usable, key=lambda o: o.price / o.slots), needed_slots)


def plan_cheapest_zone(offers: Sequence[Offer], needed_slots: int) -> list[Purchase]:
    """Return the cheapest plan, which may not survive the loss of a zone."""
    return _buy_in_order(sorted(offers, key=lambda o: o.price / o.slots), needed_slots)


def compute_cost(plan: Sequence[Purchase]) -> float:
    """Return a plan's price per hour."""
    return sum(item.offer.price * item.count for item in plan)


def count_slots_after_zone_loss(plan: Sequence[Purchase]) -> int:
    """Return the slots left after the worst loss of a zone's reclaimable instances."""
    offers = [item.offer for item in plan]
    return _count_remaining_slots(offers, [item.count for item in plan])


def _count_remaining_slots(offers: Sequence[Offer], counts: Sequence[int]) -> int:
    total = sum(o.slots * c for o, c in zip(offers, counts, strict=True))
    losses: dict[ZoneName, int] = {}
    for offer, count in zip(offers, counts, strict=True):
        if offer.reclaimable:
            losses[offer.zone] = losses.get(offer.zone, 0) + offer.slots * count
    return total - max(losses.values(), default=0)


def _buy_with_bounded_loss(
    offers: Sequence[Offer], needed_slots: int, loss: int
) -> list[Purchase]:
    """Buy the cheapest slots, with at most ``loss`` reclaimable ones in each zone.

    The plan has at least ``needed_slots + loss`` slots if the offers suffice.
    """
    missing_slots = needed_slots + loss
    reclaimable_slots: dict[ZoneName, int] = {}
    plan = []
    for offer in sorted(offers, key=lambda o: o.price / o.slots):
        count = min(offer.available, -(-missing_slots // offer.slots))
        if offer.reclaimable:
            slots_left = loss - reclaimable_slots.get(offer.zone, 0)
            count = min(count, slots_left // offer.slots)
            reclaimable_slots[offer.zone] = (
                reclaimable_slots.get(offer.zone, 0) + count * offer.slots
            )
        if count > 0:
            plan.append(Purchase(offer, count))
            missing_slots -= count * offer.slots
    return plan


def _buy_in_order(offers: Sequence[Offer], needed_slots: int) -> list[Purchase]:
    plan = []
    for offer in offers:
        count = min(offer.available, -(-needed_slots // offer.slots))
        if count > 0:
            plan.append(Purchase(offer, count))
            needed_slots -= count * offer.slots
    return plan
