"""Decoder of the platform's configuration format."""

from collections.abc import Iterator

import msgspec

from tarragonway.core.compression import DecompressionError, decompress
from tarragonway.core.decoding import UndecodableError, decode_json, drop_deep_values
from tarragonway.core.ids import AccountId, ServiceName, ZoneName
from tarragonway.routes.checks import (
    MAX_REVISION_DIGITS,
    Fault,
    list_faults,
    list_value_faults,
    raise_first,
)
from tarragonway.routes.model import (
    MAX_CONFIGURATION_BYTES,
    Account,
    Configuration,
    ConfigurationError,
    ConnectionLimits,
    EngineTraits,
    Repeatability,
    Route,
    ScalingTraits,
    Service,
    WeightedService,
)

# Larger whole numbers count as this one: each is beyond what can be in use.
MAX_COUNT = 10**15

_REPEATABILITY_BY_KIND = {
    "safe": Repeatability.SAFE,
    "unsafe": Repeatability.UNSAFE,
    "streaming": Repeatability.STREAM,
}


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    timeout_ms: float
    slo_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    split: list[_Split] | None = None
    max_attempts: int = 1
    # Requests of a "public" route need no API key. "sticky" doesn't mean session
    # affinity: it marks routes whose prompts have parts that engines cache, and is
    # decoded to ``prompt_affinity``.
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    itl_target_ms: float | None = None


class _Engine(msgspec.Struct):
    slots: int
    kv_capacity_tokens: int = 0
    # Output tokens in each event of a stream.
    stride: int = 1


