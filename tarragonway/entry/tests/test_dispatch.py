import asyncio
from types import SimpleNamespace

from tarragonway.core.counters import Counters
from tarragonway.core.outcomes import Refusal
from tarragonway.endpoints import Endpoint
from tarragonway.entry.dispatch import Demand, Dispatcher
from tarragonway.lists import ServiceKind


def make_dispatcher(*endpoints):
    rows = {name: Endpoint(name, "s", "z", "http://127.0.0.1:1") for name in endpoints}
    service = SimpleNamespace(endpoint_slots=4, kind=ServiceKind.PLAIN)
    watch = SimpleNamespace(
        view=SimpleNamespace(endpoints=rows),
        lists=SimpleNamespace(services={"s": service}),
    )
    dispatcher = Dispatcher("entry", "z", watch, None, 10, Counters())
    dispatcher.refresh()
    return dispatcher


async def acquire(dispatcher, wait_s=0.05):
    deadline = asyncio.get_running_loop().time() + wait_s
    return await dispatcher.acquire(Demand("s", "acct", 5, 1.0, deadline))


# Guards against requests to an endpoint that wants a pause.
async def test_paused_endpoint_is_left_out_until_the_end():
    dispatcher = make_dispatcher("e1", "e2")
    serving = asyncio.create_task(dispatcher.run())
    dispatcher.record_pause("e1", 0.3)
    for _ in range(4):
        chosen = await acquire(dispatcher)
        assert chosen.id == "e2"
        dispatcher.release("e2")
    dispatcher.record_pause("e2", 5.0)
    assert isinstance(await acquire(dispatcher), Refusal)
    await asyncio.sleep(0.3)
    assert (await acquire(dispatcher, 0.5)).id == "e1"
    serving.cancel()
