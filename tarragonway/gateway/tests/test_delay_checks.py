import random

import pytest

from tarragonway.exchange import CallerRequest, Load
from tarragonway.gateway.attempt import Attempt
from tarragonway.gateway.choice import EndpointChooser
from tarragonway.gateway.delay_checks import is_overloaded
from tarragonway.gateway.tests.test_paced_choice import make_endpoints
from tarragonway.routes.model import Repeatability, Route
from tarragonway.routing.engine_speed import EngineSpeeds
from tarragonway.routing.loads import LoadTracker

ROUTE = Route("r", "h", "/", Repeatability.UNSAFE, 1.7, 0.163, 2, 1, ())


def check(waiting, slowdown):
    """Return whether a call to a plain service of three endpoints is refused."""
    chooser = EndpointChooser(LoadTracker(), EngineSpeeds(), random.Random(1))
    rows = make_endpoints(3, slots=6)
    for row in rows:
        if slowdown is not None:
            chooser.paces.record_statement("s", row.key, slowdown, 0.0)
        chooser.record_load(row, Load(6, waiting, 6, slowdown), 0.0)
    for _ in range(8):
        chooser.service_times.record("s", 22.5, 1.0)
    facts = CallerRequest("x", "h", "/", 1.7, None, None, None)
    attempt = Attempt(None, facts, None, ROUTE, None, "s", 1.7, set())
    choice = chooser.choose(rows, "s", None, 0.0, 163.0)
    return is_overloaded(attempt, choice, 0.0)


# Guards against calls that must not run twice and end without a known outcome: one
# account sends nine times its usual, and full endpoints reset their connections.
@pytest.mark.parametrize(
    ("waiting", "slowdown", "refused"),
    [(60, 1.0, True), (6, 1.0, False), (30, 2.5, True), (60, None, False)],
)
def test_call_to_full_plain_endpoints_is_refused(waiting, slowdown, refused):
    assert check(waiting, slowdown) is refused
