from types import SimpleNamespace

from tarragonway.coordinator.daemon import CoordinatorProcess
from tarragonway.coordinator.tests.test_list_publisher import FakeLink, count_full_lists
from tarragonway.links.messages import GatewayReport


async def test_full_list_is_not_resent_with_each_report(publisher):
    """A full list in each reply would overload the leader's links.

    At 3,000 endpoints a full list is 300 KB, and 300 gateways may have an old one.
    """
    link = FakeLink()
    process = SimpleNamespace(
        _driver=SimpleNamespace(is_leader=True),
        _publisher=publisher,
        _gateway_reports=SimpleNamespace(handle_report=lambda *arguments: "reply"),
    )
    for sequence in range(5):
        gateway_report = GatewayReport("g", sequence, 0.0, 3, 0, (), ())
        CoordinatorProcess._handle_report(process, link, gateway_report)
    assert link.sent.count("reply") == 5
    assert 1 <= count_full_lists(link) <= 2
