"""Requests and answers in types that are independent of the platform."""

from tarragonway.exchange.engine_speed import (
    PRIOR_SPEED,
    EngineSpeed,
    combine_speeds,
    limit_rise,
)
from tarragonway.exchange.model import (
    MAX_REQUESTS,
    MAX_TOKENS,
    CallerRequest,
    ForwardContext,
    Load,
    Prompt,
    PromptPart,
    ResponseInfo,
)

__all__ = [
    "MAX_REQUESTS",
    "MAX_TOKENS",
    "PRIOR_SPEED",
    "CallerRequest",
    "EngineSpeed",
    "ForwardContext",
    "Load",
    "Prompt",
    "PromptPart",
    "ResponseInfo",
    "combine_speeds",
    "limit_rise",
]
