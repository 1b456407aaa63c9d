"""The replicated state of all claims."""

import msgspec

from tarragonway.claims.model import (
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
from tarragonway.core.ids import (
    AccountId,
    AttemptId,
    CallKey,
    Fingerprint,
    Incarnation,
    ProcessName,
)

PRUNE_LIMIT_RECORDS = 4

_NOBODY = (ProcessName(""), Incarnation(""))


class Retention(msgspec.Struct, frozen=True):
    """How long answers, and then the records without them, are kept.

    Within ``record_ms`` a resend is recognised and never runs again.
    """

    answer_ms: int = 86_400_000
    record_ms: int = 30 * 86_400_000


class ClaimBook(msgspec.Struct):
    """Claims by client account and key.

    ``owners`` holds the latest registered start of each entry process. The other
    dictionaries are ordered by the time of the last change, so that pruning looks
    at the oldest records only. The content depends on nothing but the commands and
    their times, so that it is equal on all replicas.

    Examples
    --------
    >>> book = ClaimBook()
    >>> book.query(QueryCall(AccountId("a"), CallKey("k")), 5).record.state
    <ClaimState.NOT_RUN: 'not_run'>
    """

    records: dict[str, ClaimRecord] = {}
    tombstones: dict[str, ClaimRecord] = {}
    retention: Retention = Retention()
    owners: dict[ProcessName, Incarnation] = {}

    def claim(
        self, call: ClaimCall, now_ms: int
    ) -> ClaimGranted | ClaimHeld | BodyMismatch:
        """Grant the call to its attempt if the key is absent."""
        self._prune(now_ms)
        record = self._look_up(call.account, call.key, now_ms)
        if record is None:
            self._store(
                call.account,
                call.key,
                ClaimRecord(
                    ClaimState.CLAIMED,
                    call.attempt,
                    call.owner,
                    call.incarnation,
                    call.fingerprint,
                    now_ms,
                    call.lease_ms,
                ),
            )
            return ClaimGranted(call.attempt)
        if record.attempt == call.attempt and record.state is ClaimState.CLAIMED:
            return ClaimGranted(call.attempt)
        # A key closed by a status question has no body to compare with.
        if record.fingerprint and record.fingerprint != call.fingerprint:
            return BodyMismatch()
        return ClaimHeld(record)

    def resolve(
        self, call: ResolveCall, now_ms: int
    ) -> ResolveAccepted | ResolveRefused:
        """Record an attempt's result."""
        self._prune(now_ms)
        record = self._look_up(call.account, call.key, now_ms)
        if record is None or record.attempt != call.attempt:
            return ResolveRefused(record)
        if record.state is call.state:
            return ResolveAccepted()
        if record.state not in (ClaimState.CLAIMED, ClaimState.UNKNOWN):
            return ResolveRefused(record)
        if call.state is ClaimState.CLAIMED:
            return ResolveRefused(record)
        changed = msgspec.structs.replace(
            record, state=call.state, answer=call.answer, changed_ms=now_ms
        )
        self._store(call.account, call.key, changed)
        return ResolveAccepted()

    def query(self, call: QueryCall, now_ms: int) -> ClaimHeld:
        """Return the state of a key, and close the key if it is absent."""
        self._prune(now_ms)
        record = self._look_up(call.account, call.key, now_ms)
        if record is None:
            record = ClaimRecord(
                ClaimState.NOT_RUN, AttemptId(""), *_NOBODY, Fingerprint(""), now_ms
            )
            self._store(call.account, call.key, record)
        return ClaimHeld(record)

    def retire(self, command: RetireOwner, now_ms: int) -> ResolveAccepted:
        """Turn the open claims of an owner's former incarnations into unknown."""
        self.owners[command.owner] = command.incarnation
        for name, record in list(self.records.items()):
            is_open = record.state is ClaimState.CLAIMED
            is_former = record.incarnation != command.incarnation
            if is_open and is_former and record.owner == command.owner:
                self._move(name, _make_unknown(record, now_ms))
        return ResolveAccepted()

    def _look_up(
        self, account: AccountId, key: CallKey, now_ms: int
    ) -> ClaimRecord | None:
        name = _join(account, key)
        record = self.records.get(name) or self.tombstones.get(name)
        if record is None or record.state is not ClaimState.CLAIMED:
            return record
        if now_ms < record.changed_ms + record.lease_ms:
            return record
        record = _make_unknown(record, now_ms)
        self._move(name, record)
        return record

    def _store(self, account: AccountId, key: CallKey, record: ClaimRecord) -> None:
        self._move(_join(account, key), record)

    def _move(self, name: str, record: ClaimRecord) -> None:
        self.records.pop(name, None)
        self.tombstones.pop(name, None)
        self.records[name] = record

    def _prune(self, now_ms: int) -> None:
        """Drop the oldest answers and records, a few at each command."""
        for name, record in _take_oldest(self.records):
            if now_ms < record.changed_ms + self.retention.answer_ms:
                break
            del self.records[name]
            if record.state is ClaimState.CLAIMED:
                record = _make_unknown(record, now_ms)
            self.tombstones[name] = msgspec.structs.replace(record, answer=None)
        for name, record in _take_oldest(self.tombstones):
            if now_ms < record.changed_ms + self.retention.record_ms:
                break
            del self.tombstones[name]


def _take_oldest(records: dict[str, ClaimRecord]) -> list[tuple[str, ClaimRecord]]:
    pairs = zip(records.items(), range(PRUNE_LIMIT_RECORDS), strict=False)
    return [item for item, _ in pairs]


def _make_unknown(record: ClaimRecord, now_ms: int) -> ClaimRecord:
    return msgspec.structs.replace(record, state=ClaimState.UNKNOWN, changed_ms=now_ms)


def _join(account: AccountId, key: CallKey) -> str:
    return f"{account}/{key}"
