"""Speed of a service's model engines, estimated from the answers to requests.

The platform publishes no speeds, engines of several services differ, and engines slow
down under load. Each gateway fits a model to the answers that it sees. The leader
combines the fits of all gateways, so that a restarted gateway has an estimate at once.
"""

import collections
import statistics
from collections.abc import Mapping, Sequence

from tarragonway.core.ids import ServiceName
from tarragonway.exchange import PRIOR_SPEED, EngineSpeed, limit_rise

# Number of latest measurements of each kind that a fit uses.
RETAINED_SAMPLES = 200
# Fits with fewer measurements are not used.
MIN_SAMPLES = 24
# Number of new measurements after which a fit is computed again.
REFIT_INTERVAL_SAMPLES = 8
# Shorter prompts are dominated by other delays and tell nothing about reading speed.
MIN_PROMPT_TOKENS = 200
# Most requests wait for others, so the time of an unhindered one is a low quantile.
UNHINDERED_QUANTILE = 0.25
# A stream with fewer pauses between events tells too little about its engine's steps.
MIN_PAUSES = 4
MIN_PROMPT_TOKEN_MS = 1e-4
MAX_PROMPT_TOKEN_MS = 1.0
MIN_STEP_MS = 0.05
# Where the mean loads of the lower and the upper half of the steps differ by fewer
# running requests, the slope is mostly noise divided by a small number, and the work
# of a request on a full engine is almost proportional to the slope.
MIN_LOAD_SPREAD = 2.0
MAX_RUNNING_REQUEST_MS = 50.0


class SpeedFit:
    """Fit of an :class:`EngineSpeed` to the latest answers of one service."""

    def __init__(self) -> None:
        self._first_events: collections.deque[tuple[float, float, float]] = (
            collections.deque(maxlen=RETAINED_SAMPLES)
        )
        self._steps: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=RETAINED_SAMPLES
        )
        self._outputs: collections.deque[tuple[int, int]] = collections.deque(
            maxlen=RETAINED_SAMPLES
        )
        self._unfitted = 0
        self._speed: EngineSpeed | None = None

    def record_first_event(
        self, prompt_tokens: float, running: float, taken_ms: float
    ) -> None:
        """Record the time until a first event.

        Parameters
        ----------
        prompt_tokens : float
            Tokens of the prompt that were probably not cached.
        running : float
            Other requests that ran on the engine.
        taken_ms : float
            Time since the send in milliseconds.
        """
        if prompt_tokens >= MIN_PROMPT_TOKENS:
            self._first_events.append((prompt_tokens, running, taken_ms))
            self._unfitted += 1

    def record_stream(
        self,
        running: float,
        output_tokens: int,
        max_output_tokens: int,
        pauses_ms: Sequence[float],
        tokens_per_event: int,
    ) -> None:
        """Record a complete stream.

        Parameters
        ----------
        running : float
            Requests that ran on the engine, this one included.
        output_tokens, max_output_tokens : int
            Tokens that the stream contained, and the request's maximum.
        pauses_ms : sequence of float
            Pauses between consecutive events in milliseconds.
        tokens_per_event : int
            Output tokens that each event holds.
        """
        if max_output_tokens > 0:
            output_tokens = min(output_tokens, max_output_tokens)
            self._outputs.append((output_tokens, max_output_tokens))
        if len(pauses_ms) >= MIN_PAUSES:
            pause_ms = compute_quantile(pauses_ms, UNHINDERED_QUANTILE)
            self._steps.append((max(1.0, running), pause_ms / tokens_per_event))
            self._unfitted += 1

    def compute_speed(self) -> EngineSpeed | None:
        """Return the fitted speed, None while there are too few measurements.

        The fit is computed again after :data:`REFIT_INTERVAL_SAMPLES` new ones.
        """
        if self._unfitted >= REFIT_INTERVAL_SAMPLES:
            self._unfitted = 0
            self._speed = self._fit()
        return self._speed

    def _fit(self) -> EngineSpeed | None:
        if min(len(self._first_events), len(self._steps)) < MIN_SAMPLES:
            return None
        prompt_token_ms = self._fit_prompt_token_ms()
        waits = [
            (running, max(0.0, taken_ms - tokens * prompt_token_ms))
            for tokens, running, taken_ms in self._first_events
        ]
        _, running_request_ms = fit_line(waits, 0.5)
        step_ms, step_request_ms = fit_steps(list(self._steps))
        produced = sum(tokens for tokens, _ in self._outputs)
        maximum = sum(tokens for _, tokens in self._outputs)
        return EngineSpeed(
            prompt_token_ms,
            max(MIN_STEP_MS, step_ms),
            step_request_ms,
            min(MAX_RUNNING_REQUEST_MS, running_request_ms),
            produced / maximum if maximum else PRIOR_SPEED.output_fraction,
        )

    def _fit_prompt_token_ms(self) -> float:
        """Return the time per prompt token, from the longer half of the prompts."""
        median = statistics.median(tokens for tokens, _, _ in self._first_events)
        rates = [
            taken_ms / tokens
            for tokens, _, taken_ms in self._first_events
            if tokens >= median
        ]
        rate = compute_quantile(rates, UNHINDERED_QUANTILE)
        return min(MAX_PROMPT_TOKEN_MS, max(MIN_PROMPT_TOKEN_MS, rate))


