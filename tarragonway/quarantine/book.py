"""The replicated record of contents that crash endpoints."""

import msgspec

from tarragonway.core.ids import EndpointId, Fingerprint

SUSPECT_RETENTION_MS = 3_600_000
QUARANTINE_MS = 86_400_000
PROBATION_MS = 600_000


class ReportCrash(msgspec.Struct, frozen=True, tag=True):
    """States that an endpoint crashed while it ran a content."""

    endpoint: EndpointId
    fingerprint: Fingerprint


class CrashRecorded(msgspec.Struct, frozen=True, tag=True):
    """Whether the content is quarantined now."""

    quarantined: bool


class TakeProbation(msgspec.Struct, frozen=True, tag=True):
    """Asks to run a suspected content as the only suspect of an endpoint."""

    endpoint: EndpointId
    fingerprint: Fingerprint


class ProbationAnswer(msgspec.Struct, frozen=True, tag=True):
    """Whether the content may run there."""

    granted: bool


class EndProbation(msgspec.Struct, frozen=True, tag=True):
    """States that a content no longer runs at an endpoint.

    ``cleared`` contents ran to their end and are suspects no more.
    """

    endpoint: EndpointId
    fingerprint: Fingerprint
    cleared: bool


class ProbationEnded(msgspec.Struct, frozen=True, tag=True):
    """The end was recorded."""


class Probation(msgspec.Struct, frozen=True):
    """The suspect that an endpoint runs."""

    fingerprint: Fingerprint
    since_ms: int


class QuarantineBook(msgspec.Struct):
    """Suspected and quarantined contents.

    A crash makes every content that ran there a suspect. A suspect runs on probation
    from then on: no endpoint runs two suspects at once, so that a crash under one
    cannot be the fault of another. A content whose endpoint crashes under its probation
    is quarantined, after two endpoints therefore. One that ends is cleared.

    Examples
    --------
    >>> book = QuarantineBook()
    >>> for content in ("bad", "good"):
    ...     _ = book.report(ReportCrash("e1", content), 0)
    >>> book.take(TakeProbation("e2", "bad"), 0).granted
    True
    >>> book.take(TakeProbation("e2", "good"), 0).granted
    False
    >>> book.report(ReportCrash("e2", "bad"), 0).quarantined
    True
    """

    suspects: dict[Fingerprint, int] = {}
    quarantined: dict[Fingerprint, int] = {}
    probations: dict[EndpointId, Probation] = {}

    def report(self, command: ReportCrash, now_ms: int) -> CrashRecorded:
        """Record one crash."""
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

    def take(self, command: TakeProbation, now_ms: int) -> ProbationAnswer:
        """Grant an endpoint to one suspect at a time."""
        self._prune(now_ms)
        if command.fingerprint in self.quarantined:
            return ProbationAnswer(False)
        holder = self.probations.get(command.endpoint)
        if holder is not None and holder.fingerprint != command.fingerprint:
            return ProbationAnswer(False)
        probation = Probation(command.fingerprint, now_ms)
        self.probations[command.endpoint] = probation
        return ProbationAnswer(True)

    def end(self, command: EndProbation, now_ms: int) -> ProbationEnded:
        """Free an endpoint, and clear its suspect if it ran to its end."""
        self._prune(now_ms)
        holder = self.probations.get(command.endpoint)
        if holder is not None and holder.fingerprint == command.fingerprint:
            del self.probations[command.endpoint]
        if command.cleared:
            self.suspects.pop(command.fingerprint, None)
        return ProbationEnded()

    def _prune(self, now_ms: int) -> None:
        _drop_older(self.suspects, now_ms - SUSPECT_RETENTION_MS)
        _drop_older(self.quarantined, now_ms - QUARANTINE_MS)
        for endpoint, probation in list(self.probations.items()):
            if probation.since_ms <= now_ms - PROBATION_MS:
                del self.probations[endpoint]


def _drop_older(rows: dict[Fingerprint, int], limit_ms: int) -> None:
    for fingerprint, since_ms in list(rows.items()):
        if since_ms <= limit_ms:
            del rows[fingerprint]
