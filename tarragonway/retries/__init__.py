"""Retry budget, which keeps retries from multiplying the load during failures."""

from tarragonway.retries.budget import RetryBudget

__all__ = ["RetryBudget"]
