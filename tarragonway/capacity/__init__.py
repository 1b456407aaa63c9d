"""Planning of how many instances to run, in which zones and of which kind."""

from tarragonway.capacity.plan import (
    CapacityPolicy,
    Offer,
    Purchase,
    plan_capacity,
    plan_cheapest_zone,
    plan_on_demand,
)

__all__ = [
    "CapacityPolicy",
    "Offer",
    "Purchase",
    "plan_capacity",
    "plan_cheapest_zone",
    "plan_on_demand",
]
