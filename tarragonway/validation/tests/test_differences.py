import pytest
from msgspec.structs import replace

from tarragonway.routes.model import WeightedService
from tarragonway.validation import list_differences
from tarragonway.validation.tests.configurations import (
    ACCOUNT,
    CONFIGURATION,
    ROUTE,
    SCALING,
    SERVICE,
    change,
)

HALF = (WeightedService("s", 1.0), WeightedService("t", 1.0))


def compare(new, in_force=CONFIGURATION):
    new = replace(new, revision=in_force.revision + 1)
    return [(f.place, f.key, f.text) for f in list_differences(new, in_force)]


def test_version_in_force_differs_in_nothing():
    assert not list(list_differences(CONFIGURATION, CONFIGURATION))
    assert not compare(CONFIGURATION)


# Guards against a change that an operator does not notice before it is in force.
@pytest.mark.parametrize(
    ("new", "place", "key", "text"),
    [
        (change("routes", prefix="/b/"), "routes[0]", "prefix", "from h/a/ to h/b/"),
        (change("routes", host="g"), "routes[0]", "host", "from h/a/ to g/a/"),
        (change("routes", shares=HALF), "routes[0]", "shares", "s 1 -> s 0.5 + t 0.5"),
        (change("routes", timeout_s=2.0), "routes[0]", "timeout_s", "3 -> 2"),
        (
            change("routes", latency_objective_s=0.5),
            "routes[0]",
            "latency_objective_s",
            "latency objective in seconds changed, 1 -> 0.5",
        ),
        (change("routes", public=True), "routes[0]", "public", "no -> yes"),
        (
            change("accounts", keys=("another-key-of-x", *ACCOUNT.keys)),
            "accounts[0]",
            "keys",
            "keys added: anot...",
        ),
        (change("accounts", keys=()), "accounts[0]", "keys", "taken away: key-..."),
        (change("accounts", per_s=4.0), "accounts[0]", "per_s", "quota lowered from 5"),
        (change("accounts", per_s=6.0), "accounts[0]", "per_s", "quota raised from 5"),
        (
            change("accounts", per_s=0.0),
            "accounts[0]",
            "per_s",
            "raised from 5 a s",
        ),
        (change("accounts", burst=1.0), "accounts[0]", "burst", "lowered from 5 to 1"),
        (replace(CONFIGURATION, accounts=()), "accounts", "id", "x removed with its 1"),
        (replace(CONFIGURATION, routes=()), "routes", "name", "place is not served"),
        (replace(CONFIGURATION, services=()), "services", "name", "service s removed"),
        (
            change("services", scaling=replace(SCALING, max_endpoints=8)),
            "services[0]",
            "scaling.max_endpoints",
            "upper bound on endpoints changed, 9 -> 8",
        ),
        (change("services", engine=None), "services[0]", "engine", "engine removed"),
    ],
)
def test_change_is_described(new, place, key, text):
    ((found_place, found_key, found_text),) = compare(new)
    assert (found_place, found_key) == (place, key)
    assert text in found_text


def test_limit_that_is_stated_lowers_a_quota():
    without = change("accounts", per_s=0.0)
    ((_, _, text),) = compare(CONFIGURATION, without)
    assert "quota lowered from no limit to 5 a second" in text


def test_route_under_another_name_is_named_with_the_one_before():
    new = change("routes", name="q")
    texts = [text for _, _, text in compare(new)]
    assert texts == [
        "route q added at h/a/, where r is in force",
        "route r removed (h/a/); another route has its place",
    ]


def test_added_entries_are_listed():
    new = replace(
        CONFIGURATION,
        routes=(ROUTE, replace(ROUTE, name="q", prefix="/q/")),
        services=(SERVICE, replace(SERVICE, name="t")),
        accounts=(ACCOUNT, replace(ACCOUNT, id="y", keys=("k",))),
    )
    assert [text for _, _, text in compare(new)] == [
        "route q added at h/q/",
        "service t added",
        "account y added",
    ]


# Guards against keys in logs of the systems that call the program.
def test_keys_are_not_printed_in_full():
    new = change("accounts", keys=("a-secret-key-of-x",))
    text = " ".join(text for _, _, text in compare(new))
    assert "a-se..." in text
    assert "secret" not in text
    assert "account" not in text.replace("account x", "")


# Guards against a configuration that is acknowledged and not put into force.
@pytest.mark.parametrize("revision", [0, 1])
def test_revision_that_is_not_higher_gives_a_warning(revision):
    new = replace(change("routes", timeout_s=2.0), revision=revision)
    first, *_ = list_differences(new, CONFIGURATION)
    assert (first.severity.value, first.key) == ("warning", "revision")
