from types import SimpleNamespace

from tarragonway.core.counters import Counters
from tarragonway.core.ids import OwnerEpoch
from tarragonway.endpoints import Endpoint
from tarragonway.engines.client import EngineFinished, EngineInterrupted, EngineToken
from tarragonway.entry.runner import Runner
from tarragonway.requests.live import LiveRequest
from tarragonway.requests.model import RequestRecord


# Guards against an engine whose odd event ends the task of an accepted request, so that
# the request gets neither an answer nor another endpoint.
async def test_skipped_position_interrupts_the_stream():
    async def stream(endpoint, call):
        yield EngineToken(0, "a")
        yield EngineToken(2**53, "b")
        yield EngineFinished()

    dispatcher = SimpleNamespace(
        is_leaving=lambda endpoint: False, record_latency=lambda *arguments: None
    )
    engines = SimpleNamespace(stream=stream)
    runner = Runner(dispatcher, engines, lambda live: None, None, Counters())
    record = RequestRecord("r1", "acct", "s", "f", 0, b"{}", "entry-1", OwnerEpoch(1))
    live = LiveRequest(record, copied=False)
    endpoint = Endpoint("e1", "s", "z", "http://127.0.0.1:1")
    end = await runner._read_stream(live, endpoint, SimpleNamespace(stream="s1"))
    assert isinstance(end, EngineInterrupted)
    assert live.tokens == ["a"]
