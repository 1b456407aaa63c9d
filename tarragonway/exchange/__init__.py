"""Requests and answers in types that are independent of the platform."""

from tarragonway.exchange.model import (
    CallerRequest,
    ForwardContext,
    Load,
    Prompt,
    PromptPart,
    ResponseInfo,
)

__all__ = [
    "CallerRequest",
    "ForwardContext",
    "Load",
    "Prompt",
    "PromptPart",
    "ResponseInfo",
]
