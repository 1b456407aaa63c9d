"""Types of the routing configuration, with the checks that hold for all of it."""

import enum

import msgspec

from tarragonway.core.errors import TarragonwayError
from tarragonway.core.ids import AccountId, ServiceName, ZoneName


class ConfigurationError(TarragonwayError):
    """A configuration that cannot come into force; the text says why."""


class Repeatability(enum.Enum):
    """How often a request may run.

    A ``STREAM`` runs at most once, unless its route lets it resume.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service's weight in a route's traffic."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests for a host and path prefix go, and within which limits.

    ``priority`` 0 is the most urgent. ``latency_objective_s`` counts to the answer, or
    to a stream's first event.
    """

    name: str
    host: str
    prefix: str
    repeatability: Repeatability
    timeout_s: float
    latency_objective_s: float
    priority: int
    max_attempts: int
    shares: tuple[ServiceShare, ...]
    public: bool = False
    prompt_affinity: bool = False
    resumable: bool = False
    pause_limit_s: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.repeatability is Repeatability.SAFE or self.resumable


class EngineTraits(msgspec.Struct, frozen=True):
    """What the model engines of a service can hold at once."""

    slots: int
    cache_tokens: int


class ScalingTraits(msgspec.Struct, frozen=True):
    """Bounds and prices of a service's endpoints, per availability zone.

    ``reclaimable_price`` is a fraction of the on-demand price; 0 if there are none.
    """

    least: int
    most: int
    boot_s: float
    reclaimable_price: float
    zone_prices: dict[ZoneName, float]


class Service(msgspec.Struct, frozen=True):
    """A service; ``max_connections`` is each endpoint's limit, over all callers."""

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: ScalingTraits | None = None


class ChannelLimits(msgspec.Struct, frozen=True):
    """What a caller may send on a connection, and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Account(msgspec.Struct, frozen=True):
    """A client account: its keys, and the units it may use.

    Units are tokens if ``counts_tokens``, else requests; ``per_s`` 0 means no limit.
    ``unsized_units`` is what a request without a size counts.
    """

    id: AccountId
    keys: tuple[str, ...]
    priority: int | None = None
    counts_tokens: bool = False
    unsized_units: float = 1.0
    per_s: float = 0.0
    burst: float = 0.0


class Configuration(msgspec.Struct, frozen=True):
    """A whole configuration; a higher revision replaces it."""

    revision: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: ChannelLimits
    accounts: tuple[Account, ...] | None = None


def check_configuration(configuration: Configuration) -> None:
    """Refuse a configuration that contradicts itself.

    Raises
    ------
    ConfigurationError
        With the first fault found.
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
    if not sum(share.weight for share in route.shares) > 0:
        raise ConfigurationError(f"the weights of route {route.name} add up to 0")
    if not route.timeout_s > 0:
        raise ConfigurationError(f"the timeout of route {route.name} must be over 0")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise ConfigurationError(
            f"the prefix of route {route.name} must begin and end with a slash"
        )
