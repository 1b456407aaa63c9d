"""Quarantine of contents and prompt parts that crash the endpoints that run them."""

from tarragonway.quarantine.part_record import CONTINUED_S, PartCrash
from tarragonway.quarantine.part_times import PartTimes
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
    "CONTINUED_S",
    "CrashRecorded",
    "EndProbation",
    "HeldPart",
    "PartCrash",
    "PartQuarantine",
    "PartTimes",
    "ProbationAnswer",
    "ProbationEnded",
    "ProbeId",
    "QuarantineStore",
    "ReportCrash",
    "TakeProbation",
]
