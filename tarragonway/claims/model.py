"""Commands on claims, their results, and the record of one claim."""

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
    """State of a claim; a key without a record is absent.

    ``CLAIMED`` can change to any other state. ``UNKNOWN`` can still change to ``DONE``
    or ``NOT_RUN`` when the process that holds the claim reports the outcome.
    """

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Answer(msgspec.Struct, frozen=True):
    """Complete answer of a service, stored for resends of the call."""

    status: int
    content_type: str
    body: bytes


class ClaimRecord(msgspec.Struct, frozen=True):
    """Record of one key of a client account."""

    state: ClaimState
    attempt: AttemptId
    owner: ProcessName
    incarnation: Incarnation
    fingerprint: Fingerprint
    changed_ms: int
    lease_ms: int = 0
    answer: Answer | None = None


class ClaimCall(msgspec.Struct, frozen=True, tag=True):
    """Request for the right to send a call; an attempt may repeat its request.

    ``fingerprint`` is a hash of the call's target and body. After ``lease_ms`` without
    a result, the claim becomes ``UNKNOWN``.
    """

    account: AccountId
    key: CallKey
    fingerprint: Fingerprint
    attempt: AttemptId
    owner: ProcessName
    incarnation: Incarnation
    lease_ms: int


class ResolveCall(msgspec.Struct, frozen=True, tag=True):
    """Report of how an attempt ended."""

    account: AccountId
    key: CallKey
    attempt: AttemptId
    state: ClaimState
    answer: Answer | None = None


class QueryCall(msgspec.Struct, frozen=True, tag=True):
    """Request for a key's state; an absent key becomes ``NOT_RUN`` permanently."""

    account: AccountId
    key: CallKey


class RetireOwner(msgspec.Struct, frozen=True, tag=True):
    """Report that all former incarnations of an entry process have ended."""

    owner: ProcessName
    incarnation: Incarnation


class ClaimGranted(msgspec.Struct, frozen=True, tag=True):
    """The attempt may send the call."""

    attempt: AttemptId


class ClaimHeld(msgspec.Struct, frozen=True, tag=True):
    """The key has a record; nothing may be sent."""

    record: ClaimRecord


class BodyMismatch(msgspec.Struct, frozen=True, tag=True):
    """The key was used before for a different call."""


class ResolveAccepted(msgspec.Struct, frozen=True, tag=True):
    """The result was recorded, now or earlier."""


class ResolveRefused(msgspec.Struct, frozen=True, tag=True):
    """The record does not allow this result."""

    record: ClaimRecord | None
