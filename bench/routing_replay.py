"""Replay of a load pattern on engine models behind several gateways.

Each gateway chooses endpoints by itself and sees only the answers to its own requests,
as in a deployment. Time is virtual.
"""

import random
from collections.abc import Callable, Sequence

import msgspec

from bench.engine_model import EngineModel, EngineRequest, EngineTiming
from tarragonway.core.ids import ServiceName, ZoneName
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import EngineSpeed, Load, Prompt, PromptPart
from tarragonway.gateway.choice import Choice, EndpointChooser
from tarragonway.routing.engine_speed import EngineSpeeds
from tarragonway.routing.loads import LoadTracker

SERVICE = ServiceName("llm")


class RequestKind(msgspec.Struct, frozen=True):
    """A kind of requests: its rate, sizes and latency objective.

    ``prompt_tokens`` is the median of a log-normal distribution with the standard
    deviation ``spread`` of the logarithm.
    """

    name: str
    per_s: float
    prompt_tokens: int
    spread: float
    output_tokens: int
    objective_ms: float
    max_prompt_tokens: int = 50_000


class _Sent(msgspec.Struct):
    kind: RequestKind
    request: EngineRequest
    choice: Choice
    chooser: EndpointChooser
    began: bool = False


class ReplayResult(msgspec.Struct):
    """Requests by kind, and how many of them began within their objective."""

    sent: dict[str, int] = {}
    on_time: dict[str, int] = {}

    def compute_on_time(self, name: str) -> float:
        """Return the fraction of a kind's requests that began in time."""
        return self.on_time.get(name, 0) / max(1, self.sent.get(name, 0))


def replay(
    kinds: Sequence[RequestKind],
    timing: EngineTiming,
    engines: int,
    gateways: int,
    length_s: float,
    seed: int,
    make_chooser: Callable[[EngineSpeeds, random.Random], EndpointChooser]
    | None = None,
) -> ReplayResult:
    """Replay a random load and return how many requests began in time.

    Parameters
    ----------
    kinds : sequence of RequestKind
        The load of all gateways together.
    timing : EngineTiming
        Speed of each engine.
    engines, gateways : int
        Their numbers.
    length_s : float
        Duration in seconds.
    seed : int
        Seed of arrivals, sizes and choices.
    make_chooser : callable
        Returns the chooser of a gateway; :class:`EndpointChooser` by default.
    """
    source = random.Random(seed)
    speeds = EngineSpeeds()
    speeds.set_shared({SERVICE: describe_speed(timing)})
    make = make_chooser or make_default_chooser
    choosers = [make(speeds, random.Random(seed + n)) for n in range(gateways)]
    rows = [_make_row(n, timing) for n in range(engines)]
    models = {row.key: EngineModel(timing) for row in rows}
    result = ReplayResult({}, {})
    under_way: list[_Sent] = []
    now_s = 0.0
    rate = sum(kind.per_s for kind in kinds)
    while now_s < length_s:
        now_s += source.expovariate(rate)
        for model in models.values():
            model.run_until(now_s * 1000)
        under_way = _report_progress(under_way, models, now_s, result)
        kind = source.choices(kinds, [kind.per_s for kind in kinds])[0]
        prompt = _draw_prompt(kind, source)
        chooser = source.choice(choosers)
        choice = chooser.choose(rows, SERVICE, prompt, (), now_s)
        assert choice is not None
        chooser.record_send(choice)
        request = EngineRequest(now_s * 1000, prompt.input_tokens, kind.output_tokens)
        models[choice.endpoint.key].submit(request)
        result.sent[kind.name] = result.sent.get(kind.name, 0) + 1
        under_way.append(_Sent(kind, request, choice, chooser))
    for model in models.values():
        model.run_until((now_s + 60) * 1000)
    _report_progress(under_way, models, now_s + 60, result)
    return result


def describe_speed(timing: EngineTiming) -> EngineSpeed:
    """Return the speed that gateways fit to such engines."""
    return EngineSpeed(
        timing.prompt_token_ms, timing.step_ms, timing.step_request_ms, 4.0, 1.0
    )


def make_default_chooser(
    speeds: EngineSpeeds, source: random.Random
) -> EndpointChooser:
    """Return a chooser without any load yet."""
    return EndpointChooser(LoadTracker(), speeds, source)


def _make_row(number: int, timing: EngineTiming) -> ListedEndpoint:
    name = f"e{number}"
    zone = ZoneName("a")
    return ListedEndpoint(
        name, name, SERVICE, f"127.0.0.1:{number}", zone, timing.slots, False
    )


def _draw_prompt(kind: RequestKind, source: random.Random) -> Prompt:
    tokens = int(kind.prompt_tokens * source.lognormvariate(0.0, kind.spread))
    tokens = max(20, min(kind.max_prompt_tokens, tokens))
    parts = (PromptPart(f"{source.getrandbits(32):x}", tokens),)
    return Prompt(tokens, kind.output_tokens, parts)


def _report_progress(
    under_way: list[_Sent],
    models: dict[str, EngineModel],
    now_s: float,
    result: ReplayResult,
) -> list[_Sent]:
    """Tell the gateways what has begun or ended; return what is still under way."""
    left = []
    for sent in under_way:
        times_ms = sent.request.token_times_ms
        if times_ms and not sent.began:
            sent.began = True
            taken_ms = times_ms[0] - sent.request.at_ms
            key = sent.choice.endpoint.key
            load = Load(models[key].load, 0, sent.choice.endpoint.slots)
            sent.chooser.record_load(key, load)
            sent.chooser.record_first_event(sent.choice, taken_ms, times_ms[0] / 1000)
            if taken_ms <= sent.kind.objective_ms:
                name = sent.kind.name
                result.on_time[name] = result.on_time.get(name, 0) + 1
        if len(times_ms) >= sent.request.output_tokens:
            sent.chooser.record_completion(sent.choice, True, False, now_s)
        else:
            left.append(sent)
    return left
