"""Requests and answers in types that are independent of the platform."""

from tarragonway.exchange.model import (
    AnswerFacts,
    CallerRequest,
    Dispatch,
    Load,
    Prompt,
    PromptPart,
)

__all__ = [
    "AnswerFacts",
    "CallerRequest",
    "Dispatch",
    "Load",
    "Prompt",
    "PromptPart",
]
