import asyncio
import math
import tempfile
import zlib

import msgspec
import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from tarragonway.coordinator.daemon import CoordinatorProcess
from tarragonway.coordinator.machine import PutConfiguration
from tarragonway.coordinator.tests.test_operators import make_text
from tarragonway.gateway.tests.test_odd_messages import FailureList
from tarragonway.links import Link
from tarragonway.links.link import encode_message
from tarragonway.links.messages import (
    GatewayReport,
    GatewayReportReply,
    Hello,
    QuotaReply,
    QuotaRequest,
    Status,
)
from tarragonway.links.tests.odd_messages import draw_messages
from tarragonway.links.tests.test_link import make_frame
from tarragonway.node.settings import NodeSettings
from tarragonway.replication import LogDriver

encode = msgspec.msgpack.encode
NAN_REPORT = {
    "type": "Beat",
    "name": "g",
    "sequence": 1,
    "clock_s": math.nan,
    "listing_term": 0,
    "listing": 0,
    "usage": [],
    "crashes": [],
    "pressure": {"s": math.nan},
}


class RecordingLink(Link):
    """Link whose messages are encoded and decoded by the types of the receiver."""

    def send_encoded(self, frame):
        received = []
        link = Link(lambda link, message: received.append(message), lambda link: None)
        link.data_received(frame)
        self.sent += received or [None]
        return True


@pytest.fixture
def leading(monkeypatch):
    monkeypatch.setattr(LogDriver, "is_leader", True)


def make_process(folder):
    address = "127.0.0.1:7000"
    settings = {
        "name": "c",
        "zone": "a",
        "zones": ["a"],
        "listen": {"peers": address, "operators": "127.0.0.1:7001"},
        "seeds": [address],
        "platform": {"address": "127.0.0.1:7002"},
        "data_folder": folder,
        "bootstrap": True,
    }
    process = CoordinatorProcess(msgspec.convert(settings, NodeSettings))
    process._machine.apply(PutConfiguration(7, zlib.compress(make_text(2))))
    return process


async def deliver(bodies, folder):
    """Deliver messages to a coordinator, then sound ones of a gateway."""
    process = make_process(folder)
    drops = FailureList()
    link = RecordingLink(process._handle_message, lambda link: None, drops)
    link.sent = []
    try:
        for body in bodies:
            link.data_received(make_frame(body))
        assert not drops.failed
        link.sent.clear()
        now = asyncio.get_running_loop().time()
        report = GatewayReport("sound", 1, process._clock.now(), 0, 0, (), ())
        for message in (Hello("sound"), report, QuotaRequest(9, "x", 1.0)):
            link.data_received(encode_message(message))
        assert not drops.failed
        types = [type(message) for message in link.sent]
        assert {Status, GatewayReportReply, QuotaReply} <= set(types)
        assert math.isfinite(process._clock.now())
        assert process._gateway_reports.sum_offered_load("s", now) >= 0
        assert process._gateway_reports.sum_request_rate("s", now) >= 0
        msgspec.json.encode(process.make_dump())
    finally:
        process._files.close()


# Guards against a message of a gateway whose odd values raise in the coordinator's
# handler, which ended the link, or whose reply other processes cannot decode.
@pytest.mark.usefixtures("leading")
@settings(
    max_examples=100,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.function_scoped_fixture],
)
@example([encode({"type": "PermitRequest", "sequence": 0, "limits": {}})])
@example([encode(NAN_REPORT)])
@given(st.lists(draw_messages() | st.binary(max_size=40), max_size=6))
def test_no_message_fails_in_the_handler(bodies):
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(deliver(bodies, folder))
