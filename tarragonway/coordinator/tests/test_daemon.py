from types import SimpleNamespace

from tarragonway.coordinator.daemon import CoordinatorProcess
from tarragonway.links.messages import Beat


class FakeLink:
    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


async def test_gateway_that_is_behind_gets_the_whole_list_once_in_a_while():
    """At 3,000 endpoints a whole list is 300 KB, and 300 gateways may be behind."""
    link = FakeLink()
    process = SimpleNamespace(
        _driver=SimpleNamespace(is_leader=True),
        _publisher=SimpleNamespace(listing=5, read_at=0.0, make_whole=lambda: "whole"),
        _book=SimpleNamespace(answer=lambda *arguments: "reply"),
    )
    for sequence in range(5):
        beat = Beat("g", sequence, 0.0, 4, (), ())
        CoordinatorProcess._answer_beat(process, link, beat)
    assert link.sent.count("reply") == 5
    assert link.sent.count("whole") <= 2
