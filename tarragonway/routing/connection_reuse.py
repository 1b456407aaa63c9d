"""Preference for endpoints to which an idle connection is open.

Load pattern: a service has many more endpoints than one gateway has requests while an
idle connection lives, so that nearly each request opens a new connection. That costs a
round trip, and a slot at the endpoint until the request arrives.
"""

import math
from collections.abc import Collection, Mapping

# Fraction of the latency objective by which the delay of an endpoint with an open idle
# connection may exceed the least one. That is less than the error of the estimates,
# which the load of a second ago decides, and a new connection costs time too.
REUSE_TOLERANCE_FRACTION = 0.05


def find_connected(
    delays_ms: Mapping[str, float],
    connected: Collection[str],
    warm: Collection[str],
    objective_ms: float,
) -> str | None:
    """Return the first connected endpoint whose delay is near the least one, or None.

    Parameters
    ----------
    delays_ms : mapping of str to float
        Estimated delay in milliseconds by endpoint; not empty.
    connected : collection of str
        Endpoints with an idle connection, in order of preference.
    warm : collection of str
        Endpoints that probably have the prompt cached. If one of them is the best, no
        other is returned.
    objective_ms : float
        Latency objective of the request in milliseconds.

    Examples
    --------
    >>> delays_ms = {"e1": 40.0, "e2": 90.0, "e3": 60.0}
    >>> find_connected(delays_ms, ["e7", "e2", "e3"], (), 630.0)
    'e3'
    >>> find_connected(delays_ms, ["e7", "e2", "e3"], ["e1"], 630.0)
    """
    if not connected:
        return None
    best = min(delays_ms, key=delays_ms.__getitem__)
    limit_ms = delays_ms[best] + REUSE_TOLERANCE_FRACTION * objective_ms
    needs_warm = best in warm
    for key in connected:
        if delays_ms.get(key, math.inf) <= limit_ms and (key in warm or not needs_warm):
            return key
    return None
