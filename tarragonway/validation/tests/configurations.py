"""Configurations for the tests of findings."""

from msgspec.structs import replace

from tarragonway.routes.model import (
    Account,
    Configuration,
    ConnectionLimits,
    EngineTraits,
    Repeatability,
    Route,
    ScalingTraits,
    Service,
    WeightedService,
)

ROUTE = Route(
    "r", "h", "/a/", Repeatability.SAFE, 3.0, 1.0, 1, 2, (WeightedService("s", 1.0),)
)
SCALING = ScalingTraits(1, 9, 4.0, 0.2, {"a": 1.0, "b": 1.0, "c": 1.0})
SERVICE = Service("s", "/", 9, EngineTraits(4, 0), SCALING)
ACCOUNT = Account("x", ("key-of-account-x",), per_s=5.0, burst=5.0)
CONFIGURATION = Configuration(1, (ROUTE,), (SERVICE,), ConnectionLimits(), (ACCOUNT,))


def change(entry, **values):
    """Return the configuration with other values in one of its entries."""
    lists = {"routes": ROUTE, "services": SERVICE, "accounts": ACCOUNT}
    return replace(CONFIGURATION, **{entry: (replace(lists[entry], **values),)})


def summarize(findings):
    return [(f.severity.value, f.place, f.key) for f in findings]
