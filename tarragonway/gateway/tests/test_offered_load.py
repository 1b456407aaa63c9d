import pytest

from tarragonway.exchange import Prompt
from tarragonway.gateway.offered_load import SMOOTHING_WINDOW_S, OfferedLoadMeter
from tarragonway.routing.engine_speed import EngineSpeeds


# Guards against a negative load after a pause of the process: the leader adds it to the
# loads of the others, and refuses a report with one.
@pytest.mark.parametrize("pause_s", [1.0, SMOOTHING_WINDOW_S, 20.0, 1000.0])
def test_load_is_never_negative_after_a_pause(pause_s):
    meter = OfferedLoadMeter(EngineSpeeds())
    for step in range(80):
        meter.add("llm", Prompt(9000, 900), 64)
        meter.measure(step * 0.25)
    before = meter.measure(20.0)["llm"]
    assert before > 0
    for after_s in (0.0, 0.25, 5.0):
        rate = meter.measure(20.0 + pause_s + after_s)["llm"]
        assert 0 <= rate < before
        assert meter.request_rates["llm"] >= 0


# Guards against refused requests that cannot be told from those that endpoints took:
# the load pattern is that of a service without any endpoint left.
def test_refused_work_is_a_part_of_the_offered_load():
    meter = OfferedLoadMeter(EngineSpeeds())
    meter.measure(0.0)
    for step in range(1, 9):
        for is_refused in (True, False):
            work_s = meter.add("llm", Prompt(9000, 900), 64)
            if is_refused:
                meter.add_refused("llm", work_s)
        offered = meter.measure(step * 0.25)["llm"]
        assert meter.refused_rates["llm"] == pytest.approx(offered / 2, abs=1e-3)
