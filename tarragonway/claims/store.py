"""Replicated store of all claims."""

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

MAX_PRUNED_RECORDS = 4

_NO_OWNER = (ProcessName(""), Incarnation(""))


class Retention(msgspec.Struct, frozen=True):
    """Retention periods in milliseconds, counted from a record's last change.

    After ``answer_ms``, the answer is removed from the record. Within ``record_ms``, a
    resend of the call is recognised and does not run again.
    """

    answer_ms: int = 86_400_000
    record_ms: int = 30 * 86_400_000


class ClaimStore(msgspec.Struct):
    """Claims by client account and key.

    ``owners`` maps each entry process to its latest registered incarnation.
    ``tombstones`` are records whose answers have expired. Both dictionaries of records
    are ordered by the time of the last change, so that pruning examines only the oldest
    records. The content depends only on the commands and their times, so that it is
    equal on all replicas.

    Examples
    --------
    >>> store = ClaimStore()
    >>> store.query(QueryCall(AccountId("a"), CallKey("k")), 5).record.state
    <ClaimState.NOT_RUN: 'not_run'>
    """

    records: dict[str, ClaimRecord] = {}
    tombstones: dict[str, ClaimRecord] = {}
    retention: Retention = Retention()
    owners: dict[ProcessName, Incarnation] = {}

    def claim(
        self, call: ClaimCall, now_ms: int
    ) -> ClaimGranted | ClaimHeld | BodyMismatch:
        """Grant the call to its attempt if the key has no record yet."""
        self._prune(now_ms)
        record = self._get_current(call.account, call.key, now_ms)
        if record is None:
            self._put(
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
        # A key that was closed by a query has no fingerprint of a body to compare.
        if record.fingerprint and record.fingerprint != call.fingerprint:
            return BodyMismatch()
        return ClaimHeld(record)

    def resolve(
        self, call: ResolveCall, now_ms: int
    ) -> ResolveAccepted | ResolveRefused:
        """Record the result of an attempt."""
        self._prune(now_ms)
        record = self._get_current(call.account, call.key, now_ms)
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
        self._put(call.account, call.key, changed)
        return ResolveAccepted()

    def query(self, call: QueryCall, now_ms: int) -> ClaimHeld:
        """Return the state of a key; an absent key is recorded as not run."""
        self._prune(now_ms)
        record = self._get_current(call.account, call.key, now_ms)
        if record is None:
            record = ClaimRecord(
                ClaimState.NOT_RUN, AttemptId(""), *_NO_OWNER, Fingerprint(""), now_ms
            )
            self._put(call.account, call.key, record)
        return ClaimHeld(record)

    def retire(self, command: RetireOwner, now_ms: int) -> ResolveAccepted:
        """Set the open claims of an owner's former incarnations to unknown."""
        self.owners[command.owner] = command.incarnation
        for name, record in list(self.records.items()):
            is_open = record.state is ClaimState.CLAIMED
            is_former = record.incarnation != command.incarnation
            if is_open and is_former and record.owner == command.owner:
                self._put_newest(name, _make_unknown(record, now_ms))
        return ResolveAccepted()

    def _get_current(
        self, account: AccountId, key: CallKey, now_ms: int
    ) -> ClaimRecord | None:
        name = _make_record_name(account, key)
        record = self.records.get(name) or self.tombstones.get(name)
        if record is None or record.state is not ClaimState.CLAIMED:
            return record
        if now_ms < record.changed_ms + record.lease_ms:
            return record
        record = _make_unknown(record, now_ms)
        self._put_newest(name, record)
        return record

    def _put(self, account: AccountId, key: CallKey, record: ClaimRecord) -> None:
        self._put_newest(_make_record_name(account, key), record)

    def _put_newest(self, name: str, record: ClaimRecord) -> None:
        self.records.pop(name, None)
        self.tombstones.pop(name, None)
        self.records[name] = record

    def _prune(self, now_ms: int) -> None:
        """Remove a few of the oldest expired answers and records at each command."""
        for name, record in _list_oldest(self.records):
            if now_ms < record.changed_ms + self.retention.answer_ms:
                break
            del self.records[name]
            if record.state is ClaimState.CLAIMED:
                record = _make_unknown(record, now_ms)
            self.tombstones[name] = msgspec.structs.replace(record, answer=None)
        for name, record in _list_oldest(self.tombstones):
            if now_ms < record.changed_ms + self.retention.record_ms:
                break
            del self.tombstones[name]


def _list_oldest(records: dict[str, ClaimRecord]) -> list[tuple[str, ClaimRecord]]:
    pairs = zip(records.items(), range(MAX_PRUNED_RECORDS), strict=False)
    return [item for item, _ in pairs]


def _make_unknown(record: ClaimRecord, now_ms: int) -> ClaimRecord:
    return msgspec.structs.replace(record, state=ClaimState.UNKNOWN, changed_ms=now_ms)


def _make_record_name(account: AccountId, key: CallKey) -> str:
    return f"{account}/{key}"