class _Scaling(msgspec.Struct):
    min: int
    max: int
    boot_s: float = 0.0
    spot_price: float = 0.0
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/"
    max_conns: int = 0
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Account(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    unit: str = "requests"
    # Units that a request uses if it has no header with its tokens.
    uncached_tokens: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0


class RawConfiguration(msgspec.Struct):
    """The platform's text of a configuration."""

    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Client accounts; without this key, requests need no API key.
    tenants: list[_Account] | None = None


_decoder = msgspec.json.Decoder(RawConfiguration)


def decode_submitted(data: bytes) -> Configuration:
    """Return an operator's new configuration after all checks.

    Raises
    ------
    ConfigurationError
        If the text can't be decoded, is inconsistent, or can't be put into force. The
        message states the first fault.
    """
    raw_configuration = decode_raw(data)
    configuration = _convert(raw_configuration)
    raise_first(_list_submitted_faults(raw_configuration, configuration))
    return configuration


def check_submitted(data: bytes) -> tuple[Configuration, list[Fault]]:
    """Return an operator's new configuration and all its faults.

    Without faults, :func:`decode_submitted` accepts it. Otherwise it raises for the
    first one, and the configuration is not usable.

    Raises
    ------
    ConfigurationError
        If the text can't be decoded.
    """
    raw_configuration = decode_raw(data)
    configuration = _convert(raw_configuration)
    return configuration, list(_list_submitted_faults(raw_configuration, configuration))


def decode_configuration(data: bytes) -> Configuration:
    """Return a configuration that a coordinator of this or an earlier release accepted.

    Earlier releases accepted unknown fields that are nested deeper than any that are
    accepted now. They are left out, so that every process can read the text.

    Raises
    ------
    ConfigurationError
        If the text can't be decoded or is inconsistent.
    """
    raw_configuration = decode_raw(drop_deep_values(data))
    configuration = _convert(raw_configuration)
    raise_first(_list_stored_faults(raw_configuration, configuration))
    return configuration


def decode_raw(data: bytes) -> RawConfiguration:
    """Return a text as it is written, without any check of its values.

    Raises
    ------
    ConfigurationError
        If it is not JSON, or a value is missing or of another type.
    """
    try:
        return decode_json(_decoder, data)
    except UndecodableError as error:
        raise ConfigurationError(f"cannot be read: {error}") from error


def _list_stored_faults(
    raw_configuration: RawConfiguration, configuration: Configuration
) -> Iterator[Fault]:
    for index, route in enumerate(raw_configuration.routes):
        if route.route_kind not in _REPEATABILITY_BY_KIND:
            yield Fault(
                f"route {route.name} has the unknown kind {route.route_kind!r}",
                f"routes[{index}]",
                "route_kind",
                f"state one of {', '.join(_REPEATABILITY_BY_KIND)}",
            )
    yield from list_faults(configuration)


def _list_submitted_faults(
    raw_configuration: RawConfiguration, configuration: Configuration
) -> Iterator[Fault]:
    yield from _list_stored_faults(raw_configuration, configuration)
    if len(str(abs(raw_configuration.version))) > MAX_REVISION_DIGITS:
        remedy = "state a smaller number"
        yield Fault(
            f"version has over {MAX_REVISION_DIGITS} digits; {remedy}",
            "",
            "version",
            remedy,
        )
    for field in ("routes", "services", "limits", "tenants"):
        yield from list_value_faults(field, getattr(raw_configuration, field))


def _convert(raw_configuration: RawConfiguration) -> Configuration:
    accounts = None
    if raw_configuration.tenants is not None:
        accounts = tuple(
            _convert_account(account) for account in raw_configuration.tenants
        )
    return Configuration(
        raw_configuration.version,
        tuple(_convert_route(route) for route in raw_configuration.routes),
        tuple(_convert_service(service) for service in raw_configuration.services),
        ConnectionLimits(
            _clamp_count(raw_configuration.limits.max_header_bytes),
            _clamp_count(raw_configuration.limits.max_body_bytes),
            raw_configuration.limits.header_timeout_ms / 1000,
            raw_configuration.limits.idle_timeout_ms / 1000,
        ),
        accounts,
    )


def _convert_route(route: _Route) -> Route:
    # An unknown kind is a fault that is listed with the others.
    kind = _REPEATABILITY_BY_KIND.get(route.route_kind, Repeatability.UNSAFE)
    if route.split is not None:
        shares = tuple(
            WeightedService(ServiceName(s.service), s.weight) for s in route.split
        )
    else:
        shares = (WeightedService(ServiceName(route.service or ""), 1.0),)
    return Route(
        route.name,
        route.host.lower(),
        route.path_prefix,
        kind,
        route.timeout_ms / 1000,
        route.slo_ms / 1000,
        _clamp_count(route.priority),
        max(1, _clamp_count(route.max_attempts)),
        shares,
        route.public,
        route.sticky,
        route.resumable,
        (route.itl_target_ms or 0) / 1000,
    )


def _convert_service(service: _Service) -> Service:
    engine = scaling = None
    if service.engine is not None:
        engine = EngineTraits(
            _clamp_count(service.engine.slots),
            _clamp_count(service.engine.kv_capacity_tokens),
            max(1, _clamp_count(service.engine.stride)),
        )
    if service.scaling is not None:
        prices = service.scaling.zone_prices.items()
        scaling = ScalingTraits(
            _clamp_count(service.scaling.min),
            _clamp_count(service.scaling.max),
            service.scaling.boot_s,
            service.scaling.spot_price,
            {ZoneName(zone): price for zone, price in prices},
        )
    name = ServiceName(service.name)
    max_connections = _clamp_count(service.max_conns)
    return Service(name, service.health_path, max_connections, engine, scaling)


def _clamp_count(number: int) -> int:
    """Return a number as it can be used; earlier releases accepted any number."""
    return max(0, min(number, MAX_COUNT))


def _convert_account(account: _Account) -> Account:
    return Account(
        AccountId(account.name),
        tuple(account.api_keys),
        account.priority,
        account.unit == "tokens",
        account.uncached_tokens if account.unit == "tokens" else 1.0,
        account.rate_per_s,
        account.burst,
    )


def decode_compressed(data: bytes) -> Configuration:
    """Return the configuration from the compressed text that the log stores.

    Raises
    ------
    ConfigurationError
        If the text can't be decompressed or decoded, or is inconsistent.
    """
    try:
        return decode_configuration(decompress(data, MAX_CONFIGURATION_BYTES))
    except DecompressionError as error:
        raise ConfigurationError(f"cannot be decompressed: {error}") from error
