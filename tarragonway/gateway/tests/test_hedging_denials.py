"""Late requests that must not be sent to a second endpoint."""

import asyncio

import pytest

from tarragonway.gateway.admission import make_fingerprint
from tarragonway.gateway.daemon import GatewayProcess
from tarragonway.gateway.part_guard import Probe
from tarragonway.gateway.tests.hedging_harness import (
    DELAY_MS,
    END,
    Script,
    answer,
    ask,
    stream,
)
from tarragonway.gateway.tests.test_rollouts import set_rollout
from tarragonway.node.settings import (
    HedgingSettings,
    Listen,
    NodeSettings,
    PlatformSettings,
)
from tarragonway.retries.budget import RetryBudget


@pytest.mark.parametrize("path", ["/once/", "/stream/", "/single/"])
# Guards against a second run of a request that may run once only.
async def test_at_most_once_requests_are_never_hedged(hedging, path):
    script = await hedging.play(answer(0.3, "one"), answer(0.0, "two"))
    assert (await ask(hedging, path)).endswith(b"one")
    assert len(script.heads) == 1
    assert hedging.count("denied.at_most_once") == 1


# Guards against more sends than the route allows.
async def test_hedge_counts_against_max_attempts(hedging):
    script = await hedging.play(
        [(0.15, END)], [(0.15, END)], answer(0.0, "third"), count=3
    )
    assert (await ask(hedging, "/read/")).split()[1] == b"502"
    assert len(script.heads) == 2
    script = await hedging.play(answer(0.1, "only"), answer(0.0, "two"))
    for endpoint in hedging.endpoints:
        endpoint._answer = script.answer
    assert (await ask(hedging, "/short/")).endswith(b"only")
    assert hedging.count("denied.no_attempts_left") == 1


# Guards against extra sends that do not withdraw from the retry budget.
async def test_hedge_withdraws_from_the_retry_budget(hedging):
    hedging.budget = RetryBudget(0.0, 1.0, 1.0)
    await hedging.play(answer(0.2, "one"), answer(0.0, "two"))
    assert (await ask(hedging, "/read/")).endswith(b"two")
    assert not hedging.budget.withdraw()


# Guards against extra sends that the retry budget does not carry.
async def test_no_hedge_beyond_the_retry_budget(hedging):
    hedging.budget = RetryBudget(0.0, 1.0, 0.0)
    script = await hedging.play(answer(0.2, "one"), answer(0.0, "two"))
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert len(script.heads) == 1
    assert hedging.count("denied.retry_budget") == 1


# Guards against extra sends beyond the operator's fraction.
async def test_hedges_keep_to_the_fraction(hedging):
    now = asyncio.get_running_loop().time()
    for _ in range(20):
        hedging.hedged.budget.record_extra_send("s", now)
    script = await hedging.play(answer(0.2, "one"), answer(0.0, "two"))
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert len(script.heads) == 1
    assert hedging.count("denied.fraction") == 1


# Guards against extra sends that add to an overload.
async def test_full_endpoints_get_no_extra_send(hedging):
    script = await hedging.play(answer(0.2, "one"), answer(0.0, "two"))

    def fill():
        # The first one runs the request itself.
        hedging.chooser._load_tracker.record_report("e1", 5.0)
        hedging.chooser._load_tracker.record_report("e2", 4.0)

    asyncio.get_running_loop().call_later(DELAY_MS / 2000, fill)
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert len(script.heads) == 1
    assert hedging.count("denied.no_endpoint") == 1


# Guards against an extra send to an endpoint that is fuller than the first.
async def test_fuller_endpoint_gets_no_extra_send(hedging):
    script = await hedging.play(answer(0.2, "one"), answer(0.0, "two"))
    hedging.chooser._load_tracker.record_report("e2", 2.0)
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert len(script.heads) == 1
    assert hedging.count("denied.no_endpoint") == 1


# Guards against a second endpoint that a request kills too, when its content is
# suspected of crashing endpoints.
async def test_suspected_content_is_not_hedged(hedging, monkeypatch):
    script = await hedging.play(answer(0.2, "one"), answer(0.0, "two"))
    requests = []
    describe = hedging.hedged._describe

    def suspect(attempt, *arguments, **options):
        fingerprint = make_fingerprint(attempt.request, attempt.account)
        hedging.state.suspects = frozenset({fingerprint})
        requests.append(attempt)
        return describe(attempt, *arguments, **options)

    monkeypatch.setattr(hedging.hedged, "_describe", suspect)
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert len(script.heads) == 1
    assert requests
    assert hedging.count("denied.suspect") == 1


