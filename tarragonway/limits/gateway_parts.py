"""Parts of shared limits for gateways of unequal load.

Load pattern: the balancer hashes callers and instances are unequal, so that some
gateways get several times the requests of others. With equal parts of a service's
connections and retries, those run out of them while others leave theirs unused.
"""

from collections.abc import Mapping
from typing import TypeVar

# Bounds relative to the equal part. The lower one lets a gateway take a burst before
# its part follows, the upper one bounds what a wrong report takes from the others.
MIN_RELATIVE_PART = 0.5
MAX_RELATIVE_PART = 3.0
# Loads within this factor of the mean count as even: at some requests a second, random
# arrivals alone differ by that much over the time for which rates are averaged.
EVEN_FACTOR = 1.25

Name = TypeVar("Name", bound=str)


def compute_parts(rates: Mapping[Name, float]) -> dict[Name, float]:
    """Return each gateway's part of shared limits, none if their loads are even.

    The sum of the parts is at most 1.

    Parameters
    ----------
    rates : mapping of str to float
        Requests per second of each gateway.

    Examples
    --------
    >>> compute_parts({"g1": 10.0, "g2": 11.0})
    {}
    >>> compute_parts({"g1": 10.0, "g2": 30.0})
    {'g1': 0.25, 'g2': 0.75}
    """
    total = sum(rates.values())
    if total <= 0:
        return {}
    relative = {name: rate * len(rates) / total for name, rate in rates.items()}
    if all(1 / EVEN_FACTOR <= part <= EVEN_FACTOR for part in relative.values()):
        return {}
    extra = {
        name: min(MAX_RELATIVE_PART, max(MIN_RELATIVE_PART, part)) - MIN_RELATIVE_PART
        for name, part in relative.items()
    }
    # Lower parts that are raised to their bound are taken from the parts above it.
    factor = min(1.0, len(rates) * (1 - MIN_RELATIVE_PART) / sum(extra.values()))
    return {
        name: round((MIN_RELATIVE_PART + part * factor) / len(rates), 9)
        for name, part in extra.items()
    }
