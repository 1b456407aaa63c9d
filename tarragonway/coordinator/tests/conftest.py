from types import SimpleNamespace

import pytest

from tarragonway.coordinator.list_publisher import ListPublisher
from tarragonway.endpoints.endpoint_list import EndpointView, ListedEndpoint

TERM = 3


def make_rows(count):
    return [
        ListedEndpoint(f"e{n}.1", f"e{n}", "llm", f"10.0.0.{n}:80", "a", 4, False)
        for n in range(count)
    ]


@pytest.fixture
def publisher():
    """Return the publisher of a leader that has read a list of three endpoints."""
    driver = SimpleNamespace(is_leader=True, replica=SimpleNamespace(term=TERM))

    async def register(rows):
        return rows

    publisher = ListPublisher(
        driver,
        None,
        EndpointView(),
        lambda: publisher.links,
        register,
        lambda: None,
        40.0,
    )
    publisher.links = []
    publisher._publish(make_rows(3))
    return publisher
