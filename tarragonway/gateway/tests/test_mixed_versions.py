"""Streams while endpoints of several software versions serve in one service."""

import asyncio
import itertools

import pytest
from msgspec.structs import replace

from tarragonway.core.counters import Counters
from tarragonway.core.hashes import compute_stream_key
from tarragonway.gateway.tests.harness import make_events
from tarragonway.gateway.version_confirmation import VersionConfirmer
from tarragonway.links.messages import (
    OriginReply,
    OriginRequest,
    StreamsBegan,
    VersionsReply,
)
from tarragonway.platform import names
from tarragonway.versions import OriginRecords, StreamOrigin, needs_record

ATTEMPT = names.ATTEMPT.decode()
RESUMED_ATTEMPT = names.RESUMED_ATTEMPT.decode()
LAST_EVENT_ID = names.LAST_EVENT_ID.decode()


def answer_in_parts(first, rest):
    """Return a function that answers new streams with one part, resumed with another"""

    def choose(head):
        return rest if b"last-event-id" in head.lower() else first

    return choose


async def add_endpoints(harness, version, count, choose):
    endpoints = []
    for _ in range(count):
        endpoint = await harness.add(harness.ports(), version=version)
        endpoint.choose = choose
        endpoints.append(endpoint)
    return endpoints


def count_requests(endpoints):
    return sum(len(endpoint.heads) for endpoint in endpoints)


# Guards against a stream that goes on at another version within one answer.
async def test_broken_stream_is_not_resumed_at_another_version(harness):
    began = []

    def begin_only_once(head):
        began.append(head)
        is_first = len(began) == 1
        return make_events(1, 2, end=False) if is_first else make_events(end=False)

    await add_endpoints(harness, "v1", 1, begin_only_once)
    await add_endpoints(harness, "v2", 1, begin_only_once)
    received = await harness.ask("/resume/")
    assert b"id: 2" in received
    assert received.endswith(b"<reset>")
    # Only the endpoint of the stream's version is asked once more.
    assert sorted(len(endpoint.heads) for endpoint in harness.endpoints) == [0, 2]


async def test_broken_stream_is_resumed_at_its_version(harness):
    choose = answer_in_parts(make_events(1, 2, end=False), make_events(3, 4))
    old = await add_endpoints(harness, "v1", 2, choose)
    new = await add_endpoints(harness, "v2", 6, make_events)
    for row in harness.state.endpoints.rows.values():
        if row.version == "v2":
            # While an endpoint of the old version is healthy, it gets the first send.
            harness.forwarder._chooser.record_unreachable(row.key, 1e9)
    received = await harness.ask("/resume/")
    assert received.endswith(b"0\r\n\r\n")
    assert count_requests(old) == 2
    assert not count_requests(new)


# Guards against a caller's try that goes on at another version at the same gateway.
async def test_stream_is_taken_up_at_the_version_that_began_it(harness):
    choose = answer_in_parts(make_events(1, 2, end=False), make_events(3, 4))
    await add_endpoints(harness, "v1", 1, choose)
    await harness.ask("/resume/", f"{ATTEMPT}: a1")
    new = await add_endpoints(harness, "v2", 8, choose)
    for attempt in ("a2", "a3"):
        received = await harness.ask(
            "/resume/",
            f"{ATTEMPT}: {attempt}",
            f"{RESUMED_ATTEMPT}: a1",
            f"{LAST_EVENT_ID}: 2",
        )
        ids = [line for line in received.split(b"\n") if line.startswith(b"id:")]
        assert ids == [b"id: 3", b"id: 4"]
        assert received.endswith(b"0\r\n\r\n")
    assert not count_requests(new)


# Guards against a caller's try that goes on at any version at a gateway that does not
# know which one began the stream.
async def test_stream_of_an_unknown_version_is_refused_as_not_run(harness):
    harness.set_versions({"s": ("v1", "v2")})
    choose = answer_in_parts(make_events(1, 2), make_events(3, 4))
    endpoints = await add_endpoints(harness, "v1", 2, choose)
    endpoints += await add_endpoints(harness, "v2", 2, choose)
    received = await harness.ask(
        "/resume/", f"{RESUMED_ATTEMPT}: other", f"{LAST_EVENT_ID}: 2"
    )
    assert received.startswith(b"HTTP/1.1 503")
    assert not count_requests(endpoints)
    assert harness.quota.returned


