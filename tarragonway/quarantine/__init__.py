"""Quarantine of request contents that crash the endpoints that run them."""

from tarragonway.quarantine.book import (
    CrashRecorded,
    EndProbation,
    ProbationAnswer,
    ProbationEnded,
    QuarantineBook,
    ReportCrash,
    TakeProbation,
)

__all__ = [
    "CrashRecorded",
    "EndProbation",
    "ProbationAnswer",
    "ProbationEnded",
    "QuarantineBook",
    "ReportCrash",
    "TakeProbation",
]
