"""Failures of endpoints whose status would promise that a request has not run."""

from tarragonway.gateway.tests.harness import SIGNED, make_answer


# Guards against a 503 that promises that a call did not run, passed on from an endpoint
# which ran it and does not say so.
async def test_failure_of_a_call_that_ran_is_no_promise(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.choose = lambda head: make_answer(503, "broken")
    received = await harness.ask("/once/")
    assert received.startswith(b"HTTP/1.1 502")
    assert SIGNED.encode() not in received
    other = await harness.add(harness.ports())
    other.choose = endpoint.choose
    harness.forwarder._chooser.record_unreachable("e1", 1e9)
    assert (await harness.ask("/read/")).startswith(b"HTTP/1.1 503")
