import asyncio
import zlib

import pytest

from tarragonway.coordinator.tests.test_operators import make_text
from tarragonway.core.counters import Counters
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import EngineSpeed
from tarragonway.gateway.control_link import REPORTS_PER_SPEED_REPORT, ControlLink
from tarragonway.gateway.offered_load import OfferedLoadMeter
from tarragonway.gateway.state import GatewayState
from tarragonway.gateway.usage import UsageCounter
from tarragonway.links.messages import (
    ConfigurationText,
    CrashReport,
    EndpointUpdate,
    FetchConfiguration,
    GatewayReport,
    GatewayReportReply,
    HeldParts,
    QuotaReply,
    QuotaReturn,
    Status,
)
from tarragonway.pace import EndpointPace
from tarragonway.platform.configuration import decode_configuration
from tarragonway.routes import Account, Configuration, ConnectionLimits
from tarragonway.routes.model import MAX_CONFIGURATION_BYTES
from tarragonway.routing.engine_speed import EngineSpeeds


class FakeLink:
    def __init__(self, peer):
        self.peer = peer
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True


class FakeLinkPool:
    def __init__(self):
        self.wanted = set()
        self.links = {}
        self.sent = []

    def connect_to(self, addresses):
        self.wanted = set(addresses)

    def send(self, address, message):
        self.sent.append((address, message))
        return True


def decode(data):
    return Configuration(int(data), (), (), ConnectionLimits())


@pytest.fixture
async def link():
    speeds = EngineSpeeds()
    link = ControlLink(
        "g",
        ["s1:1"],
        GatewayState(),
        UsageCounter(5.0),
        OfferedLoadMeter(speeds),
        speeds,
        decode,
        Counters(),
    )
    link._link_pool = FakeLinkPool()
    return link


def deliver(link, peer, message):
    link._handle_message(FakeLink(peer), message)


def status(term, leader, is_leader, revision=0, members=("s1:1", "c2:1")):
    return Status(term, leader, is_leader, members, revision)


async def test_coordinators_are_learnt_from_followers_too(link):
    deliver(link, "s1:1", status(2, "c2:1", False))
    assert link._link_pool.wanted == {"s1:1", "c2:1"}


async def test_leader_of_the_highest_term_is_followed(link):
    deliver(link, "c2:1", status(2, "c2:1", True))
    deliver(link, "s1:1", status(1, "s1:1", True))
    link._send_report()
    assert [address for address, _ in link._link_pool.sent] == ["c2:1"]


async def test_removed_members_are_disconnected(link):
    deliver(link, "c2:1", status(2, "c2:1", True, members=("c2:1", "c3:1")))
    assert link._link_pool.wanted == {"s1:1", "c2:1", "c3:1"}
    deliver(link, "c2:1", status(2, "c2:1", True, members=("c2:1",)))
    assert link._link_pool.wanted == {"s1:1", "c2:1"}


async def test_configuration_never_goes_back(link):
    for revision in (7, 6):
        text = zlib.compress(str(revision).encode())
        deliver(link, "s1:1", ConfigurationText(revision, text))
    assert link._state.revision == 7


async def test_delta_to_another_list_version_is_not_applied(link):
    row = ListedEndpoint("e@1", "e", "s", "127.0.0.1:1", "a", 4, False)
    deliver(link, "c", EndpointUpdate(1, 4, True, (row,), ()))
    deliver(link, "c", EndpointUpdate(1, 6, False, (), ("e@1",)))
    assert list(link._state.endpoints.rows) == ["e@1"]
    deliver(link, "c", EndpointUpdate(1, 5, False, (), ("e@1",)))
    assert not link._state.endpoints.rows


async def test_list_of_a_former_leader_does_not_count_as_fresh(link):
    deliver(link, "s1:1", status(1, "s1:1", True))
    row = ListedEndpoint("e.1", "e", "s", "127.0.0.1:9", "z", 4, False)
    deliver(link, "s1:1", EndpointUpdate(1, 7, True, (row,), ()))
    link._state.list_current_at = -100.0
    deliver(link, "c2:1", status(2, "c2:1", True))
    link._send_report()
    report = link._link_pool.sent[-1][1]
    assert (report.list_term, report.list_version) == (1, 7)
    deliver(link, "c2:1", GatewayReportReply(2, report.sequence, 0.0, 1, 7, 0.1))
    assert link._state.list_current_at == -100.0


async def test_status_of_a_former_leader_does_not_replace_the_members(link):
    deliver(link, "c2:1", status(5, "c2:1", True, members=("c2:1", "c3:1")))
    deliver(link, "s1:1", status(4, "s1:1", True, members=("s1:1", "gone:1")))
    assert link._link_pool.wanted == {"s1:1", "c2:1", "c3:1"}


async def test_configuration_that_decompresses_to_too_much_is_rejected(link):
    bomb = zlib.compress(b"0" * (MAX_CONFIGURATION_BYTES + 1))
    deliver(link, "s1:1", ConfigurationText(7, bomb))
    assert link._state.revision == -1


async def test_fitted_speeds_are_reported_and_the_leaders_are_used(link):
    deliver(link, "c2:1", status(2, "c2:1", True))
    for _ in range(REPORTS_PER_SPEED_REPORT + 1):
        link._send_report()
    reports = [message for _, message in link._link_pool.sent]
    assert [n for n, report in enumerate(reports) if report.speeds is not None] == [
        0,
        REPORTS_PER_SPEED_REPORT - 1,
    ]
    speed = EngineSpeed(0.01, 2.0, 0.1, 3.0, 0.5)
    reply = GatewayReportReply(2, 1, 0.0, 3, 0, 0.0, speeds={"llm": speed})
    deliver(link, "c2:1", reply)
    assert link._speeds.get("llm") == speed


