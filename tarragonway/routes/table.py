"""Lookup of routes, services and client accounts."""

import random

from tarragonway.core.ids import ServiceName
from tarragonway.routes.model import Account, Configuration, Route, Service


class RouteTable:
    """A configuration indexed for lookups.

    Parameters
    ----------
    configuration : Configuration
        A configuration that has passed the checks.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.services: dict[ServiceName, Service] = {
            service.name: service for service in configuration.services
        }
        self._routes = {(r.host, r.prefix): r for r in configuration.routes}
        self._accounts = {
            key: account
            for account in configuration.accounts or ()
            for key in account.keys
        }

    @property
    def has_accounts(self) -> bool:
        """Whether requests need an API key."""
        return self.configuration.accounts is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of this host with the longest prefix of ``path``."""
        end = len(path)
        while end >= 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def find_account(self, key: str) -> Account | None:
        """Return the client account of an API key, or None."""
        return self._accounts.get(key)


def select_service(route: Route, source: random.Random) -> ServiceName:
    """Return one of the route's services at random, by weight.

    Examples
    --------
    >>> from tarragonway.routes.model import Repeatability, WeightedService
    >>> shares = (WeightedService("a", 0.0), WeightedService("b", 2.0))
    >>> kind = Repeatability.SAFE
    >>> route = Route("r", "h", "/", kind, 1.0, 1.0, 0, 1, shares)
    >>> select_service(route, random.Random(1))
    'b'
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return source.choices(route.shares, weights)[0].service
