"""Replicated store of contents that crash endpoints."""

import msgspec

from tarragonway.core.ids import EndpointId, Fingerprint

SUSPECT_RETENTION_MS = 3_600_000
QUARANTINE_RETENTION_MS = 86_400_000
# A probation whose end was not recorded ends after this time.
PROBATION_TIMEOUT_MS = 600_000


class ReportCrash(msgspec.Struct, frozen=True, tag=True):
    """Command to record that an endpoint crashed while it ran this content."""

    endpoint: EndpointId
    fingerprint: Fingerprint


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

    If ``cleared``, the content ran to completion and is no longer a suspect.
    """

    endpoint: EndpointId
    fingerprint: Fingerprint
    cleared: bool


class ProbationEnded(msgspec.Struct, frozen=True, tag=True):
    """Result of :class:`EndProbation`."""


class Probation(msgspec.Struct, frozen=True):
    """Suspect that runs on probation at an endpoint, and when that began."""

    fingerprint: Fingerprint
    since_ms: int


class QuarantineStore(msgspec.Struct):
    """Store of suspected and quarantined contents.

    A crash makes every content that ran on the endpoint a suspect. From then on, a
    suspect runs only on probation: no endpoint runs two suspects at once, so a crash
    during a probation cannot be caused by another suspect. A content whose endpoint
    crashes during its probation is quarantined, so a harmful content crashes two
    endpoints. A suspect that runs to completion is cleared.

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
        elif fingerprint not in self.quarantined:
            self.suspects[fingerprint] = now_ms
        return CrashRecorded(fingerprint in self.quarantined)

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
        return ProbationEnded()

    def _prune(self, now_ms: int) -> None:
        _remove_expired(self.suspects, now_ms - SUSPECT_RETENTION_MS)
        _remove_expired(self.quarantined, now_ms - QUARANTINE_RETENTION_MS)
        for endpoint, probation in list(self.probations.items()):
            if probation.since_ms <= now_ms - PROBATION_TIMEOUT_MS:
                del self.probations[endpoint]


def _remove_expired(rows: dict[Fingerprint, int], limit_ms: int) -> None:
    for fingerprint, since_ms in list(rows.items()):
        if since_ms <= limit_ms:
            del rows[fingerprint]
