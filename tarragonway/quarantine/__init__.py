"""Quarantine of contents and prompt parts that crash the endpoints that run them."""

from tarragonway.quarantine.begun_parts import BegunParts
from tarragonway.quarantine.parts import HeldPart, PartQuarantine, ProbeId
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
    "BegunParts",
    "CrashRecorded",
    "EndProbation",
    "HeldPart",
    "PartQuarantine",
    "ProbationAnswer",
    "ProbationEnded",
    "ProbeId",
    "QuarantineStore",
    "ReportCrash",
    "TakeProbation",
]
