"""The budget that keeps retries from multiplying a failure's load."""

from tarragonway.retries.budget import RetryBudget

__all__ = ["RetryBudget"]
