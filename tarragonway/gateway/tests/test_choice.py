import random

from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.gateway.choice import MAX_UNHEALTHY_S, EndpointChooser
from tarragonway.routing.engine_speed import EngineSpeeds
from tarragonway.routing.loads import LoadTracker


def make_chooser():
    return EndpointChooser(LoadTracker(), EngineSpeeds(), random.Random(1))


def make_endpoint(name):
    return ListedEndpoint(name, name, "s", "127.0.0.1:1", "a", 4, False)


def test_endpoint_that_fails_thousands_of_times_is_left_out_for_a_bounded_time():
    chooser = make_chooser()
    now = 0.0
    for now in range(2000):
        choice = chooser.choose([make_endpoint("e1")], "s", None, now)
        chooser.record_send(choice)
        chooser.record_completion(choice, False, True, now)
        chooser.record_unreachable("e1", now)
    assert chooser.is_unhealthy("e1", now + MAX_UNHEALTHY_S - 0.1)
    assert not chooser.is_unhealthy("e1", now + 31)