def make_version_leave(harness, version):
    rows = harness.state.endpoints.rows.values()
    leaving = [replace(row, leaving=True) for row in rows if row.version == version]
    harness.state.endpoints.apply_delta(leaving, [])


async def ask_while_the_version_leaves(harness):
    """Return the answer of a stream that breaks off as all endpoints of v1 leave."""

    def leave_and_break(head):
        make_version_leave(harness, "v1")
        is_resumed = b"last-event-id" in head.lower()
        return make_events(3, 4) if is_resumed else make_events(1, 2, end=False)

    await add_endpoints(harness, "v1", 2, leave_and_break)
    await harness.add(harness.ports(), listens=False, version="v2")
    (row,) = [r for r in harness.state.endpoints.rows.values() if r.version == "v2"]
    harness.forwarder._chooser.record_unreachable(row.key, 1e9)
    return await harness.ask("/resume/")


# Guards against a stream that is cut although a leaving endpoint still takes it.
async def test_stream_goes_on_at_a_leaving_endpoint_if_no_other_has_its_version(
    harness,
):
    received = await ask_while_the_version_leaves(harness)
    assert b"id: 4" in received
    assert received.endswith(b"0\r\n\r\n")


# Guards against sends to an endpoint that has been leaving for longer than allowed.
async def test_stream_is_cut_if_its_version_has_been_leaving_for_long(harness):
    harness.state.drain_s = 0.0
    received = await ask_while_the_version_leaves(harness)
    assert b"id: 2" in received
    assert received.endswith(b"<reset>")
    assert count_requests(harness.endpoints) == 1


class FakeCoordinators:
    """Coordinators that keep the gateway's records and answer its requests."""

    def __init__(self, harness, *addresses):
        self.harness = harness
        self.records = {address: OriginRecords() for address in addresses}
        self.silent = set()
        harness.coordinators = {address: self.send for address in addresses}

    def send(self, address, message):
        now = asyncio.get_running_loop().time()
        match message:
            case StreamsBegan(origin, keys, lifetimes_s):
                for key, lifetime_s in zip(keys, lifetimes_s, strict=True):
                    self.records[address].add(key, origin, lifetime_s, now)
            case OriginRequest(sequence, key) if address not in self.silent:
                reply = OriginReply(sequence, self.records[address].find(key, now))
                loop = asyncio.get_running_loop()
                loop.call_soon(self.harness.origins.handle, address, reply)
        return True


def find_attempt(is_recorded_only):
    """Return an attempt whose stream does, or does not, need its record."""
    names = (f"attempt-{number}" for number in itertools.count())
    keys = ((name, compute_stream_key("acct", name)) for name in names)
    return next(name for name, key in keys if needs_record(key) == is_recorded_only)


async def take_up(harness, resumed, *, last_id=2):
    return await harness.ask(
        "/resume/",
        f"{ATTEMPT}: again",
        f"{RESUMED_ATTEMPT}: {resumed}",
        f"{LAST_EVENT_ID}: {last_id}",
    )


def add_record(coordinators, address, version, *, account="acct", attempt="a1"):
    now = asyncio.get_running_loop().time()
    key = compute_stream_key(account, attempt)
    coordinators.records[address].add(key, StreamOrigin("s", version), 15.0, now)


async def make_two_versions(harness):
    """Return the endpoints of two versions, between which nothing else decides."""
    choose = answer_in_parts(make_events(1, 2), make_events(3, 4))
    old = await add_endpoints(harness, "v1", 2, choose)
    new = await add_endpoints(harness, "v2", 2, choose)
    harness.set_versions({"s": ("v1", "v2")})
    return old, new


# Guards against a stream that goes on at any version after all gateways were killed.
async def test_new_gateway_takes_a_stream_up_at_the_recorded_version(harness):
    _, new = await make_two_versions(harness)
    coordinators = FakeCoordinators(harness, "c1", "c2", "c3")
    add_record(coordinators, "c2", "v1")
    # A coordinator that answers suffices, and silent ones are not waited for.
    coordinators.silent = {"c1", "c3"}
    received = await take_up(harness, "a1")
    assert received.endswith(b"0\r\n\r\n")
    assert not count_requests(new)


