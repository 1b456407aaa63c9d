"""Replicated state machine, composed of the stores of several packages."""

import msgspec

from tarragonway.claims import (
    BodyMismatch,
    ClaimCall,
    ClaimGranted,
    ClaimHeld,
    ClaimStore,
    QueryCall,
    ResolveAccepted,
    ResolveCall,
    ResolveRefused,
    RetireOwner,
)
from tarragonway.core.decoding import decode_stored
from tarragonway.core.ids import Fingerprint
from tarragonway.endpoints import EndpointTable, MarkLeaving, ObserveEndpoints
from tarragonway.endpoints.model import EndpointsChanged
from tarragonway.fencing import (
    OrderLeaseBusy,
    OrderLeaseGranted,
    OrderLeaseStore,
    TakeOrderLease,
)
from tarragonway.lists.store import (
    ApplyLists,
    ListsApplied,
    ListsConflict,
    ListsRefused,
    ListStore,
)
from tarragonway.quarantine import (
    CrashRecorded,
    EndProbation,
    ProbationAnswer,
    ProbationEnded,
    QuarantineStore,
    ReportCrash,
    TakeProbation,
)
from tarragonway.requests.adoptions import (
    AdoptionGranted,
    AdoptionLost,
    AdoptionStore,
    AdoptRequest,
)
from tarragonway.state.view import (
    Change,
    EndpointChange,
    EndpointRemoval,
    ListsChange,
    OwnerChange,
    QuarantineChange,
    View,
)

Command = (
    ApplyLists
    | ClaimCall
    | ResolveCall
    | QueryCall
    | RetireOwner
    | ObserveEndpoints
    | MarkLeaving
    | TakeOrderLease
    | ReportCrash
    | TakeProbation
    | EndProbation
    | AdoptRequest
)

Result = (
    ListsApplied
    | ListsConflict
    | ListsRefused
    | ClaimGranted
    | ClaimHeld
    | BodyMismatch
    | ResolveAccepted
    | ResolveRefused
    | EndpointsChanged
    | OrderLeaseGranted
    | OrderLeaseBusy
    | CrashRecorded
    | ProbationAnswer
    | ProbationEnded
    | AdoptionGranted
    | AdoptionLost
)

MAX_RECENT_CHANGES = 2000


class StampedCommand(msgspec.Struct, frozen=True):
    """Command with the leader's wall-clock time, as written to the log."""

    now_ms: int
    command: Command


class _Content(msgspec.Struct):
    """Replicated state, as snapshots contain it."""

    now_ms: int = 0
    version: int = 0
    lists: ListStore = msgspec.field(default_factory=ListStore)
    claims: ClaimStore = msgspec.field(default_factory=ClaimStore)
    endpoints: EndpointTable = msgspec.field(default_factory=EndpointTable)
    fences: OrderLeaseStore = msgspec.field(default_factory=OrderLeaseStore)
    quarantine: QuarantineStore = msgspec.field(default_factory=QuarantineStore)
    adoptions: AdoptionStore = msgspec.field(default_factory=AdoptionStore)


_encoder = msgspec.msgpack.Encoder()
_stamped_decoder = msgspec.msgpack.Decoder(StampedCommand)
_content_decoder = msgspec.msgpack.Decoder(_Content)


def encode_command(command: Command, now_ms: int) -> bytes:
    """Return the log entry's payload for a command."""
    return _encoder.encode(StampedCommand(now_ms, command))


