"""Whether requests should prefer endpoints to which an idle connection is open.

Load pattern: a service has many more endpoints than one gateway has requests while an
idle connection lives, so that nearly each request opens a new connection. That costs a
round trip, and a slot at the endpoint until the request arrives.
"""

import math
from collections.abc import Callable, Collection, Mapping

import msgspec

from tarragonway.core.ids import ServiceName

# Endpoints for each request within the lifetime of an idle connection, from which on
# most requests would open a new one. The factor of the way back is smaller, so that a
# fluctuating rate does not change the decision often.
MIN_ENDPOINTS_PER_REQUEST = 2.0
HYSTERESIS = 0.7
# Longest time that counts as the lifetime of an idle connection.
MAX_LIFETIME_S = 60.0
# Fraction of the latency objective by which the delay of an endpoint with an open idle
# connection may exceed the least one. That is less than the error of the estimates,
# which the load of a second ago decides, and a new connection costs time too.
REUSE_TOLERANCE_FRACTION = 0.05


class ConnectionSupply(msgspec.Struct, frozen=True):
    """What one gateway has for a service.

    Parameters
    ----------
    endpoints : int
        Number of endpoints.
    requests_per_s : float
        Rate of the gateway's requests.
    lifetime_s : float
        Time in seconds for which an idle connection may be used.
    """

    endpoints: int
    requests_per_s: float
    lifetime_s: float

    def is_short(self, min_endpoints_per_request: float) -> bool:
        """Return whether endpoints are many for the requests in a lifetime.

        Examples
        --------
        >>> ConnectionSupply(36, 4.8, 3.0).is_short(2.0)
        True
        >>> ConnectionSupply(36, 40.0, 3.0).is_short(2.0)
        False
        """
        requests = self.requests_per_s * min(MAX_LIFETIME_S, self.lifetime_s)
        return requests > 0 and self.endpoints > min_endpoints_per_request * requests


class ReuseDecisions:
    """Decides for each service whether open connections are preferred.

    Parameters
    ----------
    log_change : callable
        Called with the service, the new decision and the figures that decided it.

    Examples
    --------
    >>> decisions = ReuseDecisions(lambda service, prefers, supply: print(prefers))
    >>> decisions.decide("s", False, ConnectionSupply(36, 4.8, 3.0))
    True
    True
    >>> decisions.decide("s", False, ConnectionSupply(36, 7.0, 3.0))
    True
    >>> decisions.decide("s", False, ConnectionSupply(36, 20.0, 3.0))
    False
    False
    """

    def __init__(
        self, log_change: Callable[[ServiceName, bool, ConnectionSupply], None]
    ) -> None:
        self._prefers: dict[ServiceName, bool] = {}
        self._log_change = log_change

    def decide(
        self, service: ServiceName, states_slowdowns: bool, supply: ConnectionSupply
    ) -> bool:
        """Return whether requests to the service prefer open connections.

        Parameters
        ----------
        service : ServiceName
            The service.
        states_slowdowns : bool
            Whether its endpoints state slowdowns. Then the load is known to be uneven
            in any case, and equal delays need not be told apart.
        supply : ConnectionSupply
            Figures that decide otherwise.
        """
        before = self._prefers.get(service, False)
        factor = MIN_ENDPOINTS_PER_REQUEST * (HYSTERESIS if before else 1.0)
        prefers = states_slowdowns or supply.is_short(factor)
        if prefers is not before:
            self._prefers[service] = prefers
            self._log_change(service, prefers, supply)
        return prefers


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
