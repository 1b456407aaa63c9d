from types import SimpleNamespace

import msgspec
import pytest

from tarragonway.claims import Answer
from tarragonway.core.counters import Counters
from tarragonway.core.outcomes import Refusal, RefusalReason
from tarragonway.endpoints import Endpoint
from tarragonway.entry.plain_calls import PlainCallHandler
from tarragonway.entry.sender import MaybeExecuted, NotExecuted, PlainCall

ENDPOINTS = [Endpoint(f"e{n}", "s", "z", "http://127.0.0.1:1") for n in (1, 2)]


class FakeDispatcher:
    """Assigns two endpoints in turn, and then has none left."""

    def __init__(self):
        self.left = list(ENDPOINTS)

    async def acquire(self, demand):
        if self.left:
            return self.left.pop(0)
        return Refusal(RefusalReason.NO_ENDPOINT, "service s has no endpoint", 5.0)

    def release(self, endpoint, failed=False):
        pass

    def record_leaving(self, endpoint):
        pass


async def serve(*results):
    """Return the handler's response to a call whose sends have these results."""
    timing = SimpleNamespace(call_timeout_s=1.0)
    handler = PlainCallHandler(
        "entry-1", "i1", None, None, FakeDispatcher(), None, timing, None, Counters()
    )
    for _ in range(100):
        handler._retry_budget.deposit()
    left = list(results)

    async def send(call, endpoint):
        return left.pop(0)

    handler._sender = SimpleNamespace(send=send)
    caller = SimpleNamespace(
        account=SimpleNamespace(id="acct"), plan=SimpleNamespace(priority=1, weight=1.0)
    )
    service = SimpleNamespace(name="s", deadline_s=1.0)
    return await handler._serve_repeatable(
        PlainCall(caller, service, "GET", "/x", "", (), b"")
    )


@pytest.mark.parametrize(
    ("results", "outcome"),
    [
        ((NotExecuted("leaving", True), NotExecuted("leaving", True)), "refused"),
        ((MaybeExecuted("cut"), NotExecuted("leaving", True)), "unknown"),
        ((NotExecuted("leaving", True), MaybeExecuted("cut")), "unknown"),
        ((Answer(503, "text/plain", b""), NotExecuted("leaving", True)), "unknown"),
    ],
)
# Guards against 'refused' for a call that a service may have run before.
async def test_call_that_may_have_run_is_not_answered_as_refused(results, outcome):
    response = await serve(*results)
    assert msgspec.json.decode(response.body)["outcome"] == outcome
