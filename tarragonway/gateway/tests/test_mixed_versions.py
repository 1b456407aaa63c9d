"""Streams while endpoints of several software versions serve in one service."""

from msgspec.structs import replace

from tarragonway.gateway.tests.harness import make_events
from tarragonway.platform import names

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
    choose = answer_in_parts(make_events(1, 2, end=False), make_events(3, 4))
    await add_endpoints(harness, "v1", 1, choose)
    await add_endpoints(harness, "v2", 1, choose)
    received = await harness.ask("/resume/")
    assert b"id: 2" in received
    assert b"id: 3" not in received
    assert received.endswith(b"<reset>")
    assert count_requests(harness.endpoints) == 1


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
    old = await add_endpoints(harness, "v1", 1, choose)
    await harness.ask("/resume/", f"{ATTEMPT}: a1")
    new = await add_endpoints(harness, "v2", 8, choose)
    for attempt in ("a2", "a3"):
        received = await harness.ask(
            "/resume/",
            f"{ATTEMPT}: {attempt}",
            f"{RESUMED_ATTEMPT}: a1",
            f"{LAST_EVENT_ID}: 2",
        )
        assert received.endswith(b"0\r\n\r\n")
    assert count_requests(old) == 3
    assert not count_requests(new)


# Guards against a caller's try that goes on at any version at a gateway that does not
# know which one began the stream.
async def test_stream_of_an_unknown_version_is_refused_as_not_run(harness):
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