# Guards against requests of a bad version that count twice, and an exposure beyond it.
async def test_no_hedge_during_a_rollout(hedging):
    script = await hedging.play(answer(0.2, "one"), answer(0.0, "two"))
    set_rollout(hedging, 1)
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert len(script.heads) == 1
    assert hedging.count("denied.rollout") == 1


# Guards against a rest of a stream from two endpoints, for which the origin's version
# has few endpoints left.
async def test_resumed_stream_is_not_hedged(hedging):
    rest = [stream(0.2, "one")[0], *stream(0.2, "one")[3:]]
    script = await hedging.play(stream(0.0, "one")[:3], rest, count=3)
    assert (await ask(hedging, "/patient/")).count(b"data: one") == 5
    assert len(script.heads) == 2
    assert hedging.count("denied.resumed") == 1


# Guards against a probe of held parts that runs at two endpoints.
async def test_probe_is_not_hedged(hedging, monkeypatch):
    script = await hedging.play(answer(0.2, "one"), answer(0.0, "two"))
    admit = hedging.forwarder._admission.admit

    async def admit_probe(*arguments):
        attempt = await admit(*arguments)
        attempt.probe = Probe(1)
        return attempt

    monkeypatch.setattr(hedging.forwarder._admission, "admit", admit_probe)
    monkeypatch.setattr(hedging.guard, "end_probe", lambda probe: None)
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert len(script.heads) == 1
    assert hedging.count("denied.probe") == 1


# Guards against a resumable stream that begins at a version no leader has recorded.
async def test_second_endpoint_has_a_recorded_version(hedging):
    script = Script(stream(0.2, "one"), stream(0.0, "two"))
    for version, registers in (("v1", True), ("v2", False)):
        endpoint = await hedging.add(
            hedging.ports(), version=version, registers=registers
        )
        endpoint._answer = script.answer
    received = await ask(hedging, "/resume/")
    assert b"data: one" in received
    assert len(script.heads) == 1
    assert hedging.count("denied.no_endpoint") == 1


# Guards against an extra send whose answer would come too late, and against hedging
# without measurements.
async def test_no_hedge_after_the_deadline_or_without_samples(hedging):
    now = asyncio.get_running_loop().time()
    for _ in range(500):
        hedging.hedged.delays.record("read", 1.0, 5000.0, now)
    hedging.hedged.delays._routes.pop("resume")
    await hedging.play(answer(0.2, "one"), stream(0.2, "two"))
    assert (await ask(hedging, "/read/")).endswith(b"one")
    assert b"data: two" in await ask(hedging, "/resume/")
    assert hedging.count("denied.deadline") == 1
    assert hedging.count("denied.no_samples") == 1


# Guards against a quantile that falls since the slowest sends are cancelled.
async def test_cancelled_send_is_measured(hedging):
    await hedging.play(answer(0.8, "slow"), answer(0.1, "quick"))
    before = hedging.hedged.delays.make_dump()["read"]["samples"]
    await ask(hedging, "/read/")
    assert hedging.hedged.delays.make_dump()["read"]["samples"] == before + 1


# Guards against the next requests going to the endpoint whose late sends are cancelled,
# since nothing shows how slow it is.
async def test_endpoint_of_a_cancelled_send_counts_as_late(hedging):
    script = await hedging.play(answer(0.8, "slow"), *[answer(0.0, "quick")] * 3)
    await ask(hedging, "/read/")
    slow = next(iter(hedging.state.endpoints.rows.values())).platform_id
    slow = slow if f": {slow}\r\n" in script.heads[0].decode() else "e2"
    for _ in range(2):
        await ask(hedging, "/read/")
        assert f": {slow}\r\n" not in script.heads[-1].decode()


# Guards against settings that the process does not pass on.
async def test_process_hedges_by_its_settings():
    for fraction in (0.0, 0.05):
        settings = NodeSettings(
            name="g", zone="a", zones=["a"], listen=Listen(peers="127.0.0.1:1"),
            seeds=["127.0.0.1:2"], platform=PlatformSettings(address="127.0.0.1:3"),
            hedging=HedgingSettings(fraction=fraction),
        )  # fmt: skip
        dump = GatewayProcess(settings).make_dump()["hedging"]
        assert dump.get("fraction", 0.0) == fraction


# Guards against another path for requests while hedging is off.
async def test_off_by_default(harness):
    assert harness.forwarder._hedged_sender is None
    assert harness.forwarder.make_hedging_dump() == {}
