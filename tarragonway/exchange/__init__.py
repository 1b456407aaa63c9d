"""What is read from requests and answers, in the product's own words."""

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