class StateMachine:
    """Applies committed commands in log order.

    Equal logs give equal content. The time is taken from the commands and never goes
    backwards, even if a leader's clock is behind that of an earlier leader.
    """

    def __init__(self) -> None:
        self.content = _Content()
        self._recent: list[tuple[int, Change]] = []

    def encode_command(self, command: Command, now_ms: int) -> bytes:
        """Return the log entry's payload for a command."""
        return encode_command(command, now_ms)

    def apply_payload(self, payload: bytes) -> Result:
        """Apply one committed log entry."""
        stamped = decode_stored(_stamped_decoder, payload, "a log entry")
        return self.apply(stamped.command, stamped.now_ms)

    def apply(self, command: Command, stamp_ms: int) -> Result:
        """Apply one command at the given time."""
        content = self.content
        content.now_ms = max(content.now_ms, stamp_ms)
        now_ms = content.now_ms
        for message in content.quarantine.expire_holds(now_ms):
            self._record_quarantine_change(message)
        match command:
            case ClaimCall():
                return content.claims.claim(command, now_ms)
            case ResolveCall():
                return content.claims.resolve(command, now_ms)
            case QueryCall():
                return content.claims.query(command, now_ms)
            case RetireOwner():
                return content.claims.retire(command, now_ms)
            case TakeOrderLease():
                return content.fences.take(command, now_ms)
            case TakeProbation():
                return content.quarantine.handle_take_probation(command, now_ms)
            case _:
                return self._apply_view_command(command, now_ms)

    def _apply_view_command(
        self,
        command: ApplyLists
        | ObserveEndpoints
        | MarkLeaving
        | ReportCrash
        | EndProbation
        | AdoptRequest,
        now_ms: int,
    ) -> Result:
        """Apply a command that may change the view of the entry processes."""
        content = self.content
        result: Result
        match command:
            case ApplyLists():
                before = content.lists.revision
                result = content.lists.apply(command)
                if content.lists.revision != before:
                    self._record_lists_change()
            case ObserveEndpoints():
                result = content.endpoints.observe(command, now_ms)
                self._record_endpoint_changes(result)
            case MarkLeaving():
                result = content.endpoints.mark(command, now_ms)
                self._record_endpoint_changes(result)
            case ReportCrash():
                result = content.quarantine.handle_crash(command, now_ms)
                self._record_quarantine_changes(command)
            case EndProbation():
                result = content.quarantine.handle_end_probation(command, now_ms)
                self._record_quarantine_changes(command)
            case AdoptRequest(request, epoch, owner):
                result = content.adoptions.adopt(command, now_ms)
                if isinstance(result, AdoptionGranted):
                    self._record_change(OwnerChange(request, epoch, owner))
        return result

    def make_view(self) -> View:
        """Return the full view at the current version."""
        content = self.content
        return View(
            content.version,
            content.lists.revision,
            content.lists.accounts_text,
            content.lists.plans_text,
            dict(content.endpoints.rows),
            dict.fromkeys(
                [*content.quarantine.quarantined, *content.quarantine.held_messages],
                True,
            ),
            dict.fromkeys(
                [*content.quarantine.suspects, *content.quarantine.suspect_messages],
                True,
            ),
            {
                key: (row.epoch, row.owner)
                for key, row in content.adoptions.rows.items()
            },
        )

    def list_changes(self, since: int) -> list[Change] | None:
        """Return the changes after version ``since``.

        Return None if they are no longer stored, or if this state is behind ``since``.
        """
        if since == self.content.version:
            return []
        if not self._recent or since < self._recent[0][0] - 1:
            return None
        if since > self.content.version:
            return None
        return [change for version, change in self._recent if version > since]

    def encode(self) -> bytes:
        """Return the content for a snapshot."""
        return _encoder.encode(self.content)

    def restore(self, state: bytes) -> None:
        """Replace the content by that of a snapshot."""
        self.content = (
            decode_stored(_content_decoder, state, "the state of a snapshot")
            if state
            else _Content()
        )
        self._recent.clear()

    def _record_lists_change(self) -> None:
        lists = self.content.lists
        change = ListsChange(lists.revision, lists.accounts_text, lists.plans_text)
        self._record_change(change)

    def _record_endpoint_changes(self, result: EndpointsChanged) -> None:
        for endpoint_id in result.changed:
            row = self.content.endpoints.rows.get(endpoint_id)
            if row is None:
                self._record_change(EndpointRemoval(endpoint_id))
            else:
                self._record_change(EndpointChange(row))

    def _record_quarantine_changes(self, command: ReportCrash | EndProbation) -> None:
        if isinstance(command, EndProbation) and not command.cleared:
            return
        for key in (command.fingerprint, *command.messages):
            self._record_quarantine_change(key)

    def _record_quarantine_change(self, fingerprint: Fingerprint) -> None:
        flags = self.content.quarantine.get_flags(fingerprint)
        self._record_change(QuarantineChange(fingerprint, *flags))

    def _record_change(self, change: Change) -> None:
        self.content.version += 1
        self._recent.append((self.content.version, change))
        if len(self._recent) > MAX_RECENT_CHANGES:
            del self._recent[: MAX_RECENT_CHANGES // 2]
