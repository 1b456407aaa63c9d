import asyncio
import errno
import functools
from types import SimpleNamespace

from tarragonway.consensus import Member, Membership, Packet
from tarragonway.consensus.storage import Identity
from tarragonway.coordinator.daemon import CoordinatorProcess
from tarragonway.coordinator.tests.test_list_publisher import FakeLink, count_full_lists
from tarragonway.core.ids import ClusterId, MemberId, ProcessName
from tarragonway.links.messages import GatewayReport, Join, Status


async def test_full_list_is_not_resent_with_each_report(publisher):
    """A full list in each reply would overload the leader's links.

    At 3,000 endpoints a full list is 300 KB, and 300 gateways may have an old one.
    """
    link = FakeLink()
    process = SimpleNamespace(
        _driver=SimpleNamespace(is_leader=True),
        _publisher=publisher,
        _part_holds=SimpleNamespace(restore=lambda: None),
        _gateway_reports=SimpleNamespace(handle_report=lambda *arguments: "reply"),
        _rollouts=SimpleNamespace(handle_report=lambda *arguments: ()),
        _configuration=SimpleNamespace(read_accounts=dict),
        _quotas=SimpleNamespace(list_near_quota=lambda accounts, now: ()),
    )
    for sequence in range(5):
        gateway_report = GatewayReport("g", sequence, 0.0, 3, 0, (), ())
        CoordinatorProcess._handle_report(process, link, gateway_report)
    assert link.sent.count("reply") == 5
    assert 1 <= count_full_lists(link) <= 2


def make_member_process(own, voters, leader):
    """Return a stand-in of a process with the attributes that membership uses."""
    members = [Member(MemberId(f"{name}#1"), ProcessName(name)) for name in voters]
    membership = Membership(tuple(members))
    process = SimpleNamespace(
        _address=own,
        _seeds=["a:1", "b:1"],
        _named_members=set(),
        _link_pool=FakeLinkPool(),
        _machine=SimpleNamespace(revision=7),
        _driver=SimpleNamespace(
            is_leader=own == leader,
            own_member=Member(MemberId(f"{own}#1"), ProcessName(own)),
            record_join_request=lambda member: None,
            replica=SimpleNamespace(
                term=4,
                leader=f"{leader}#1" if leader else None,
                membership=membership,
                seeks_admission=own not in voters or not leader,
            ),
        ),
    )
    for name in ("_make_status", "_handle_join", "_record_named_members"):
        method = getattr(CoordinatorProcess, name)
        setattr(process, name, functools.partial(method, process))
    return process


class FakeLinkPool:
    def __init__(self):
        self.wanted = set()
        self.links = {}

    def connect_to(self, addresses):
        self.wanted = set(addresses)


async def maintain_links(process):
    task = asyncio.create_task(CoordinatorProcess._maintain_member_links(process))
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.wait([task])


async def test_joining_process_finds_a_leader_that_is_no_seed():
    """All seeds but one are removed, and the leader has replaced one of them.

    The remaining seed, which is a follower, cannot admit the process.
    """
    joining = make_member_process("new:1", [], "")
    follower = make_member_process("a:1", ["a:1", "x:1", "y:1"], "x:1")
    link = FakeLink()
    CoordinatorProcess._handle_message(follower, link, Join(joining._driver.own_member))
    for message in link.sent:
        CoordinatorProcess._handle_message(joining, FakeLink(), message)
    await maintain_links(joining)
    assert joining._link_pool.wanted == {"a:1", "b:1", "x:1", "y:1"}


async def test_voter_connects_to_its_own_members_only():
    voter = make_member_process("a:1", ["a:1", "x:1", "y:1"], "x:1")
    status = Status(3, "old:1", True, ("old:1", "older:1"), 5)
    CoordinatorProcess._handle_message(voter, FakeLink(), status)
    await maintain_links(voter)
    assert voter._link_pool.wanted == {"b:1", "x:1", "y:1"}


# Guards against a full disk that breaks the link of the member to be admitted.
async def test_admission_waits_for_a_full_disk():
    refusals = [OSError(errno.ENOSPC, "No space left on device")]
    written, handled = [], []

    def write_identity(identity):
        if refusals:
            raise refusals.pop()
        written.append(identity)

    def join_cluster(cluster):
        driver.has_cluster = True

    member = Member(MemberId("a:1#x"), ProcessName("a:1"))
    driver = SimpleNamespace(
        has_cluster=False,
        own_member=member,
        join_cluster=join_cluster,
        handle_packet=handled.append,
    )
    process = SimpleNamespace(
        _driver=driver,
        _folder=SimpleNamespace(write_identity=write_identity),
        _link_pool=SimpleNamespace(links={"b:1": None}),
    )
    packet = Packet(ClusterId("g"), MemberId("b:1#y"), member.id, None)
    CoordinatorProcess._handle_packet(process, packet)
    assert (written, handled) == ([], [])
    CoordinatorProcess._handle_packet(process, packet)
    assert written == [Identity(member.id, ClusterId("g"))]
    assert handled == [packet]