async def test_late_grant_of_a_former_leader_is_not_returned_to_the_next(link):
    """The next leader has not charged the units, so a return would exceed the quota."""
    deliver(link, "s1:1", status(1, "s1:1", True))
    account = Account("a", (), counts_tokens=True, per_s=160.0, burst=160.0)
    asking = asyncio.create_task(link.quota.admit(account, 1000.0))
    await asyncio.sleep(0.01)
    asking.cancel()
    await asyncio.wait([asking])
    deliver(link, "c2:1", status(2, "c2:1", True))
    _, request = link._link_pool.sent[-1]
    deliver(link, "s1:1", QuotaReply(request.sequence, True))
    assert not any(isinstance(m, QuotaReturn) for _, m in link._link_pool.sent)


async def test_leader_that_has_replaced_a_removed_one_is_found_through_followers(link):
    """The removed leader says nothing more, so its link gives no notice of the loss."""
    deliver(link, "c2:1", status(2, "c2:1", True, members=("s1:1", "c2:1", "c3:1")))
    members = ("s1:1", "c3:1", "c9:1")
    deliver(link, "c3:1", status(3, "c9:1", False, members=members))
    assert "c9:1" in link._link_pool.wanted


# Guards against crash reports that are lost with a link and never sent again.
async def test_crashes_are_reported_again_after_the_link_to_the_leader_was_lost(link):
    deliver(link, "c2:1", status(2, "c2:1", True))
    link.report_crash(CrashReport("f", "e1", ("p",)))
    link._send_report()
    link._send_report()
    reports = [m for _, m in link._link_pool.sent if isinstance(m, GatewayReport)]
    assert [len(report.crashes) for report in reports] == [1, 0]
    link._send_hello(FakeLink("c2:1"))
    link._send_report()
    (crash,) = link._link_pool.sent[-1][1].crashes
    assert crash.parts == ("p",)
    assert crash.age_s >= 0


# Guards against intake by a gateway that knows of no held part yet.
async def test_state_is_complete_only_once_the_held_parts_are_known(link):
    row = ListedEndpoint("e@1", "e", "s", "127.0.0.1:1", "a", 4, False)
    deliver(link, "c", EndpointUpdate(1, 4, True, (row,), ()))
    deliver(link, "s1:1", ConfigurationText(7, zlib.compress(b"7")))
    assert not link._state.is_complete
    deliver(link, "s1:1", HeldParts(0, ()))
    assert link._state.is_complete


async def test_watched_parts_are_reported_once_answers_show_something(link):
    deliver(link, "c2:1", status(2, "c2:1", True))
    link._send_report()
    sequence = link._link_pool.sent[-1][1].sequence
    reply = GatewayReportReply(2, sequence, 0.0, 1, 0, 0.0, watched=("p",))
    deliver(link, "c2:1", reply)
    now = asyncio.get_running_loop().time()
    link.guard.record_continued(["p", "q"], now, 0.7)
    link._send_report()
    report = link._link_pool.sent[-1][1]
    assert (list(report.continued_ages_s), report.ended_ages_s) == (["p"], {})
    assert report.lasted_s == {"p": 0.7}
    link.guard.record_ended(["p", "q"], asyncio.get_running_loop().time())
    link._send_report()
    report = link._link_pool.sent[-1][1]
    assert (report.continued_ages_s, list(report.ended_ages_s)) == ({}, ["p"])


# Guards against links that break with each try to fetch what cannot be decoded, and
# against a gateway that starts then and fetches without end.
async def test_configuration_that_cannot_be_used_is_fetched_once(link):
    link._configurations._decode = decode_configuration
    fetches = []
    texts = {7: zlib.compress(b"[" * 5000), 8: b"no zlib stream", 9: None}
    texts[9] = zlib.compress(make_text(980, version=9))
    for revision, data in texts.items():
        for _ in range(5):
            coordinator = FakeLink("s1:1")
            message = status(2, "s1:1", True, revision)
            link._handle_message(coordinator, message)
            if FetchConfiguration() in coordinator.sent:
                fetches.append(revision)
                link._handle_message(coordinator, ConfigurationText(revision, data))
    assert fetches == [7, 8, 9]
    assert link._state.revision == 9
    assert link._counters.snapshot()["control.unusable_configurations"] == 2


async def test_unusable_configuration_leaves_the_one_before_in_force(link):
    deliver(link, "s1:1", ConfigurationText(7, zlib.compress(b"7")))
    deliver(link, "s1:1", ConfigurationText(8, zlib.compress(b"7")))
    deliver(link, "s1:1", ConfigurationText(8, b""))
    assert link._state.revision == 7


# Guards against paces that never leave the gateway or are not used, and against links
# that carry them with each report.
async def test_learned_paces_are_reported_and_the_leaders_are_used(link):
    deliver(link, "c1:1", Status(2, "c1:1", True, ("c1:1",), 0))
    paces = link._paces
    for number in range(2 * REPORTS_PER_SPEED_REPORT):
        paces.record_statement("llm", "e1", 2.0, number * 0.25)
        link._send_report()
    reports = [message for _, message in link._link_pool.sent]
    with_paces = [n for n, report in enumerate(reports) if report.paces]
    # The first report to a new leader is a full one.
    assert with_paces == [
        0,
        REPORTS_PER_SPEED_REPORT - 1,
        2 * REPORTS_PER_SPEED_REPORT - 1,
    ]
    assert sum(r.paces["llm"]["e1"].statements for r in reports if r.paces) == len(
        reports
    )
    shared = {"llm": {"e1": EndpointPace(150, 200)}}
    reply = GatewayReportReply(2, 1, 0.0, 3, 0, 0.0, paces=shared)
    deliver(link, "c1:1", reply)
    assert paces.get_usual("e1") == 3.0
