"""Quarantine of request contents that crash the endpoints that run them."""

from tarragonway.quarantine.store import (
    CrashRecorded,
    EndProbation,
    ProbationAnswer,
    ProbationEnded,
    QuarantineStore,
    ReportCrash,
    TakeProbation,
)

__all__ = [
    "CrashRecorded",
    "EndProbation",
    "ProbationAnswer",
    "ProbationEnded",
    "QuarantineStore",
    "ReportCrash",
    "TakeProbation",
]
