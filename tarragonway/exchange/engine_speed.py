"""Speed of model engines."""

import statistics
from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

SpeedTerm = Annotated[float, Meta(ge=0, le=1e9)]


class EngineSpeed(msgspec.Struct, frozen=True, array_like=True):
    """Speed of one engine of a service.

    A step produces one output token for each running request. ``step_ms`` is its fixed
    time and ``step_request_ms`` the time that each running request adds, both in
    milliseconds. ``prompt_token_ms`` is the time to process one prompt token that is
    not cached. ``running_request_ms`` is the delay of a request's first event that each
    other running request adds on average. ``output_fraction`` is the fraction of the
    requested maximum of output tokens that answers contain on average.

    Examples
    --------
    >>> speed = EngineSpeed(0.01, 3.0, 0.1, 4.0, 0.5)
    >>> round(speed.compute_work_s(10_000, 200, batch=10), 3)
    0.14
    """

    prompt_token_ms: SpeedTerm
    step_ms: SpeedTerm
    step_request_ms: SpeedTerm
    running_request_ms: SpeedTerm
    output_fraction: SpeedTerm

    def compute_work_s(
        self, prompt_tokens: float, output_tokens: float, batch: int
    ) -> float:
        """Return the engine time in seconds that a request takes.

        Parameters
        ----------
        prompt_tokens, output_tokens : float
            Prompt tokens and the maximum of output tokens.
        batch : int
            Number of requests that share the engine's steps, at least 1.
        """
        output_token_ms = self.step_ms / batch + self.step_request_ms
        output_tokens *= self.output_fraction
        return (
            prompt_tokens * self.prompt_token_ms + output_tokens * output_token_ms
        ) / 1000


# Assumed until enough answers have been measured.
PRIOR_SPEED = EngineSpeed(0.018, 3.0, 0.1, 4.0, 0.5)
# Waiting inflates the measured times while engines are overloaded, so an estimate may
# rise only by this factor per second. It may fall at once.
MAX_RISE_PER_S = 1.03
# After a longer time, a rise counts as one during this time.
MAX_RISE_S = 3600.0


def combine_speeds(speeds: Iterable[EngineSpeed]) -> EngineSpeed:
    """Return the median of each field; there must be at least one speed.

    Examples
    --------
    >>> speeds = [EngineSpeed(n, 1.0, 0.1, 4.0, 0.5) for n in (0.1, 0.2, 9.0)]
    >>> combine_speeds(speeds) == speeds[1]
    True
    """
    columns = zip(*(msgspec.structs.astuple(speed) for speed in speeds), strict=True)
    return EngineSpeed(*(statistics.median(column) for column in columns))


def limit_rise(
    previous: EngineSpeed, current: EngineSpeed, elapsed_s: float
) -> EngineSpeed:
    """Return the current speed, with times that depend on waiting bounded.

    Examples
    --------
    >>> before = EngineSpeed(0.01, 1.0, 0.1, 4.0, 0.5)
    >>> after = EngineSpeed(0.03, 1.0, 0.1, 2.0, 0.5)
    >>> limited = limit_rise(before, after, 1.0)
    >>> limited.prompt_token_ms, limited.running_request_ms
    (0.0103, 2.0)
    """
    factor = MAX_RISE_PER_S ** min(elapsed_s, MAX_RISE_S)
    return msgspec.structs.replace(
        current,
        prompt_token_ms=min(current.prompt_token_ms, previous.prompt_token_ms * factor),
        running_request_ms=min(
            current.running_request_ms, previous.running_request_ms * factor
        ),
    )
