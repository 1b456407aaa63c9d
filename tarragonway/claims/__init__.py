"""Claims: replicated records that let a non-idempotent call run at most once."""

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
from tarragonway.claims.store import ClaimStore, Retention

__all__ = [
    "Answer",
    "BodyMismatch",
    "ClaimCall",
    "ClaimGranted",
    "ClaimHeld",
    "ClaimRecord",
    "ClaimState",
    "ClaimStore",
    "QueryCall",
    "ResolveAccepted",
    "ResolveCall",
    "ResolveRefused",
    "Retention",
    "RetireOwner",
]
