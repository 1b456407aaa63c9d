import copy
import math
import random
import zlib

import msgspec
import pytest

from tarragonway.capacity.fleet import EndpointKind, FleetState, plan_fleet
from tarragonway.coordinator.quotas import QuotaBuckets, QuotaPolicy
from tarragonway.exchange import Prompt
from tarragonway.gateway.offered_load import OfferedLoadMeter
from tarragonway.links.messages import QuotaRequest
from tarragonway.platform.configuration import (
    decode_compressed,
    decode_configuration,
    decode_submitted,
)
from tarragonway.routes import Repeatability, RouteTable
from tarragonway.routes.model import ConfigurationError
from tarragonway.routes.table import select_service
from tarragonway.routing.engine_speed import EngineSpeeds

TEXT = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "H.example",
            "path_prefix": "/a/",
            "route_kind": "streaming",
            "timeout_ms": 3000,
            "slo_ms": 1500,
            "priority": 1,
            "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
            "max_attempts": 2,
            "resumable": True,
            "itl_target_ms": 800,
        },
        {
            "name": "r2",
            "host": "h.example",
            "path_prefix": "/a/b/",
            "route_kind": "unsafe",
            "timeout_ms": 1000,
            "service": "t",
        },
    ],
    "services": [{"name": "s", "max_conns": 3}, {"name": "t"}],
    "tenants": [{"name": "x", "api_keys": ["k1"], "unit": "tokens", "rate_per_s": 5}],
}


HUGE_WEIGHTS = [
    {"service": "s", "weight": 1e308},
    {"service": "t", "weight": 1e308},
]


def decode(change=lambda text: None):
    text = copy.deepcopy(TEXT)
    change(text)
    return decode_configuration(msgspec.json.encode(text))


def test_configuration_is_decoded():
    configuration = decode()
    route = configuration.routes[0]
    assert configuration.revision == 7
    assert route.repeatability is Repeatability.STREAM
    assert (route.timeout_s, route.inter_token_objective_s) == (3.0, 0.8)
    assert configuration.accounts[0].counts_tokens


def test_longest_prefix_of_the_host_wins():
    table = RouteTable(decode())
    assert table.find_route("h.example", "/a/b/c").name == "r2"
    assert table.find_route("h.example", "/a/c").name == "r1"
    assert table.find_route("h.example", "/a") is None
    assert table.find_route("other", "/a/") is None


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (lambda t: t["routes"][1].update(service="u"), "unknown service"),
        (lambda t: t["routes"][1].update(path_prefix="/a/"), "share"),
        (lambda t: t["routes"][0].update(split=[]), "add up to 0"),
        (lambda t: t["routes"][1].update(timeout_ms=0), "timeout"),
        (lambda t: t["routes"][1].update(route_kind="odd"), "unknown kind"),
        (lambda t: t.pop("services"), "cannot be read"),
        (
            lambda t: t["tenants"].append({"name": "y", "api_keys": ["k1"]}),
            "share a key",
        ),
    ],
)
def test_inconsistent_configurations_are_refused(change, reason):
    with pytest.raises(ConfigurationError, match=reason):
        decode(change)


# Guards against configurations that are acknowledged and cannot be in force: their
# numbers overflow, or their texts would end a header.
@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (lambda t: t["services"][0].update(max_conns=-1), "max_conns is -1; state"),
        (lambda t: t["routes"][0].update(slo_ms=10**31), "slo_ms is 1"),
        (lambda t: t["routes"][0].update(priority=10**31), "priority is 1"),
        (lambda t: t.update(version=10**100), "version has over 100 digits"),
        (lambda t: t["services"][0].update(health_path="/a\r\nb: c"), "health_path is"),
        (lambda t: t["tenants"][0].update(name="x\ny"), "control characters"),
        (lambda t: t["routes"][0].update(split=HUGE_WEIGHTS), "infinity"),
    ],
)
def test_what_cannot_be_in_force_is_refused_with_its_place(change, reason):
    text = copy.deepcopy(TEXT)
    change(text)
    with pytest.raises(ConfigurationError, match=reason):
        decode_submitted(msgspec.json.encode(text))


def list_numbers(value, path=()):
    """Yield the paths of all numbers in a text."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, item in items:
        if isinstance(item, dict | list):
            yield from list_numbers(item, (*path, key))
        elif isinstance(item, int | float) and not isinstance(item, bool):
            yield (*path, key)


def replace_number(text, path, number):
    *parents, last = path
    for key in parents:
        text = text[key]
    text[last] = number


FULL_TEXT = copy.deepcopy(TEXT)
FULL_TEXT["limits"] = {
    "max_header_bytes": 1,
    "max_body_bytes": 1,
    "header_timeout_ms": 1,
    "idle_timeout_ms": 1,
}
FULL_TEXT["services"][0].update(
    engine={"slots": 4, "kv_capacity_tokens": 9, "stride": 5},
    scaling={
        "min": 1,
        "max": 4,
        "boot_s": 4.0,
        "spot_price": 0.2,
        "zone_prices": {"a": 1.0, "b": 1.2},
    },
)
FULL_TEXT["tenants"][0].update(priority=1, uncached_tokens=9, burst=9)


# Guards against a number, which an earlier release has accepted, that raises in a
# process which takes the configuration from the log.
@pytest.mark.parametrize("path", list(list_numbers(FULL_TEXT)))
@pytest.mark.parametrize("number", [2**31 - 1, 10**25, 10**300, -(10**25)])
def test_accepted_numbers_can_be_used(path, number):
    text = copy.deepcopy(FULL_TEXT)
    replace_number(text, path, number)
    try:
        configuration = decode_configuration(msgspec.json.encode(text))
    except ConfigurationError:
        return
    table = RouteTable(configuration)
    route = table.find_route("h.example", "/a/c")
    select_service(route, random.Random(1))
    service = table.services["s"]
    counts = {EndpointKind("a", True): 2}
    plan = plan_fleet(service.scaling, "ab", 10**9, FleetState(counts, counts))
    assert all(count >= 0 for count in plan.values())
    OfferedLoadMeter(EngineSpeeds()).add("s", Prompt(9, 9), service.engine.slots)
    accounts = {account.id: account for account in configuration.accounts}
    buckets = QuotaBuckets(QuotaPolicy(8.0, 0.1, 140_000.0))
    for now in (0.0, 0.5, 9.0):
        reply = buckets.handle_request(QuotaRequest(1, "x", 900.0), accounts, now)
        assert math.isfinite(reply.wait_s)
    table.services["s"].max_connections / 200


def test_truncated_text_is_refused():
    with pytest.raises(ConfigurationError):
        decode_configuration(msgspec.json.encode(TEXT)[:-9])


# Guards against a stored text that only processes with enough of their stack can read.
@pytest.mark.parametrize("frames", [0, 300, 700])
def test_stored_text_is_read_from_any_stack(frames):
    body = msgspec.json.encode(TEXT)[:-1] + b',"x":' + b"[" * 979 + b"]" * 979 + b"}"

    def decode_below(frames):
        if frames:
            return decode_below(frames - 1)
        return decode_compressed(zlib.compress(body))

    assert decode_below(frames) == decode()