@pytest.mark.parametrize(
    "record",
    [{"version": "v1", "account": "other"}, {"version": "v1", "attempt": "other"}],
)
# Guards against a stream that goes on by the record of another stream.
async def test_foreign_record_does_not_count(harness, record):
    await make_two_versions(harness)
    add_record(FakeCoordinators(harness, "c1"), "c1", **record)
    received = await take_up(harness, "a1")
    assert received.startswith(b"HTTP/1.1 503")
    assert b"retry-after: 0.250" in received.lower()
    assert not count_requests(harness.endpoints)


# Guards against a stream that goes on by one of two records that contradict each other.
async def test_contradictory_records_are_refused_for_good(harness):
    await make_two_versions(harness)
    coordinators = FakeCoordinators(harness, "c1")
    for version in ("v1", "v2"):
        add_record(coordinators, "c1", version)
    received = await take_up(harness, "a1")
    assert received.startswith(b"HTTP/1.1 503")
    assert b"retry-after" not in received.lower()
    assert not count_requests(harness.endpoints)


# Guards against a version that is taken for the only one while another still leaves.
async def test_leaving_endpoints_count_as_a_version(harness):
    await make_two_versions(harness)
    FakeCoordinators(harness, "c1")
    make_version_leave(harness, "v1")
    # The log lacks a version that began to serve while no leader kept it.
    harness.set_versions({"s": ("v2",)})
    assert b"version_unknown" in await take_up(harness, "a1")
    assert not count_requests(harness.endpoints)


# Guards against a caller that waits for coordinators which are cut off.
async def test_unanswered_look_up_is_refused_soon(harness):
    await make_two_versions(harness)
    FakeCoordinators(harness, "c1", "c2").silent = {"c1", "c2"}
    loop = asyncio.get_running_loop()
    started = loop.time()
    received = await take_up(harness, "a1")
    assert loop.time() - started < 0.5
    assert received.startswith(b"HTTP/1.1 503")
    assert b"retry-after: 1.000" in received.lower()


# Guards against a stream that is held although no endpoint of its version is left.
async def test_stream_whose_version_is_gone_is_refused_at_once(harness):
    old, _ = await make_two_versions(harness)
    add_record(FakeCoordinators(harness, "c1"), "c1", "v0")
    received = await take_up(harness, "a1")
    assert received.startswith(b"HTTP/1.1 503")
    assert b"version_gone" in received
    assert b"retry-after" not in received.lower()
    assert not count_requests(old)


# Guards against refused streams while every stream was begun by one version.
async def test_stream_without_a_record_goes_on_while_one_version_serves(harness):
    choose = answer_in_parts(make_events(1, 2), make_events(3, 4))
    await add_endpoints(harness, "v1", 2, choose)
    FakeCoordinators(harness, "c1")
    harness.leader_versions = {}
    received = await take_up(harness, "a1")
    assert b"version_unknown" in received
    harness.set_versions({"s": ("v1",)})
    received = await take_up(harness, "a1")
    assert received.endswith(b"0\r\n\r\n")
    # A history that the leader does not confirm now may lack a version.
    harness.leader_versions = None
    received = await take_up(harness, "a1")
    assert b"version_unknown" in received
    assert b"retry-after: 1.000" in received.lower()


# Guards against a stream that a gateway, which was out of touch while a version joined,
# sends on to the only version that it knows.
async def test_version_that_joined_meanwhile_is_a_possible_origin(harness):
    choose = answer_in_parts(make_events(1, 2), make_events(3, 4))
    await add_endpoints(harness, "v1", 2, choose)
    FakeCoordinators(harness, "c1")
    harness.leader_versions = {"s": ("v1", "v2")}
    assert b"version_unknown" in await take_up(harness, "a1")
    assert not count_requests(harness.endpoints)


