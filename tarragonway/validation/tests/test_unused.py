import pytest
from msgspec.structs import replace

from tarragonway.routes.model import WeightedService
from tarragonway.validation import list_unused
from tarragonway.validation.tests.configurations import (
    ACCOUNT,
    CONFIGURATION,
    ROUTE,
    SERVICE,
    change,
    summarize,
)


# Guards against warnings of a configuration that has nothing unused.
def test_used_entries_give_no_warning():
    assert not list(list_unused(CONFIGURATION))
    longer = replace(ROUTE, name="longer", prefix="/a/b/")
    assert not list(list_unused(replace(CONFIGURATION, routes=(ROUTE, longer))))


# Guards against an entry that is sent and has no effect, which nobody is told.
@pytest.mark.parametrize(
    ("configuration", "place", "key"),
    [
        (change("routes", prefix="/a b/"), "routes[0]", "prefix"),
        (change("routes", prefix="/a?b/"), "routes[0]", "prefix"),
        (change("routes", prefix="/ä/"), "routes[0]", "prefix"),
        (change("routes", host="h:80"), "routes[0]", "host"),
        (change("routes", host=""), "routes[0]", "host"),
        (change("accounts", keys=()), "accounts[0]", "keys"),
        (change("accounts", keys=("k", "")), "accounts[0]", "keys[1]"),
        (change("accounts", keys=("k", "a b")), "accounts[0]", "keys[1]"),
        (change("accounts", keys=("k", "k")), "accounts[0]", "keys[1]"),
        (change("routes", public=True), "", "accounts"),
        (
            replace(CONFIGURATION, services=(SERVICE, replace(SERVICE, name="t"))),
            "services[1]",
            "name",
        ),
        (replace(CONFIGURATION, services=(SERVICE, SERVICE)), "services[1]", "name"),
        (
            replace(CONFIGURATION, routes=(ROUTE, replace(ROUTE, prefix="/b/"))),
            "routes[1]",
            "name",
        ),
        (
            replace(CONFIGURATION, accounts=(ACCOUNT, replace(ACCOUNT, keys=("k",)))),
            "accounts[1]",
            "id",
        ),
    ],
)
def test_entry_that_never_matches_gives_a_warning(configuration, place, key):
    assert summarize(list_unused(configuration)) == [("warning", place, key)]


def test_weight_of_0_gives_a_warning_for_the_route_and_its_service():
    shares = (WeightedService("s", 1.0), WeightedService("t", 0.0))
    services = (SERVICE, replace(SERVICE, name="t"))
    configuration = replace(change("routes", shares=shares), services=services)
    assert summarize(list_unused(configuration)) == [
        ("warning", "routes[0]", "shares"),
        ("warning", "services[1]", "name"),
    ]
