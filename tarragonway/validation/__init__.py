"""Validation of a routing configuration before an operator sends it."""

from tarragonway.validation.contradictions import RetryBounds, list_contradictions
from tarragonway.validation.differences import list_differences
from tarragonway.validation.findings import Finding, Severity
from tarragonway.validation.unused import list_unused

__all__ = [
    "Finding",
    "RetryBounds",
    "Severity",
    "list_contradictions",
    "list_differences",
    "list_unused",
]
