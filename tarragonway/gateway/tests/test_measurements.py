from tarragonway.gateway.tests.harness import SIGNED, make_answer
from tarragonway.platform import names


def state_load(figures):
    load = f"{names.LOAD.decode()}: {figures}\r\n"
    return f"{SIGNED}{load}Connection: close\r\n"


# Guards against answers whose slowdown reaches neither the choice nor the leader.
async def test_answers_with_four_figures_teach_slowdown_and_service_time(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.choose = lambda head: make_answer(extra=state_load("1,0,4,250"))
    paces = harness.chooser.paces
    before_ms = harness.chooser.service_times.get("s")
    for _ in range(3):
        assert b"200" in await harness.ask("/read/x")
    assert paces.get_usual("e1") == 2.5
    assert harness.chooser.service_times.get("s") < before_ms
    row = paces.take_report()["s"]["e1"]
    assert (row.slowdown, row.statements) == (250, 3)


# Guards against fast error responses that make an endpoint look quick.
async def test_failures_teach_no_service_time(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.choose = lambda head: make_answer(500, extra=state_load("1,0,4,100"))
    before_ms = harness.chooser.service_times.get("s")
    for _ in range(3):
        await harness.ask("/single/x")
    assert harness.chooser.service_times.get("s") == before_ms
    assert harness.chooser.paces.take_report()["s"]["e1"].times == 0


# Guards against paces in deployments whose endpoints report three figures.
async def test_answers_with_three_figures_teach_no_pace(harness):
    endpoint = await harness.add(harness.ports())
    endpoint.choose = lambda head: make_answer(extra=state_load("1,0,4"))
    for _ in range(3):
        assert b"200" in await harness.ask("/read/x")
    assert not harness.chooser.paces.has_paces("s")
    assert harness.chooser.paces.take_report() == {}
