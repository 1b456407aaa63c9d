"""The replicated count of crashes by request content."""

import msgspec

from tarragonway.core.ids import EndpointId, Fingerprint

CRASH_LIMIT_ENDPOINTS = 2
SUSPECT_RETENTION_MS = 3_600_000
QUARANTINE_MS = 86_400_000


class ReportCrash(msgspec.Struct, frozen=True, tag=True):
    """States that an endpoint crashed while it ran these requests.

    ``explained`` crashes, such as those of announced reclaims, blame nobody.
    """

    endpoint: EndpointId
    fingerprints: tuple[Fingerprint, ...]
    explained: bool


class CrashRecorded(msgspec.Struct, frozen=True, tag=True):
    """Contents that are quarantined by this report."""

    quarantined: tuple[Fingerprint, ...]


class Suspect(msgspec.Struct, frozen=True):
    """Endpoints that crashed while they ran a content."""

    endpoints: tuple[EndpointId, ...]
    seen_ms: int


class QuarantineBook(msgspec.Struct):
    """Suspected and quarantined contents.

    A content is quarantined when ``CRASH_LIMIT_ENDPOINTS`` endpoints crashed under it
    without another explanation. A crash under several requests makes all of them
    suspects; only one that is there again at the next crash is quarantined.

    Examples
    --------
    >>> book = QuarantineBook()
    >>> book.report(ReportCrash("e1", ("bad", "good"), False), 0).quarantined
    ()
    >>> book.report(ReportCrash("e2", ("bad",), False), 0).quarantined
    ('bad',)
    """

    suspects: dict[Fingerprint, Suspect] = {}
    quarantined: dict[Fingerprint, int] = {}

    def report(self, command: ReportCrash, now_ms: int) -> CrashRecorded:
        """Count one crash."""
        self._prune(now_ms)
        if command.explained:
            return CrashRecorded(())
        added = []
        for fingerprint in command.fingerprints:
            if self._suspect(fingerprint, command.endpoint, now_ms):
                added.append(fingerprint)
        return CrashRecorded(tuple(added))

    def _suspect(
        self, fingerprint: Fingerprint, endpoint: EndpointId, now_ms: int
    ) -> bool:
        known = self.suspects.pop(fingerprint, Suspect((), now_ms))
        endpoints = tuple(sorted({*known.endpoints, endpoint}))
        if len(endpoints) < CRASH_LIMIT_ENDPOINTS:
            self.suspects[fingerprint] = Suspect(endpoints, now_ms)
            return False
        is_new = fingerprint not in self.quarantined
        self.quarantined[fingerprint] = now_ms
        return is_new

    def _prune(self, now_ms: int) -> None:
        for fingerprint, suspect in list(self.suspects.items()):
            if now_ms < suspect.seen_ms + SUSPECT_RETENTION_MS:
                break
            del self.suspects[fingerprint]
        for fingerprint, since_ms in list(self.quarantined.items()):
            if now_ms >= since_ms + QUARANTINE_MS:
                del self.quarantined[fingerprint]
