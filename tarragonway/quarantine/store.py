"""Replicated store of contents, and of messages in them, that crash endpoints."""

import msgspec

from tarragonway.core.ids import EndpointId, Fingerprint

SUSPECT_RETENTION_MS = 3_600_000
QUARANTINE_RETENTION_MS = 86_400_000
# A probation whose end was not recorded ends after this time.
PROBATION_TIMEOUT_MS = 600_000
# Quarantined contents with a message in common after which the message is held.
MIN_HARMFUL_CONTENTS = 2
# Time for which a message is held. A later crash on it multiplies the time.
MESSAGE_HOLD_MS = 60_000
MESSAGE_HOLD_FACTOR = 4
# Bounds the exponent for a message with very many harmful contents.
MAX_HOLD_EXPONENT = 32
MAX_MESSAGES = 4096


class ReportCrash(msgspec.Struct, frozen=True, tag=True):
    """Command to record that an endpoint crashed while it ran this content.

    ``messages`` are the fingerprints of its messages that other contents may share.
    """

    endpoint: EndpointId
    fingerprint: Fingerprint
    messages: tuple[Fingerprint, ...] = ()


class CrashRecorded(msgspec.Struct, frozen=True, tag=True):
    """Result of :class:`ReportCrash`: whether the content is now quarantined."""

    quarantined: bool


class TakeProbation(msgspec.Struct, frozen=True, tag=True):
    """Command to run a suspect on an endpoint that runs no other suspect."""

    endpoint: EndpointId
    fingerprint: Fingerprint


class ProbationAnswer(msgspec.Struct, frozen=True, tag=True):
    """Result of :class:`TakeProbation`: whether the content may run there."""

    granted: bool


class EndProbation(msgspec.Struct, frozen=True, tag=True):
    """Command to record that a content no longer runs at an endpoint.

    If ``cleared``, the content ran to completion; neither it nor any of its messages
    is a suspect any more.
    """

    endpoint: EndpointId
    fingerprint: Fingerprint
    cleared: bool
    messages: tuple[Fingerprint, ...] = ()


class ProbationEnded(msgspec.Struct, frozen=True, tag=True):
    """Result of :class:`EndProbation`."""


class Probation(msgspec.Struct, frozen=True):
    """Suspect that runs on probation at an endpoint, and when that began."""

    fingerprint: Fingerprint
    since_ms: int


class _Message(msgspec.Struct):
    """Message of quarantined contents; ``held_until_ms`` is 0 unless it is held."""

    contents: set[Fingerprint] = set()
    crashed_at_ms: int = 0
    held_until_ms: int = 0


