"""Need of endpoints without the load of refused requests that come back.

Load pattern: while no endpoint is left, nearly all requests are refused and come back,
and each of them counts again as offered load.
"""

import msgspec

from tarragonway.core.ids import ServiceName

# Endpoints that use at most 0.8 of their time confirm a rise by a factor of 1.25 until
# they are full. With this factor, a burst of 2.5 times is planned for at once; a higher
# one is followed as soon as further endpoints confirm it.
MAX_UNCONFIRMED_RISE = 2.0
# Time for which a load that endpoints took confirms a need. Endpoints that are lost in
# a wave of reclaims are replaced within this time.
CONFIRMATION_S = 20.0


class _Confirmation(msgspec.Struct, frozen=True):
    at: float
    load: float


def estimate_demand(offered: float, refused: float) -> float:
    """Return the load without the returns of refused requests.

    A caller retries at most once, so if the fraction ``f`` of all requests is refused,
    ``f`` returns come for each request. Without returns this is too low while requests
    are refused; it is exact again when none are, since the endpoints that it adds end
    the refusals.

    Parameters
    ----------
    offered, refused : float
        Load of all requests, and of those that no endpoint got.

    Examples
    --------
    >>> [estimate_demand(offered, refused) for offered, refused in ((6, 0), (8, 8))]
    [6.0, 4.0]
    """
    if offered <= 0:
        return 0.0
    return offered / (1 + min(1.0, refused / offered))


class ConfirmedLoads:
    """Bounds the demand for each service by what its endpoints have taken.

    Examples
    --------
    >>> loads = ConfirmedLoads()
    >>> loads.limit("s", offered=10.0, refused=0.0, now=0.0)
    10.0
    >>> loads.limit("s", offered=60.0, refused=60.0, now=3.0)
    20.0
    """

    def __init__(self) -> None:
        self._confirmed: dict[ServiceName, _Confirmation] = {}

    def clear(self) -> None:
        """Remove all loads; called while this process is not the leader."""
        self._confirmed.clear()

    def limit(
        self, service: ServiceName, offered: float, refused: float, now: float
    ) -> float:
        """Return the load to plan for, in endpoint-seconds per second.

        Without any load that endpoints took recently, the demand is not bounded.

        Parameters
        ----------
        service : ServiceName
            The service.
        offered, refused : float
            Load of all requests, and of those that no endpoint got.
        now : float
            The event loop's time in seconds.
        """
        taken = max(0.0, offered - refused)
        last = self._confirmed.get(service)
        is_outdated = last is None or now - last.at >= CONFIRMATION_S
        if taken > 0 and (last is None or is_outdated or taken >= last.load):
            last = self._confirmed[service] = _Confirmation(now, taken)
            is_outdated = False
        demand = estimate_demand(offered, refused)
        if last is None or is_outdated:
            return demand
        return min(demand, max(taken, last.load * MAX_UNCONFIRMED_RISE))
