"""Learning the speed of engines that no constant describes.

The load pattern is that of a deployment with long and short prompts on engines of any
speed, with several gateways that each see a part of the answers.
"""

import itertools
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.engine_model import EngineModel, EngineRequest, EngineTiming
from tarragonway.exchange import PRIOR_SPEED, combine_speeds
from tarragonway.routing.engine_speed import (
    MIN_SAMPLES,
    EngineSpeeds,
    SpeedFit,
    fit_line,
    fit_steps,
)

TOKENS_PER_EVENT = 5
LONG_PROMPT_TOKENS = 12_000
SHORT_PROMPT_TOKENS = 1_500
# A plan of capacity tolerates an estimate of the work that is off by this factor.
MAX_ERROR_FACTOR = 2.0


def play(timing, utilization, seed, engines=4, requests=800):
    """Return the answered requests of a load that uses a fraction of the engines."""
    source = random.Random(seed)
    models = [EngineModel(timing) for _ in range(engines)]
    shapes = [(LONG_PROMPT_TOKENS, 300), (SHORT_PROMPT_TOKENS, 60)]
    weights = [0.3, 0.7]
    work_ms = sum(
        weight
        * (
            prompt * timing.prompt_token_ms
            + output * (timing.step_ms / timing.slots + timing.step_request_ms)
        )
        for weight, (prompt, output) in zip(weights, shapes, strict=True)
    )
    rate = engines * utilization / work_ms
    now_ms, played = 0.0, []
    for _ in range(requests):
        now_ms += source.expovariate(rate)
        prompt, output = source.choices(shapes, weights)[0]
        prompt = max(50, int(source.lognormvariate(0.0, 0.7) * prompt))
        for model in models:
            model.run_until(now_ms)
        model = min(models, key=lambda m: m.load)
        played.append(model.submit(EngineRequest(now_ms, prompt, output)))
    for model in models:
        model.run_until(now_ms + 120_000.0)
    return played


def fit(played):
    result = SpeedFit()
    for request in played:
        result.record_first_event(
            request.prompt_tokens,
            request.running_at_start,
            request.token_times_ms[0] - request.at_ms,
        )
        events = request.token_times_ms[::TOKENS_PER_EVENT]
        pauses = [b - a for a, b in itertools.pairwise(events)]
        result.record_stream(
            request.running_at_start + 1,
            request.output_tokens,
            2 * request.output_tokens,
            pauses,
            TOKENS_PER_EVENT,
        )
    return result.compute_speed()


def compute_errors(speed, timing):
    """Return by which factors the work of a long and of a short request is off."""
    errors = []
    for prompt, output in ((LONG_PROMPT_TOKENS, 300), (SHORT_PROMPT_TOKENS, 60)):
        output_ms = timing.step_ms / timing.slots + timing.step_request_ms
        true_s = (prompt * timing.prompt_token_ms + output * output_ms) / 1000
        ratio = speed.compute_work_s(prompt, 2 * output, timing.slots) / true_s
        errors.append(max(ratio, 1 / ratio))
    return errors


@settings(max_examples=25, deadline=None)
@given(
    st.floats(0.004, 0.06),
    st.floats(1.5, 12.0),
    st.floats(0.01, 0.2),
    st.sampled_from([16, 32, 48, 64]),
    st.integers(0, 99),
)
def test_work_on_engines_of_any_speed_is_estimated(
    prompt_token_ms, step_ms, step_request_ms, slots, seed
):
    timing = EngineTiming(slots, 2048, step_ms, step_request_ms, prompt_token_ms)
    speed = fit(play(timing, 0.4, seed))
    assert max(compute_errors(speed, timing)) <= MAX_ERROR_FACTOR
    assert speed.output_fraction == pytest.approx(0.5)


@pytest.mark.parametrize("prompt_token_ms", [1 / 85.2, 1 / 20, 1 / 200])
def test_fit_is_closer_than_the_constants_of_one_engine(prompt_token_ms):
    timing = EngineTiming(prompt_token_ms=prompt_token_ms)
    speed = fit(play(timing, 0.4, 1))
    errors = compute_errors(speed, timing)
    assert max(errors) < max(compute_errors(PRIOR_SPEED, timing))


def test_median_of_gateways_is_as_good_as_one_that_sees_everything():
    timing = EngineTiming()
    played = play(timing, 0.4, 3, requests=1600)
    parts = [fit(played[n::8]) for n in range(8)]
    errors = compute_errors(combine_speeds(parts), timing)
    assert max(errors) <= MAX_ERROR_FACTOR


def test_speeds_rise_slowly_while_engines_are_overloaded_and_fall_at_once():
    """Waiting inflates what gateways measure during a burst.

    The speeds in use outlive a change of leader, since each gateway has them.
    """
    speeds = EngineSpeeds()
    in_use = PRIOR_SPEED

    def report(prompt_token_ms, elapsed_s):
        nonlocal in_use
        fitted = msgspec.structs.replace(
            PRIOR_SPEED, prompt_token_ms=prompt_token_ms, running_request_ms=2.0
        )
        speeds.get_fit("llm")._speed = fitted
        in_use = speeds.list_fitted(elapsed_s)["llm"]
        speeds.set_shared({"llm": in_use})
        return in_use.prompt_token_ms

    assert report(0.01, 2.0) == 0.01
    assert report(0.05, 2.0) < 0.011
    for _ in range(4):
        report(0.05, 2.0)
    assert in_use.prompt_token_ms < 0.014
    for _ in range(30):
        report(0.05, 2.0)
    assert in_use.prompt_token_ms == 0.05
    assert report(0.01, 2.0) == 0.01


def test_few_answers_give_no_fit():
    played = play(EngineTiming(), 0.4, 1, requests=MIN_SAMPLES // 2)
    assert fit(played) is None


def test_line_is_bounded_for_scattered_points():
    assert fit_line([(1.0, 9.0), (1.0, 9.0), (2.0, 3.0), (2.0, 3.0)], 0.5) == (3.0, 0.0)
    assert fit_line([(1.0, 0.0), (2.0, 8.0)], 0.5) == (0.0, 4.0)


# Guards against a need that is overestimated tenfold: the load pattern is that of
# engines with 64 slots whose loads are unknown, so that each seems to run one or two.
@pytest.mark.parametrize("noise", [0.02, 0.1, 0.3])
def test_steps_of_few_distinct_loads_give_no_steep_slope(noise):
    source = random.Random(1)
    points = [
        (source.choice((1.0, 1.0, 1.0, 2.0)), 3.0 * (1 + noise * source.random()))
        for _ in range(200)
    ]
    step_ms, request_ms = fit_steps(points)
    assert request_ms <= 1.5 * PRIOR_SPEED.step_request_ms
    assert step_ms + request_ms <= 3.0 * (1 + noise)