# Guards against streams that begin at a version which no other gateway knows, while no
# leader registers it: their callers' tries would go on at the version that it knows.
async def test_stream_does_not_begin_at_a_version_without_registration(harness):
    choose = answer_in_parts(make_events(1, 2), make_events(3, 4))
    new = await harness.add(harness.ports(), version="v2", registers=False)
    new.choose = choose
    received = await harness.ask("/resume/", f"{ATTEMPT}: {find_attempt(False)}")
    assert b"version_unregistered" in received
    assert b"retry-after: 0.500" in received.lower()
    old = await add_endpoints(harness, "v1", 1, choose)
    (row,) = [r for r in harness.state.endpoints.rows.values() if r.version == "v1"]
    # While the new endpoint is healthy, it would get the send.
    harness.forwarder._chooser.record_unreachable(row.key, 1e9)
    await harness.ask("/resume/", f"{ATTEMPT}: {find_attempt(False)}")
    assert count_requests(old) == 1
    assert not new.heads
    # What is never resumed without its record may go there.
    await harness.ask("/resume/", f"{ATTEMPT}: {find_attempt(True)}")
    assert len(new.heads) == 1


# Guards against a stream that may have begun at a version without registration and goes
# on at the only version that is registered.
async def test_stream_that_needs_its_record_is_refused_without_it(harness):
    choose = answer_in_parts(make_events(1, 2), make_events(3, 4))
    await add_endpoints(harness, "v1", 2, choose)
    FakeCoordinators(harness, "c1")
    received = await take_up(harness, find_attempt(True))
    assert b"version_unknown" in received
    received = await take_up(harness, find_attempt(False))
    assert received.endswith(b"0\r\n\r\n")


# Guards against a caller's look-up that is answered by an older request of another.
async def test_confirmation_is_asked_for_after_each_call(harness):
    asked = []
    confirmer = VersionConfirmer(lambda r: not asked.append(r.sequence), Counters())
    first = asyncio.create_task(confirmer.confirm())
    await asyncio.sleep(0)
    others = [asyncio.create_task(confirmer.confirm()) for _ in range(3)]
    await asyncio.sleep(0)
    assert asked == [1]
    confirmer.handle_reply(VersionsReply(1, {"s": ("v1",)}))
    assert await first == {"s": ("v1",)}
    await asyncio.sleep(0)
    assert asked == [1, 2]
    confirmer.handle_reply(VersionsReply(1, {}))
    confirmer.handle_reply(VersionsReply(2, {"s": ("v1", "v2")}))
    assert await asyncio.gather(*others) == [{"s": ("v1", "v2")}] * 3


# Guards against a caller's deadline that keeps all records of that moment from leaving.
async def test_records_are_sent_beside_one_with_an_endless_deadline(harness):
    coordinators = FakeCoordinators(harness, "c1")
    origin = StreamOrigin("s", "v1")
    harness.origins.record_began("acct", "a1", origin, 1e300)
    harness.origins.record_began("acct", "a2", origin, 15.0)
    harness.origins.flush()
    assert len(coordinators.records["c1"]) == 2


# Guards against records that a restarted coordinator has lost.
async def test_records_are_sent_again_to_a_coordinator_that_connects(harness):
    choose = answer_in_parts(make_events(1, 2), make_events(3, 4))
    await add_endpoints(harness, "v1", 1, choose)
    coordinators = FakeCoordinators(harness, "c1", "c2", "c3", "c4")
    await harness.ask("/resume/", f"{ATTEMPT}: a1")
    harness.origins.flush()
    holders = [a for a, records in coordinators.records.items() if len(records)]
    assert len(holders) == 3
    coordinators.records = {
        address: OriginRecords() for address in coordinators.records
    }
    for address in coordinators.records:
        harness.origins.send_all(address)
    assert [a for a, records in coordinators.records.items() if len(records)] == holders


# Guards against a new stream that is taken for one that its caller resumes.
async def test_empty_last_event_id_begins_a_stream(harness):
    await make_two_versions(harness)
    for endpoint in harness.endpoints:
        endpoint.choose = lambda head: make_events(1, 2)
    received = await harness.ask("/resume/", f"{LAST_EVENT_ID}:")
    assert received.startswith(b"HTTP/1.1 200")
    assert received.endswith(b"0\r\n\r\n")
