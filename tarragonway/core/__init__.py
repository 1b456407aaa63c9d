"""Identifiers, outcomes, errors, counters and logs that all packages use."""

from tarragonway.core.errors import InvariantError, SettingsError, TarragonwayError
from tarragonway.core.outcomes import Outcome, Refusal, RefusalReason

__all__ = [
    "InvariantError",
    "Outcome",
    "Refusal",
    "RefusalReason",
    "SettingsError",
    "TarragonwayError",
]