class EngineSpeeds:
    """Speed of the engines of each service, as this gateway knows it.

    All gateways use the speeds that the leader has combined from their fits. Until the
    first ones arrive, that is :data:`PRIOR_SPEED`.

    Examples
    --------
    >>> EngineSpeeds().get("llm") == PRIOR_SPEED
    True
    """

    def __init__(self) -> None:
        self._fits: dict[ServiceName, SpeedFit] = {}
        self._shared: dict[ServiceName, EngineSpeed] = {}

    def get(self, service: ServiceName) -> EngineSpeed:
        """Return the speed of the service's engines."""
        return self._shared.get(service, PRIOR_SPEED)

    def get_fit(self, service: ServiceName) -> SpeedFit:
        """Return the fit of the service, which records measurements."""
        return self._fits.setdefault(service, SpeedFit())

    def list_fitted(self, elapsed_s: float) -> dict[ServiceName, EngineSpeed]:
        """Return the speeds that this gateway has fitted itself.

        Parameters
        ----------
        elapsed_s : float
            Seconds since the last call, which bound the rise beyond the speeds in use.
        """
        speeds = {service: fit.compute_speed() for service, fit in self._fits.items()}
        return {
            name: limit_rise(self.get(name), speed, elapsed_s)
            for name, speed in speeds.items()
            if speed is not None
        }

    def set_shared(self, speeds: Mapping[ServiceName, EngineSpeed]) -> None:
        """Replace the speeds that the leader has sent."""
        self._shared.update(speeds)


def compute_quantile(values: Sequence[float], quantile: float) -> float:
    """Return the value below which the fraction ``quantile`` of the values lies.

    Examples
    --------
    >>> compute_quantile([4.0, 1.0, 3.0, 2.0], 0.25)
    2.0
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def fit_line(
    points: Sequence[tuple[float, float]], quantile: float
) -> tuple[float, float]:
    """Return intercept and slope of a line through the ``quantile`` of y over x.

    The line connects the quantile of the half with the smaller x to that of the other
    half, so that single outliers have little effect. The slope is at least 0.

    Examples
    --------
    >>> fit_line([(1.0, 3.0), (2.0, 5.0), (3.0, 7.0), (4.0, 9.0)], 0.5)
    (2.0, 2.0)
    """
    ordered = sorted(points)
    middle = len(ordered) // 2
    (low_x, low_y), (high_x, high_y) = (
        (statistics.mean(x for x, _ in half), compute_quantile(ys, quantile))
        for half in (ordered[:middle], ordered[middle:])
        for ys in [[y for _, y in half]]
    )
    if high_x <= low_x or high_y <= low_y:
        return min(low_y, high_y), 0.0
    slope = (high_y - low_y) / (high_x - low_x)
    if low_y < slope * low_x:
        # The steepest line with an intercept that is not negative.
        return 0.0, high_y / high_x
    return low_y - slope * low_x, slope


def fit_steps(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return the fixed time of a step and the time that each running request adds.

    Points of nearly equal loads do not tell these apart. They are then divided in the
    proportion of :data:`PRIOR_SPEED`.

    Parameters
    ----------
    points : sequence of tuple
        Running requests and time of a step in milliseconds.

    Examples
    --------
    >>> fit_steps([(1.0, 4.0), (1.0, 4.0), (9.0, 8.0), (9.0, 8.0)])
    (3.5, 0.5)
    >>> [round(value, 3) for value in fit_steps([(1.0, 6.2), (1.0, 6.2)])]
    [6.0, 0.2]
    """
    loads = sorted(load for load, _ in points)
    middle = len(loads) // 2
    spread = statistics.mean(loads[middle:]) - statistics.mean(loads[:middle])
    if spread >= MIN_LOAD_SPREAD:
        return fit_line(points, UNHINDERED_QUANTILE)
    usual = PRIOR_SPEED
    factor = compute_quantile(
        [
            taken_ms / (usual.step_ms + load * usual.step_request_ms)
            for load, taken_ms in points
        ],
        UNHINDERED_QUANTILE,
    )
    return usual.step_ms * factor, usual.step_request_ms * factor
