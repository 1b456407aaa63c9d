"""Commands on claims, their results and the record of one claim."""

import enum

import msgspec

from tarragonway.core.ids import (
    AccountId,
    AttemptId,
    CallKey,
    Fingerprint,
    Incarnation,
    ProcessName,
)


class ClaimState(enum.Enum):
    """Life of a claim; a key without a record is absent.

    ``CLAIMED`` leads to any other state; ``UNKNOWN`` may still become ``DONE`` or
    ``NOT_RUN`` when the process that holds the claim learns more.
    """

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Answer(msgspec.Struct, frozen=True):
    """A service's whole answer, kept for resends."""

    status: int
    content_type: str
    body: bytes


class ClaimRecord(msgspec.Struct, frozen=True):
    """State of one key of one client account."""

    state: ClaimState
    attempt: AttemptId
    owner: ProcessName
    incarnation: Incarnation
    fingerprint: Fingerprint
    changed_ms: int
    lease_ms: int = 0
    answer: Answer | None = None


class ClaimCall(msgspec.Struct, frozen=True, tag=True):
    """Asks for the right to send a call; the same attempt may ask again.

    After ``lease_ms`` without a result the claim's outcome is unknown to others.
    """

    account: AccountId
    key: CallKey
    fingerprint: Fingerprint
    attempt: AttemptId
    owner: ProcessName
    incarnation: Incarnation
    lease_ms: int


class ResolveCall(msgspec.Struct, frozen=True, tag=True):
    """Reports how an attempt ended."""

    account: AccountId
    key: CallKey
    attempt: AttemptId
    state: ClaimState
    answer: Answer | None = None


class QueryCall(msgspec.Struct, frozen=True, tag=True):
    """Asks for a key's state; an absent key becomes ``NOT_RUN`` for good."""

    account: AccountId
    key: CallKey


class RetireOwner(msgspec.Struct, frozen=True, tag=True):
    """States that all former incarnations of an entry process have ended."""

    owner: ProcessName
    incarnation: Incarnation


class ClaimGranted(msgspec.Struct, frozen=True, tag=True):
    """The attempt may send the call."""

    attempt: AttemptId


class ClaimHeld(msgspec.Struct, frozen=True, tag=True):
    """The key has a record; nothing may be sent."""

    record: ClaimRecord


class BodyMismatch(msgspec.Struct, frozen=True, tag=True):
    """The key was used for another body."""


class ResolveAccepted(msgspec.Struct, frozen=True, tag=True):
    """The result was recorded, now or earlier."""


class ResolveRefused(msgspec.Struct, frozen=True, tag=True):
    """The record does not allow this result."""

    record: ClaimRecord | None
