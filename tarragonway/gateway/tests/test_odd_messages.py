import asyncio
import math
import zlib

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tarragonway.coordinator.tests.test_operators import make_text
from tarragonway.core.counters import Counters
from tarragonway.core.errors import TarragonwayError
from tarragonway.gateway.control_link import ControlLink
from tarragonway.gateway.offered_load import OfferedLoadMeter
from tarragonway.gateway.state import GatewayState
from tarragonway.gateway.tests.test_control_link import FakeLinkPool
from tarragonway.gateway.usage import UsageCounter
from tarragonway.links import Link
from tarragonway.links.link import encode_message
from tarragonway.links.messages import ConfigurationText, GatewayReport, Status
from tarragonway.links.tests.odd_messages import draw_messages
from tarragonway.links.tests.test_link import make_frame
from tarragonway.platform.configuration import decode_configuration
from tarragonway.routing.engine_speed import EngineSpeeds


class FailureList:
    """Stands for the record of dropped messages; keeps the errors of handlers."""

    def __init__(self):
        self.failed = []

    def record_undecodable(self, peer, body, error):
        assert isinstance(error, TarragonwayError)

    def record_failed(self, peer, message, error):
        self.failed.append((message, error))


async def deliver(bodies):
    """Deliver messages to a gateway, and a report of it; return what failed."""
    speeds = EngineSpeeds()
    state = GatewayState()
    control = ControlLink(
        "g",
        ["s1:1"],
        state,
        UsageCounter(5.0),
        OfferedLoadMeter(speeds),
        speeds,
        decode_configuration,
        Counters(),
    )
    control._link_pool = FakeLinkPool()
    drops = FailureList()
    link = Link(control._handle_message, lambda link: None, drops)
    link.peer = "s1:1"
    for body in bodies:
        link.data_received(make_frame(body))
        control._leader = "s1:1"
        control._send_report()
    assert not drops.failed
    reports = [m for _, m in control._link_pool.sent if isinstance(m, GatewayReport)]
    assert read_as_receiver(reports) == reports
    assert math.isfinite(state.clock.now())
    assert state.gateways >= 1
    assert not math.isnan(state.list_current_at)
    await check_sound_messages(link, control)


def read_as_receiver(messages):
    """Return those of the messages that the types of the receiver accept."""
    received = []
    link = Link(lambda link, message: received.append(message), lambda link: None)
    for message in messages:
        link.data_received(encode_message(message))
    return received


async def check_sound_messages(link, control):
    """Check that a status and a newer configuration still work."""
    revision = 10**90
    status = Status(2**53, "s1:1", True, ("s1:1",), str(revision))
    link.data_received(encode_message(status))
    assert control._leader == "s1:1"
    if control._state.revision < revision:
        text = zlib.compress(make_text(2, version=revision))
        message = ConfigurationText(str(revision), text)
        link.data_received(encode_message(message))
        assert control._state.revision == revision


# Guards against a message of a coordinator whose odd values raise in the gateway's
# handler, which ended the link, or stay in its clocks and ages.
@settings(max_examples=150, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(draw_messages() | st.binary(max_size=40), max_size=6))
def test_no_message_fails_in_the_handler(bodies):
    asyncio.run(deliver(bodies))
