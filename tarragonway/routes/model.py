"""Types of the routing configuration, and its consistency checks."""

import enum
import math

import msgspec

from tarragonway.core.errors import TarragonwayError
from tarragonway.core.ids import AccountId, ServiceName, ZoneName

# Longest text of a configuration.
MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024


# Largest number in a configuration, but for its revision.
MAX_NUMBER = 1e30
MAX_REVISION_DIGITS = 100


class ConfigurationError(TarragonwayError):
    """A configuration is invalid; the message states the first fault."""


class Repeatability(enum.Enum):
    """Whether a request may run more than once.

    ``SAFE`` requests may be repeated, ``UNSAFE`` ones run at most once. A ``STREAM``
    runs at most once, unless its route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True):
    """A service's weight in a route's traffic."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Services and limits of the requests for a host and path prefix.

    ``priority`` 0 is the most urgent. ``latency_objective_s`` is measured up to the
    answer, or up to a stream's first event. ``inter_token_objective_s`` is
    the objective for the inter-token latency, 0 if there is none.
    """

    name: str
    host: str
    prefix: str
    repeatability: Repeatability
    timeout_s: float
    latency_objective_s: float
    priority: int
    max_attempts: int
    shares: tuple[WeightedService, ...]
    public: bool = False
    prompt_affinity: bool = False
    resumable: bool = False
    inter_token_objective_s: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run already may be resent."""
        return self.repeatability is Repeatability.SAFE or self.resumable


class EngineTraits(msgspec.Struct, frozen=True):
    """Capacity of each model engine of a service: requests and cached tokens.

    Each event of a stream holds ``tokens_per_event`` output tokens.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int = 1


class ScalingTraits(msgspec.Struct, frozen=True):
    """Bounds and prices of a service's endpoints, per availability zone.

    ``max_endpoints`` bounds the endpoints of both kinds together. The planner does not
    use ``min_endpoints``. ``boot_s`` is the time in seconds until a new endpoint
    serves. ``reclaimable_price`` is a fraction of the on-demand price, 0 if there are
    no reclaimable endpoints.
    """

    min_endpoints: int
    max_endpoints: int
    boot_s: float
    reclaimable_price: float
    zone_prices: dict[ZoneName, float]


class Service(msgspec.Struct, frozen=True):
    """A service; ``max_connections`` bounds all connections to one of its endpoints."""

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: ScalingTraits | None = None


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Sizes and timeouts that are enforced on a caller's connection."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Account(msgspec.Struct, frozen=True):
    """A client account: its API keys and its quota.

    Units are tokens if ``counts_tokens``, else requests; ``per_s`` 0 means no limit.
    ``default_units`` is the number of units that a request without a stated size uses.
    """

    id: AccountId
    keys: tuple[str, ...]
    priority: int | None = None
    counts_tokens: bool = False
    default_units: float = 1.0
    per_s: float = 0.0
    burst: float = 0.0


class Configuration(msgspec.Struct, frozen=True):
    """The whole routing configuration, which a higher revision replaces.

    ``accounts`` is None if requests need no key.
    """

    revision: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: ConnectionLimits
    accounts: tuple[Account, ...] | None = None

    @property
    def has_quotas(self) -> bool:
        """Whether any client account has a quota."""
        return any(account.per_s > 0 for account in self.accounts or ())


def check_submitted(name: str, value: object) -> None:
    """Check that a new configuration's numbers and texts can be put into force.

    Parameters
    ----------
    name : str
        Place of the value in the operator's text.
    value : object
        The decoded value. Structures and lists are checked with all that they hold.

    Raises
    ------
    ConfigurationError
        If a number is negative or over :data:`MAX_NUMBER`, or if a text has control
        characters, which headers cannot carry.

    Examples
    --------
    >>> check_submitted("limits.idle_timeout_ms", 15_000)
    >>> check_submitted("services[0].max_conns", -1)  # doctest: +ELLIPSIS
    Traceback (most recent call last):
        ...
    tarragonway.routes.model.ConfigurationError: services[0].max_conns is -1; state ...
    """
    match value:
        case list():
            for index, item in enumerate(value):
                check_submitted(f"{name}[{index}]", item)
        case dict():
            for key, item in value.items():
                check_submitted(f"{name} (a key)", key)
                check_submitted(f"{name}[{key!r}]", item)
        case msgspec.Struct():
            for field in value.__struct_fields__:
                check_submitted(f"{name}.{field}", getattr(value, field))
        case _:
            _check_scalar(name, value)


def _check_scalar(name: str, value: object) -> None:
    match value:
        case bool():
            return
        case int() | float() if not 0 <= value <= MAX_NUMBER:
            raise ConfigurationError(
                f"{name} is {str(value)[:40]}; state a number from 0 to {MAX_NUMBER}"
            )
        case str() if any(ord(character) < ord(" ") for character in value):
            raise ConfigurationError(
                f"{name} is {value[:40]!r}; remove its control characters"
            )


def check_configuration(configuration: Configuration) -> None:
    """Check that a configuration is consistent.

    Raises
    ------
    ConfigurationError
        If it is not; the message states the first fault.
    """
    names = {service.name for service in configuration.services}
    places: set[tuple[str, str]] = set()
    for route in configuration.routes:
        _check_route(route, names)
        place = (route.host, route.prefix)
        if place in places:
            raise ConfigurationError(f"two routes share {route.host}{route.prefix}")
        places.add(place)
    owners: dict[str, AccountId] = {}
    for account in configuration.accounts or ():
        for key in account.keys:
            if owners.setdefault(key, account.id) != account.id:
                raise ConfigurationError(
                    f"{account.id} and {owners[key]} share a key; give each its own"
                )


def _check_route(route: Route, services: set[ServiceName]) -> None:
    for share in route.shares:
        if share.service not in services:
            raise ConfigurationError(
                f"route {route.name} names the unknown service {share.service}"
            )
        if share.weight < 0:
            raise ConfigurationError(f"route {route.name} has a negative weight")
    if not 0 < sum(share.weight for share in route.shares) < math.inf:
        raise ConfigurationError(
            f"the weights of route {route.name} add up to 0 or infinity"
        )
    if not route.timeout_s > 0:
        raise ConfigurationError(f"the timeout of route {route.name} must be over 0")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise ConfigurationError(
            f"the prefix of route {route.name} must begin and end with a slash"
        )
