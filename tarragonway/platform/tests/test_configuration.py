import copy

import msgspec
import pytest

from tarragonway.platform.configuration import decode_configuration
from tarragonway.routes import Repeatability, RouteTable
from tarragonway.routes.model import ConfigurationError

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


def test_truncated_text_is_refused():
    with pytest.raises(ConfigurationError):
        decode_configuration(msgspec.json.encode(TEXT)[:-9])
