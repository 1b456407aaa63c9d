"""All faults of a configuration, of which a coordinator states the first."""

import copy

import msgspec
import pytest

from tarragonway.platform.configuration import check_submitted, decode_submitted
from tarragonway.platform.tests.test_configuration import FULL_TEXT
from tarragonway.platform.type_faults import list_decoding_faults
from tarragonway.routes.model import ConfigurationError


def encode(change):
    text = copy.deepcopy(FULL_TEXT)
    change(text)
    return msgspec.json.encode(text)


def list_all(data):
    try:
        return check_submitted(data)[1]
    except ConfigurationError as error:
        return list_decoding_faults(data, error)


def break_values(text):
    text["version"] = 10**100
    text["routes"][0].update(route_kind="odd", path_prefix="a", timeout_ms=-5)
    text["routes"][1].update(service="u", host="h\n", priority=-1)
    text["tenants"].append({"name": "y", "api_keys": ["k1"], "burst": 1e31})
    text["services"][0]["scaling"]["zone_prices"] = {"a.b": -1}


def break_types(text):
    text["version"] = "x"
    del text["routes"][0]["host"]
    text["routes"][1].update(timeout_ms="x", split=[{"service": 1}], priority=1.5)
    text["services"][0]["scaling"]["zone_prices"] = {"a": [], "b": 1}
    text["tenants"][0]["priority"] = "x"
    text["limits"] = 3


# Guards against a second fault that shows only once the first is mended.
def test_all_values_at_fault_are_listed():
    faults = list_all(encode(break_values))
    assert [(fault.place, fault.key) for fault in faults] == [
        ("routes[0]", "route_kind"),
        ("routes[0]", "timeout_s"),
        ("routes[0]", "prefix"),
        ("routes[1]", "shares"),
        ("accounts[1]", "keys"),
        ("", "version"),
        ("routes[0]", "timeout_ms"),
        ("routes[1]", "host"),
        ("routes[1]", "priority"),
        ("services[0].scaling", "zone_prices['a.b']"),
        ("tenants[1]", "burst"),
    ]
    assert all(fault.remedy for fault in faults)


def test_all_values_of_a_wrong_type_are_listed():
    faults = list_all(encode(break_types))
    assert [(fault.place, fault.key) for fault in faults] == [
        ("", "version"),
        ("routes[0]", "host"),
        ("routes[1]", "timeout_ms"),
        ("routes[1]", "priority"),
        ("routes[1].split[0]", "service"),
        ("services[0].scaling", "zone_prices['a']"),
        ("", "limits"),
        ("tenants[0]", "priority"),
    ]
    assert all(fault.remedy for fault in faults)


# Guards against a validation and a coordinator that give different reasons.
@pytest.mark.parametrize("change", [break_values, break_types, dict.clear])
def test_coordinator_states_the_first_fault(change):
    data = encode(change)
    with pytest.raises(ConfigurationError) as caught:
        decode_submitted(data)
    assert str(caught.value) == list_all(data)[0].text


# Guards against a fault in a text of many lines that is not to be found.
@pytest.mark.parametrize(
    ("data", "place"),
    [
        (b'{"version": 1,\n "routes": [}', "line 2, column 13"),
        (b'{"version": 1,\n "rou', "line 2, column 6"),
        (b"", "line 1, column 1"),
        (b"\xef\xbb\xbf{}", "line 1, column 1"),
    ],
)
def test_syntax_fault_has_its_position(data, place):
    (fault,) = list_all(data)
    assert fault.place == place
    assert fault.remedy