class QuarantineStore(msgspec.Struct):
    """Store of suspected and quarantined contents and messages.

    A crash makes every content that ran on the endpoint a suspect. From then on, a
    suspect runs only on probation: no endpoint runs two suspects at once, so a crash
    during a probation cannot be caused by another suspect. A content whose endpoint
    crashes during its probation is quarantined, so a harmful content crashes two
    endpoints. A suspect that runs to completion is cleared.

    Callers can vary a content at will, so its shared messages are recorded too: those
    of a quarantined content become suspects, and a content with a suspected message
    runs only on probation. A message that is common to several quarantined contents is
    held, and no content with it runs, until the hold expires or one runs to completion.

    Examples
    --------
    >>> store = QuarantineStore()
    >>> for content in ("bad", "good"):
    ...     _ = store.handle_crash(ReportCrash("e1", content), 0)
    >>> store.handle_take_probation(TakeProbation("e2", "bad"), 0).granted
    True
    >>> store.handle_take_probation(TakeProbation("e2", "good"), 0).granted
    False
    >>> store.handle_crash(ReportCrash("e2", "bad"), 0).quarantined
    True
    """

    suspects: dict[Fingerprint, int] = {}
    quarantined: dict[Fingerprint, int] = {}
    probations: dict[EndpointId, Probation] = {}
    messages: dict[Fingerprint, _Message] = {}

    @property
    def held_messages(self) -> list[Fingerprint]:
        """Messages with which no content may run."""
        return [key for key, row in self.messages.items() if row.held_until_ms]

    @property
    def suspect_messages(self) -> list[Fingerprint]:
        """Messages with which contents run only on probation."""
        return [key for key, row in self.messages.items() if not row.held_until_ms]

    def get_flags(self, key: Fingerprint) -> tuple[bool, bool]:
        """Return whether a content or message is quarantined, and is a suspect."""
        message = self.messages.get(key)
        is_held = message is not None and message.held_until_ms > 0
        is_suspect = message is not None and not is_held
        return key in self.quarantined or is_held, key in self.suspects or is_suspect

    def handle_crash(self, command: ReportCrash, now_ms: int) -> CrashRecorded:
        """Record one crash.

        A content that was on probation at the endpoint is quarantined; any other that
        is not yet quarantined becomes a suspect.
        """
        self._prune(now_ms)
        fingerprint = command.fingerprint
        probation = self.probations.get(command.endpoint)
        if probation is not None and probation.fingerprint == fingerprint:
            del self.probations[command.endpoint]
            self.suspects.pop(fingerprint, None)
            self.quarantined[fingerprint] = now_ms
            for message in command.messages:
                self._record_harmful(message, fingerprint, now_ms)
        elif fingerprint not in self.quarantined:
            self.suspects[fingerprint] = now_ms
        is_held = not set(command.messages).isdisjoint(self.held_messages)
        return CrashRecorded(fingerprint in self.quarantined or is_held)

    def handle_take_probation(
        self, command: TakeProbation, now_ms: int
    ) -> ProbationAnswer:
        """Grant a probation unless the endpoint runs another suspect.

        Quarantined contents are never granted one.
        """
        self._prune(now_ms)
        if command.fingerprint in self.quarantined:
            return ProbationAnswer(False)
        current = self.probations.get(command.endpoint)
        if current is not None and current.fingerprint != command.fingerprint:
            return ProbationAnswer(False)
        probation = Probation(command.fingerprint, now_ms)
        self.probations[command.endpoint] = probation
        return ProbationAnswer(True)

    def handle_end_probation(
        self, command: EndProbation, now_ms: int
    ) -> ProbationEnded:
        """End a probation, and clear the suspect if it ran to completion."""
        self._prune(now_ms)
        current = self.probations.get(command.endpoint)
        if current is not None and current.fingerprint == command.fingerprint:
            del self.probations[command.endpoint]
        if command.cleared:
            self.suspects.pop(command.fingerprint, None)
            for message in command.messages:
                self.messages.pop(message, None)
        return ProbationEnded()

    def expire_holds(self, now_ms: int) -> list[Fingerprint]:
        """End overdue holds of messages, which stay suspects; return the messages."""
        expired = [
            key for key, row in self.messages.items() if 0 < row.held_until_ms <= now_ms
        ]
        for key in expired:
            self.messages[key].held_until_ms = 0
        return expired

    def _record_harmful(
        self, message: Fingerprint, content: Fingerprint, now_ms: int
    ) -> None:
        """Record a quarantined content with this message; hold it after several."""
        row = self.messages.setdefault(message, _Message())
        row.contents.add(content)
        row.crashed_at_ms = now_ms
        excess = len(row.contents) - MIN_HARMFUL_CONTENTS
        if excess >= 0:
            exponent = min(excess, MAX_HOLD_EXPONENT)
            hold_ms = MESSAGE_HOLD_MS * MESSAGE_HOLD_FACTOR**exponent
            row.held_until_ms = now_ms + min(hold_ms, QUARANTINE_RETENTION_MS)
        if len(self.messages) > MAX_MESSAGES:
            weakest = min(
                self.messages,
                key=lambda key: (
                    len(self.messages[key].contents),
                    self.messages[key].crashed_at_ms,
                ),
            )
            del self.messages[weakest]

    def _prune(self, now_ms: int) -> None:
        _remove_expired(self.suspects, now_ms - SUSPECT_RETENTION_MS)
        _remove_expired(self.quarantined, now_ms - QUARANTINE_RETENTION_MS)
        for endpoint, probation in list(self.probations.items()):
            if probation.since_ms <= now_ms - PROBATION_TIMEOUT_MS:
                del self.probations[endpoint]
        for key, row in list(self.messages.items()):
            is_old = row.crashed_at_ms <= now_ms - SUSPECT_RETENTION_MS
            if is_old and not row.held_until_ms:
                del self.messages[key]


def _remove_expired(rows: dict[Fingerprint, int], limit_ms: int) -> None:
    for fingerprint, since_ms in list(rows.items()):
        if since_ms <= limit_ms:
            del rows[fingerprint]
