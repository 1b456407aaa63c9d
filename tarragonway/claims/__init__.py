"""Claims: replicated records that let a non-idempotent call run at most once."""

from tarragonway.claims.book import ClaimBook, Retention
from tarragonway.claims.model import (
    Answer,
    BodyMismatch,
    ClaimCall,
    ClaimGranted,
    ClaimHeld,
    ClaimRecord,
    ClaimState,
    QueryCall,
    ResolveAccepted,
    ResolveCall,
    ResolveRefused,
    RetireOwner,
)

__all__ = [
    "Answer",
    "BodyMismatch",
    "ClaimBook",
    "ClaimCall",
    "ClaimGranted",
    "ClaimHeld",
    "ClaimRecord",
    "ClaimState",
    "QueryCall",
    "ResolveAccepted",
    "ResolveCall",
    "ResolveRefused",
    "Retention",
    "RetireOwner",
]
