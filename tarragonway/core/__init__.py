"""Identifiers, outcomes, errors, codec and counters that every slice builds on."""

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
