"""Types of the routing configuration, and its consistency checks."""

import enum

import msgspec

from tarragonway.core.errors import TarragonwayError
from tarragonway.core.ids import AccountId, ServiceName, ZoneName

# Longest text of a configuration.
MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024


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
