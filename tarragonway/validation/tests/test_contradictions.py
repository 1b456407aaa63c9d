import pytest
from msgspec.structs import replace

from tarragonway.routes.model import ConnectionLimits, EngineTraits
from tarragonway.validation import RetryBounds, list_contradictions
from tarragonway.validation.tests.configurations import (
    CONFIGURATION,
    SCALING,
    change,
    summarize,
)

ONE_ENDPOINT = replace(SCALING, max_endpoints=1)


def check(configuration, retries):
    return summarize(list_contradictions(configuration, retries))


def test_consistent_limits_give_no_warning():
    assert not check(CONFIGURATION, RetryBounds())
    assert not check(change("accounts", per_s=0.0, burst=0.0), RetryBounds())


# Guards against limits that are accepted and of which one makes the other useless.
@pytest.mark.parametrize(
    ("configuration", "place", "key"),
    [
        (change("routes", timeout_s=0.9), "routes[0]", "timeout_s"),
        (change("routes", max_attempts=12), "routes[0]", "attempts"),
        (change("accounts", burst=0.5), "accounts[0]", "burst"),
        (
            change("accounts", counts_tokens=True, default_units=9.0),
            "accounts[0]",
            "burst",
        ),
        (change("accounts", per_s=0.0), "accounts[0]", "burst"),
        (
            change("services", scaling=ONE_ENDPOINT),
            "services[0]",
            "scaling.max_endpoints",
        ),
        (
            change("services", scaling=replace(SCALING, min_endpoints=10)),
            "services[0]",
            "scaling.min_endpoints",
        ),
        (
            change(
                "services", scaling=replace(SCALING, max_endpoints=1, zone_prices={})
            ),
            "services[0]",
            "scaling.max_endpoints",
        ),
        (change("services", engine=EngineTraits(0, 0)), "services[0]", "engine.slots"),
        (change("services", max_connections=3), "services[0]", "max_connections"),
        (
            replace(CONFIGURATION, limits=ConnectionLimits(header_bytes=0)),
            "limits",
            "header_bytes",
        ),
    ],
)
def test_contradiction_gives_a_warning(configuration, place, key):
    assert check(configuration, RetryBounds()) == [("warning", place, key)]


def test_attempts_are_compared_with_the_budget_in_the_settings():
    configuration = change("routes", max_attempts=3)
    assert not check(configuration, RetryBounds(0.1, 2.0))
    expected = [("warning", "routes[0]", "attempts")]
    assert check(configuration, RetryBounds(0.1, 1.0)) == expected
    assert check(configuration, RetryBounds(0.0, 9.0)) == expected
    assert not check(change("routes", max_attempts=1), RetryBounds(0.0, 0.0))
