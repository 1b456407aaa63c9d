"""Contents that crash the endpoints that run them, and their quarantine."""

from collections.abc import Mapping

import msgspec
import structlog

from tarragonway.core.ids import Fingerprint
from tarragonway.links.messages import CrashReport

# An answer may be lost for other reasons than its content, and a resend by the caller
# has the same content, so crashes of fewer distinct endpoints are no proof.
MIN_CRASHED_ENDPOINTS = 3
MAX_CRASH_RECORDS = 4096
MAX_QUARANTINED = 64
# Time after its last crash for which a content is suspected or quarantined.
CRASH_RETENTION_S = 600.0
EXPIRY_INTERVAL_S = 1.0

_log = structlog.get_logger()


class _Suspect(msgspec.Struct):
    endpoints: set[str]
    crashed_at: float


class SuspectedContents:
    """Contents by the endpoints that failed while they ran them.

    A content that endpoints of :data:`MIN_CRASHED_ENDPOINTS` failed on is quarantined,
    until none has failed on it for :data:`CRASH_RETENTION_S`.

    Examples
    --------
    >>> contents = SuspectedContents()
    >>> for endpoint in ("e1", "e2"):
    ...     contents.record_crash(CrashReport("f", endpoint), 0.0)
    >>> contents.suspects, contents.quarantined
    (('f',), ())
    """

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, _Suspect] = {}
        self._expired_at = float("-inf")

    @property
    def quarantined(self) -> tuple[Fingerprint, ...]:
        """Contents that must not be sent to endpoints any more, the latest last."""
        return self._list_crashed(MIN_CRASHED_ENDPOINTS)

    @property
    def held(self) -> dict[Fingerprint, tuple[str, ...]]:
        """Quarantined contents, with the endpoints that failed on each."""
        return {
            fingerprint: tuple(sorted(self._suspects[fingerprint].endpoints))
            for fingerprint in self.quarantined
        }

    def restore(self, held: Mapping[Fingerprint, tuple[str, ...]], now: float) -> None:
        """Take over the contents that former leaders have quarantined.

        Their retention starts anew, as it is not known when they last crashed.
        """
        for fingerprint, endpoints in held.items():
            suspect = self._suspects.setdefault(fingerprint, _Suspect(set(), now))
            suspect.endpoints.update(endpoints)
            suspect.crashed_at = now

    @property
    def suspects(self) -> tuple[Fingerprint, ...]:
        """Contents that a crash of one more endpoint would quarantine."""
        threshold = MIN_CRASHED_ENDPOINTS - 1
        return tuple(
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if len(suspect.endpoints) == threshold
        )[-MAX_QUARANTINED:]

    def record_crash(self, crash: CrashReport, now: float) -> None:
        """Record that an endpoint failed while it ran a content.

        A repeated report of the same endpoint changes nothing, since gateways report
        earlier crashes to each new leader.
        """
        suspect = self._suspects.setdefault(crash.fingerprint, _Suspect(set(), now))
        if crash.endpoint in suspect.endpoints:
            return
        suspect.endpoints.add(crash.endpoint)
        suspect.crashed_at = now
        if len(suspect.endpoints) == MIN_CRASHED_ENDPOINTS:
            _log.warning(
                "content quarantined after crashes of several endpoints",
                fingerprint=crash.fingerprint,
                endpoints=sorted(suspect.endpoints),
            )
        while len(self._suspects) > MAX_CRASH_RECORDS:
            del self._suspects[next(iter(self._suspects))]

    def clear_suspect(self, fingerprint: Fingerprint) -> None:
        """Remove the record of a content that was answered completely.

        A quarantined content stays quarantined until its record expires.
        """
        if fingerprint in self.quarantined:
            return
        if self._suspects.pop(fingerprint, None) is not None:
            _log.info(
                "suspect cleared after a complete answer",
                fingerprint=fingerprint,
            )

    def expire(self, now: float) -> None:
        """Remove the records of contents whose last crash is long ago."""
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for fingerprint in [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if now - suspect.crashed_at > CRASH_RETENTION_S
        ]:
            del self._suspects[fingerprint]
            _log.info("record of a crash expired", fingerprint=fingerprint)

    def _list_crashed(self, min_endpoints: int) -> tuple[Fingerprint, ...]:
        return tuple(
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if len(suspect.endpoints) >= min_endpoints
        )[-MAX_QUARANTINED:]
