import asyncio
import random

import pytest

from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import Load, Prompt, PromptPart
from tarragonway.gateway.choice import EndpointChooser
from tarragonway.gateway.tests.harness import SIGNED, make_answer
from tarragonway.gateway.tests.test_paced_choice import make_endpoints
from tarragonway.platform import names
from tarragonway.routing.engine_speed import EngineSpeeds
from tarragonway.routing.loads import LoadTracker

PROMPT = Prompt(2400, 100)


def make_chooser(rows, loads, slowdown):
    chooser = EndpointChooser(LoadTracker(), EngineSpeeds(), random.Random(1))
    for row, load in zip(rows, loads, strict=True):
        if slowdown is not None:
            chooser.paces.record_statement("s", row.key, slowdown, 0.0)
        chooser.record_load(row, Load(load, 0, row.slots, slowdown), 0.0)
    return chooser


def choose(chooser, rows, connected, prompt=PROMPT):
    choice = chooser.choose(rows, "s", prompt, 0.0, 630.0, connected)
    return choice.endpoint.key


# Guards against a new connection for each request where many endpoints are as good.
@pytest.mark.parametrize("slowdown", [None, 1.0])
def test_endpoint_with_an_open_connection_is_preferred_if_about_as_good(slowdown):
    rows = make_endpoints(40)
    chooser = make_chooser(rows, [12 if n == 30 else 10 for n in range(40)], slowdown)
    assert {choose(chooser, rows, ["e30"]) for _ in range(50)} == {"e30"}


# Guards against a slower answer for the sake of an open connection.
@pytest.mark.parametrize("slowdown", [None, 1.0])
def test_open_connection_to_a_busy_endpoint_is_not_preferred(slowdown):
    rows = make_endpoints(40)
    chooser = make_chooser(rows, [30 if n == 30 else 10 for n in range(40)], slowdown)
    assert "e30" not in {choose(chooser, rows, ["e30"]) for _ in range(50)}


# Guards against a gateway that sends everything to the endpoint where it has
# connections, until that one is full.
@pytest.mark.parametrize("slowdown", [None, 1.0])
def test_requests_leave_an_endpoint_that_fills_up(slowdown):
    rows = make_endpoints(40, slots=12)
    chooser = make_chooser(rows, [4] * 40, slowdown)
    at_first = 0
    for _ in range(60):
        choice = chooser.choose(rows, "s", PROMPT, 0.0, 630.0, ["e0"])
        chooser.record_send(choice)
        chooser.record_first_event(choice, choice.work_ms, 0.0)
        at_first += choice.endpoint.key == "e0"
    assert 1 <= at_first <= 8


# Guards against the loss of cached prompts: a prompt is computed again elsewhere.
@pytest.mark.parametrize("slowdown", [None, 1.0])
def test_open_connection_does_not_outweigh_a_cached_prompt(slowdown):
    rows = make_endpoints(40)
    chooser = make_chooser(rows, [10] * 40, slowdown)
    prompt = Prompt(2400, 9, (PromptPart("shared", 1000), PromptPart("own", 1400)))
    warm = {choose(chooser, rows, [], prompt) for _ in range(50)}
    assert len(warm) <= 2
    others = [row.key for row in rows if row.key not in warm]
    assert choose(chooser, rows, others, prompt) in warm
    if len(warm) == 2:
        assert choose(chooser, rows, [*others, max(warm)], prompt) == max(warm)


async def count_connections(harness, path, figures):
    """Send 24 requests one after the other; return the number of connections."""
    opened = 0

    async def serve(reader, writer):
        nonlocal opened
        opened += 1
        load = f"{names.LOAD.decode()}: {figures}\r\nKeep-Alive: timeout=5\r\n"
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(make_answer(extra=SIGNED + load)[0])
        except (EOFError, ConnectionError):
            writer.close()

    for number in range(8):
        port = harness.ports()
        await asyncio.start_server(serve, "127.0.0.1", port)
        name = f"e{number}"
        row = ListedEndpoint(name, name, "s", f"127.0.0.1:{port}", "a", 4, False)
        harness.state.endpoints.apply_delta([row], [])
    for _ in range(24):
        assert b" 200 " in await harness.ask(path)
    return opened


# Guards against decisions that never reach the requests.
async def test_retryable_requests_use_open_connections_again(harness):
    assert await count_connections(harness, "/read/x", "0,0,4,100") <= 3


# Guards against a changed order of endpoints where they state no slowdown and the
# gateway's own figures give no reason.
async def test_without_slowdowns_connections_do_not_matter(harness):
    assert await count_connections(harness, "/read/x", "0,0,4") >= 5


# Guards against at-most-once requests on connections that may have ended unnoticed.
async def test_at_most_once_requests_keep_fresh_connections(harness):
    assert await count_connections(harness, "/once/x", "0,0,4,100") == 24
