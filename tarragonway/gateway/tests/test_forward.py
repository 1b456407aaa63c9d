import asyncio

from tarragonway.gateway.tests.harness import NOT_RUN, make_answer, make_events
from tarragonway.platform import names


async def test_unrepeatable_request_that_may_have_run_is_not_sent_again(harness):
    one, two = await harness.add(harness.ports()), await harness.add(harness.ports())
    received = await harness.ask("/once/")
    assert received.startswith(b"HTTP/1.1 502")
    assert len(one.heads) + len(two.heads) == 1
    assert harness.usage.list_windows() == ()


async def test_endpoints_refusal_is_passed_on_as_not_run(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [make_answer(503, "", NOT_RUN)]
    received = await harness.ask("/single/")
    assert received.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in received.lower()
    assert harness.quota.returned


async def test_refused_request_is_offered_to_another_endpoint(harness):
    refusal = make_answer(503, "", NOT_RUN)
    for _ in range(2):
        (await harness.add(harness.ports())).answers = [refusal]
    harness.endpoints[0].answers = [refusal]
    harness.endpoints[1].answers = [make_answer()]
    statuses = set()
    for _ in range(2):
        statuses.add((await harness.ask("/once/"))[9:12])
        harness.endpoints[0].answers = [refusal]
        harness.endpoints[1].answers = [make_answer()]
    assert statuses == {b"200"}


async def test_failed_read_is_tried_elsewhere_and_failures_come_through(harness):
    one, two = await harness.add(harness.ports()), await harness.add(harness.ports())
    one.answers = [make_answer(500, "bad")]
    two.answers = [make_answer(500, "bad")]
    received = await harness.ask("/read/")
    assert received.startswith(b"HTTP/1.1 500")
    assert b"server-signature" in received
    assert len(one.heads) == len(two.heads) == 1


async def test_unreachable_endpoint_is_left_out(harness):
    await harness.add(harness.ports(), listens=False)
    good = await harness.add(harness.ports())
    good.answers = [make_answer() for _ in range(4)]
    for _ in range(4):
        assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 200")


async def test_broken_stream_resumes_at_another_endpoint_without_repeated_events(
    harness,
):
    first, second = (
        await harness.add(harness.ports()),
        await harness.add(harness.ports()),
    )
    broken = make_events(1, 2, end=False, cut=b"id: 3\nda")

    def choose(head):
        return make_events(3, 4) if b"last-event-id" in head.lower() else broken

    first.choose = second.choose = choose
    received = await harness.ask("/resume/")
    ids = [line for line in received.split(b"\n") if line.startswith(b"id:")]
    assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
    assert received.endswith(b"0\r\n\r\n")
    heads = first.heads + second.heads
    assert sum(b"last-event-id: 2" in head.lower() for head in heads) == 1
    assert sum(sum(w.counts.values()) for w in harness.usage.list_windows()) == 1


async def test_broken_stream_that_cannot_go_on_does_not_look_complete(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [make_events(1, end=False)]
    received = await harness.ask("/stream/")
    assert b"id: 1" in received
    assert not received.endswith(b"0\r\n\r\n")


async def test_success_without_signature_is_not_passed_on(harness):
    (await harness.add(harness.ports())).answers = [make_answer(extra="")]
    assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 502")


async def test_connection_to_endpoint_ends_when_the_caller_disconnects(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.hang = True
    await harness.ask("/single/", wait_s=0.1)
    async with asyncio.timeout(0.5):
        await endpoint.disconnected.wait()


async def test_endpoint_receives_the_remaining_time_and_deadline_ends_the_request(
    harness,
):
    endpoint = await harness.add(harness.ports())
    endpoint.hang = True
    received = await harness.ask("/short/", f"{names.DEADLINE.decode()}: 900")
    assert received.startswith(b"HTTP/1.1 504")
    line = next(
        line for line in endpoint.heads[0].split(b"\r\n") if b"deadline" in line.lower()
    )
    assert 100 <= int(line.split(b":")[1]) <= 200


async def test_content_that_crashes_an_endpoint_is_reported_and_quarantined(harness):
    endpoint = await harness.add(harness.ports())
    await harness.ask("/single/poison")
    (crash,) = harness.crashes
    assert crash.endpoint == "e1"
    harness.state.quarantined = frozenset([crash.fingerprint])
    assert (await harness.ask("/single/poison")).startswith(b"HTTP/1.1 503")
    endpoint.answers = [make_answer()]
    assert (await harness.ask("/single/other")).startswith(b"HTTP/1.1 200")
    assert len(endpoint.heads) == 2


async def test_suspect_that_runs_to_its_end_is_cleared(harness):
    endpoint = await harness.add(harness.ports())
    await harness.ask("/single/odd")
    fingerprint = harness.crashes[0].fingerprint
    harness.state.suspects = frozenset([fingerprint])
    endpoint.answers = [make_answer(), make_answer()]
    await harness.ask("/single/else")
    assert not harness.cleared
    await harness.ask("/single/odd")
    assert harness.cleared == [fingerprint]


async def test_request_waits_for_the_first_configuration(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [make_answer()]
    table, harness.state.table = harness.state.table, None
    asking = asyncio.create_task(harness.ask("/single/"))
    await asyncio.sleep(0.1)
    harness.state.table = table
    harness.state.notify_if_complete()
    assert (await asking).startswith(b"HTTP/1.1 200")


async def test_unknown_routes_and_keys_are_refused(harness):
    await harness.add(harness.ports())
    assert (await harness.ask("/none/")).startswith(b"HTTP/1.1 404")
    assert (await harness.ask("/read/", key="odd")).startswith(b"HTTP/1.1 401")
    harness.state.table = None
    assert (await harness.ask("/read/")).startswith(b"HTTP/1.1 503")


async def test_unhealthy_time_grows_while_an_address_belongs_to_another_endpoint(
    harness,
):
    endpoint = await harness.add(harness.ports())
    unhealthy_s = []
    loop = asyncio.get_running_loop()
    chooser = harness.forwarder._chooser
    for _ in range(3):
        endpoint.answers = [make_answer(421, "")]
        assert (await harness.ask("/single/")).startswith(b"HTTP/1.1 503")
        unhealthy_s.append(chooser._health["e1"].unhealthy_until - loop.time())
    assert unhealthy_s[0] < unhealthy_s[1] < unhealthy_s[2]


async def test_connecting_counts_against_the_deadline(harness, monkeypatch):
    endpoint = await harness.add(harness.ports())
    endpoint.answers = [make_answer()]

    async def connect_late(key, address, max_idle_s):
        await asyncio.sleep(0.4)

    monkeypatch.setattr(harness.forwarder.pool, "acquire", connect_late)
    loop = asyncio.get_running_loop()
    started = loop.time()
    received = await harness.ask("/short/")
    assert loop.time() - started < 0.3
    # Nothing was sent, so the promise that it did not run is true.
    assert received.startswith(b"HTTP/1.1 503")
    assert not endpoint.heads
