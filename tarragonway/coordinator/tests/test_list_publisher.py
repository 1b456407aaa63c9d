import struct
import zlib

import msgspec

from tarragonway.coordinator.list_publisher import (
    FULL_LIST_RESEND_DELAY_S,
    MAX_UNSENT_LIST_BYTES,
    NO_LIST,
)
from tarragonway.coordinator.tests.conftest import TERM, make_rows
from tarragonway.links.link import COMPRESSED_BIT
from tarragonway.links.messages import EndpointUpdate, LinkMessage


class FakeLink:
    def __init__(self):
        self.sent = []
        self.unsent_bytes = 0

    def send(self, message):
        self.sent.append(message)

    def send_encoded(self, frame):
        (marked,) = struct.unpack_from(">I", frame)
        body = frame[4:]
        body = zlib.decompress(body) if marked & COMPRESSED_BIT else body
        self.sent.append(msgspec.msgpack.decode(body, type=LinkMessage))


def count_full_lists(link):
    updates = [sent for sent in link.sent if isinstance(sent, EndpointUpdate)]
    return sum(update.is_full for update in updates)


def test_gateway_with_the_list_gets_deltas_only(publisher):
    link = FakeLink()
    publisher.links.append(link)
    publisher.refresh_gateway(link, (TERM, 0), 0.0)
    publisher._publish(make_rows(4))
    publisher.refresh_gateway(link, (TERM, publisher.list_version), 5.0)
    full_list, delta = link.sent
    assert full_list.is_full and len(full_list.rows) == 3
    assert not delta.is_full and [row.platform_id for row in delta.rows] == ["e3"]


def test_deltas_are_not_sent_to_gateways_without_the_list(publisher):
    link = FakeLink()
    publisher.links.append(link)
    publisher._publish(make_rows(4))
    assert link.sent == []


def test_list_of_the_same_version_from_another_leader_is_replaced(publisher):
    link = FakeLink()
    publisher.refresh_gateway(link, (TERM - 1, publisher.list_version), 0.0)
    assert count_full_lists(link) == 1


def test_gateway_that_stays_outdated_gets_the_full_list_again(publisher):
    link = FakeLink()
    publisher.refresh_gateway(link, (TERM, -1), 0.0)
    publisher.refresh_gateway(link, (TERM, -1), FULL_LIST_RESEND_DELAY_S / 2)
    publisher.refresh_gateway(link, (TERM, -1), FULL_LIST_RESEND_DELAY_S)
    assert count_full_lists(link) == 2


def test_unsent_full_lists_are_bounded(publisher):
    slow, other = FakeLink(), FakeLink()
    publisher.refresh_gateway(slow, (TERM, 0), 0.0)
    slow.unsent_bytes = MAX_UNSENT_LIST_BYTES + 1
    publisher.refresh_gateway(other, (TERM, 0), 0.1)
    assert count_full_lists(other) == 0
    slow.unsent_bytes = 0
    publisher.refresh_gateway(other, (TERM, 0), 0.35)
    assert count_full_lists(other) == 1


# Guards against gateways that go back to the list which a process read when it was the
# leader before, and take it for a current one.
def test_leader_publishes_no_list_of_its_earlier_leadership(publisher):
    link = FakeLink()
    publisher._driver.replica.term = TERM + 2
    publisher.refresh_gateway(link, (TERM + 1, 7), 0.0)
    publisher.mark_leaving(["e1.1"])
    assert link.sent == []
    publisher._publish(make_rows(4))
    publisher.refresh_gateway(link, (TERM + 1, 7), 0.1)
    assert [update.term for update in link.sent] == [TERM + 2]
    assert [row.platform_id for row in link.sent[0].rows] == ["e0", "e1", "e2", "e3"]


def test_gateway_without_a_list_gets_that_of_an_earlier_leadership(publisher):
    link = FakeLink()
    publisher._driver.replica.term = TERM + 2
    publisher.refresh_gateway(link, NO_LIST, 0.0)
    assert count_full_lists(link) == 1
