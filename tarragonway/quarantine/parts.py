"""Prompt parts that crash engines: the leader's decisions, without network or clock.

All requests that an engine runs or queues break when it crashes, so a crash alone does
not tell which of their parts caused it. An answer that has begun is the evidence: an
engine crashes when it begins an answer on a harmful part, so no answer on that part
begins, while the sound parts beside it soon begin at other engines.
"""

import itertools
from collections.abc import Collection, Iterable, Mapping

import msgspec
import structlog

from tarragonway.core.ids import PartId, ProcessName

# Crashes of distinct endpoints, with no answer begun since, after which a part is held.
MIN_CRASHES = 2
# Time after that crash in which a begun answer still prevents the hold.
HOLD_DELAY_S = 1.0
# A part that has crashed this many endpoints is not probed again, except alone while
# fewer than MIN_PROBES_ALONE probes of it alone have failed.
MAX_CRASHES = 8
MIN_PROBES_ALONE = 2
# A request with several held parts is a probe only if none of them has been requested
# with fewer held parts for this time, since a probe with fewer parts tells more.
JOINT_PROBE_DELAY_S = 3.0
# A set of parts that contains one whose probe failed waits as after this many failures.
REPEATED_SET_FAILURES = 2
MAX_FAILED_SETS = 64
# Delay after a failed probe; each further failure multiplies it.
PROBE_BACKOFF_S = 2.0
PROBE_BACKOFF_FACTOR = 4
# Bounds the exponent of a long series of failed probes.
MAX_BACKOFF_EXPONENT = 32
# A probe whose outcome is not reported in this time counts as failed.
PROBE_TIMEOUT_S = 3.0
# Delay until a caller may return while another request is the probe.
PROBE_WAIT_S = 1.0
# Records end after this time without a crash and, if the part is held, a request.
RETENTION_S = 600.0
EXPIRY_INTERVAL_S = 1.0
MAX_RECORDS = 8192
MAX_HELD = 256
# Parts of which gateways report begun answers: suspects, and others if there are few
# suspects. A part is held only while it is watched.
MAX_WATCHED_SUSPECTS = 4096
MAX_WATCHED = 512
# Parts that were in requests at one crashed endpoint only. The requests that a crash
# breaks off may have many thousand parts, of which the next crash tells few apart.
MAX_SIGHTINGS = 200_000

_log = structlog.get_logger()


class HeldPart(msgspec.Struct, frozen=True, array_like=True):
    """State of a held part that a new leader needs.

    ``endpoints`` are the endpoints that crashed on the part, ``failed_probes`` is the
    number of failed probes whose only held part it was.
    """

    endpoints: tuple[str, ...]
    failed_probes: int


class _Record(msgspec.Struct):
    crashed_at: dict[str, float] = {}
    failed_probes: int = 0
    is_held: bool = False
    suspected_at: float = 0.0
    last_crash_at: float = float("-inf")
    requested_at: float = float("-inf")
    probe_at: float = float("-inf")
    held_at: float = float("-inf")
    fewest_held: int = 0
    fewest_held_at: float = float("-inf")

    @property
    def crashes(self) -> int:
        return len(self.crashed_at)

    @property
    def is_spent(self) -> bool:
        """Whether no request with the part may be a probe any more."""
        return self.failed_probes >= MIN_PROBES_ALONE and self.crashes >= MAX_CRASHES


class _Sighting(msgspec.Struct, frozen=True):
    """One crash of one endpoint, shared by the parts of all requests that it broke."""

    endpoint: str
    crashed_at: float
    reported_at: float


class ProbeId(msgspec.Struct, frozen=True):
    """The gateway that sends a probe, and the gateway's number for it."""

    gateway: ProcessName
    sequence: int


class _Probe(msgspec.Struct, frozen=True):
    parts: frozenset[PartId]
    ends_at: float


class _FailedSet(msgspec.Struct, frozen=True):
    parts: frozenset[PartId]
    failed_at: float


class PartQuarantine:
    """Prompt parts on which endpoints have crashed, and those that are held.

    A held part is not sent to endpoints, except by one request at a time that the
    leader has granted: a probe. A probe that begins to answer releases the part. A
    probe with a single held part tells most, so such probes go first.

    Examples
    --------
    >>> quarantine = PartQuarantine()
    >>> for endpoint in ("e1", "e2"):
    ...     quarantine.record_crash(endpoint, ["sound", "harmful"], 0.0, 0.0)
    >>> quarantine.record_began("sound", 0.5)
    >>> quarantine.watched
    ('harmful',)
    """

    def __init__(self) -> None:
        self._records: dict[PartId, _Record] = {}
        # Parts without a record, in the order of the reports.
        self._sightings: dict[PartId, _Sighting] = {}
        self._probes: dict[ProbeId, _Probe] = {}
        self._failed_sets: list[_FailedSet] = []
        self._explained: dict[str, float] = {}
        self._expired_at = float("-inf")
        self._watched: tuple[int, tuple[PartId, ...]] = (-1, ())
        self.watch_version = 0

    @property
    def held(self) -> dict[PartId, HeldPart]:
        """Held parts."""
        return {
            part: HeldPart(tuple(record.crashed_at), record.failed_probes)
            for part, record in self._records.items()
            if record.is_held
        }

    @property
    def watched(self) -> tuple[PartId, ...]:
        """Parts of which gateways report begun answers; held ones come first."""
        if self._watched[0] != self.watch_version:
            ranked = sorted(self._records, key=self._rank, reverse=True)
            watched = ranked[:MAX_WATCHED_SUSPECTS]
            room = max(0, MAX_WATCHED - len(watched))
            watched += itertools.islice(reversed(self._sightings), room)
            self._watched = (self.watch_version, tuple(watched))
        return self._watched[1]

    def restore(self, held: Mapping[PartId, HeldPart], now: float) -> None:
        """Replace all records by the held parts of a former leader.

        A probe that the former leader has granted may be under way.
        """
        self._probes.clear()
        self._failed_sets.clear()
        self._explained.clear()
        self._sightings.clear()
        self._records = {
            part: _Record(
                crashed_at=dict.fromkeys(row.endpoints, now),
                failed_probes=row.failed_probes,
                is_held=True,
                last_crash_at=now,
                requested_at=now,
                probe_at=now
                + max(PROBE_TIMEOUT_S, _compute_backoff_s(row.failed_probes)),
                held_at=now,
            )
            for part, row in held.items()
        }
        self.watch_version += 1

    def record_crash(
        self,
        endpoint: str,
        parts: Collection[PartId],
        crashed_at: float,
        now: float,
        probe: ProbeId | None = None,
    ) -> None:
        """Record that an endpoint failed before it began the answer to a request.

        Several reports on one endpoint count as one crash.

        Parameters
        ----------
        endpoint : str
            Incarnation of the endpoint.
        parts : collection of PartId
            Parts of the request's prompt that other requests may share.
        crashed_at, now : float
            Times of the crash and of its report, in seconds.
        probe : ProbeId, optional
            The probe that the request was.
        """
        if probe is not None:
            self._fail_probe(probe, parts, now)
        harmful = [part for part in parts if self._is_proved(part)]
        if harmful:
            self._explain(endpoint, harmful, now)
        sighting = _Sighting(endpoint, crashed_at, now)
        for part in harmful or parts:
            if harmful or endpoint not in self._explained:
                self._add_crash(part, sighting)
        if len(self._records) > MAX_RECORDS:
            self._evict()

    def record_began(self, part: PartId, began_at: float) -> None:
        """Record that an answer to a request with this part began at that time.

        Crashes before it were not caused by the part. One without a later crash is
        released if it is held.
        """
        record = self._records.get(part)
        if record is None:
            self._end_sighting(part, began_at)
            return
        later = {e: at for e, at in record.crashed_at.items() if at >= began_at}
        if record.is_held and (later or record.last_crash_at >= began_at):
            return
        if record.is_held:
            _log.info("prompt part released after an answer began", part=part)
        for probe in [name for name, row in self._probes.items() if part in row.parts]:
            del self._probes[probe]
        if later:
            record.crashed_at = later
            return
        del self._records[part]
        self.watch_version += 1

    def request_probe(
        self, parts: Iterable[PartId], probe: ProbeId, now: float
    ) -> float:
        """Return 0 if a request with these parts may be sent, else a wait in seconds.

        The wait is infinite if no request with these parts will be sent while such
        requests keep coming.
        """
        held = {part for part in parts if self._is_held(part)}
        if not held:
            return 0.0
        self._record_request(held, now)
        self._end_overdue_probes(now)
        if any(row.parts & held for row in self._probes.values()):
            return PROBE_WAIT_S
        wait_s = self._compute_wait(held, now)
        if wait_s > 0:
            return wait_s
        _log.info("probe of held prompt parts granted", parts=sorted(held))
        self._probes[probe] = _Probe(frozenset(held), now + PROBE_TIMEOUT_S)
        return 0.0

    def end_probe(self, probe: ProbeId) -> None:
        """End a probe that neither began an answer nor crashed an endpoint."""
        self._probes.pop(probe, None)

    def update(self, now: float) -> bool:
        """Hold parts, and remove old records; return whether a part was held."""
        if now - self._expired_at >= EXPIRY_INTERVAL_S:
            self._expired_at = now
            self._remove_expired(now)
        suspects = [
            (part, record)
            for part, record in self._records.items()
            if not record.is_held
            and record.crashes >= MIN_CRASHES
            and now - record.suspected_at >= HOLD_DELAY_S
        ]
        if len(self._records) > MAX_WATCHED_SUSPECTS:
            watched = frozenset(self.watched)
            suspects = [row for row in suspects if row[0] in watched]
        suspects.sort(key=lambda row: self._rank(row[0]), reverse=True)
        room = MAX_HELD - sum(record.is_held for record in self._records.values())
        for part, record in suspects[:room]:
            record.is_held = True
            record.requested_at = now
            record.held_at = now
            _log.warning(
                "prompt part held after crashes of several endpoints",
                part=part,
                endpoints=sorted(record.crashed_at),
            )
        return bool(suspects[:room])

    def _add_crash(self, part: PartId, sighting: _Sighting) -> None:
        """Add a crash to a part's record, which begins with the second endpoint."""
        record = self._records.get(part)
        if record is None:
            first = self._sightings.get(part)
            if first is None or first.endpoint in self._explained:
                self._add_sighting(part, sighting)
                return
            if first.endpoint == sighting.endpoint:
                return
            del self._sightings[part]
            self.watch_version += 1
            record = self._records[part] = _Record(
                crashed_at={first.endpoint: first.crashed_at},
                last_crash_at=first.crashed_at,
            )
        if sighting.endpoint in record.crashed_at:
            return
        record.crashed_at[sighting.endpoint] = sighting.crashed_at
        record.last_crash_at = max(record.last_crash_at, sighting.crashed_at)
        if record.crashes == MIN_CRASHES:
            record.suspected_at = sighting.reported_at

    def _add_sighting(self, part: PartId, sighting: _Sighting) -> None:
        # Moves a part that was seen before to the end.
        self._sightings.pop(part, None)
        self._sightings[part] = sighting
        self.watch_version += 1
        if len(self._sightings) > MAX_SIGHTINGS:
            del self._sightings[next(iter(self._sightings))]

    def _end_sighting(self, part: PartId, began_at: float) -> None:
        sighting = self._sightings.get(part)
        if sighting is not None and sighting.crashed_at < began_at:
            del self._sightings[part]
            self.watch_version += 1

    def _explain(self, endpoint: str, harmful: Collection[PartId], now: float) -> None:
        """Remove an endpoint's crash from the parts that did not cause it."""
        self._explained[endpoint] = now
        for part, record in self._records.items():
            if not record.is_held and part not in harmful:
                record.crashed_at.pop(endpoint, None)

    def _is_proved(self, part: PartId) -> bool:
        """Return whether a probe with this part as the only held one has failed."""
        record = self._records.get(part)
        return record is not None and record.is_held and record.failed_probes > 0

    def _compute_wait(self, held: set[PartId], now: float) -> float:
        if len(held) > 1:
            return self._compute_joint_wait(held, now)
        (record,) = (self._records[part] for part in held)
        return float("inf") if record.is_spent else max(0.0, record.probe_at - now)

    def _compute_joint_wait(self, held: set[PartId], now: float) -> float:
        """Return the wait of a request with several held parts.

        Each failed set with one of the parts lengthens it, so that a harmful part that
        comes with many others is not probed with each of them.
        """
        records = [self._records[part] for part in held]
        if any(record.is_spent for record in records):
            return float("inf")
        smaller_at = [r.fewest_held_at for r in records if r.fewest_held < len(held)]
        held_at = [record.held_at for record in records]
        first_at = max(*smaller_at, *held_at) + JOINT_PROBE_DELAY_S
        first_at = max(first_at, *(record.probe_at for record in records))
        failed = [row for row in self._failed_sets if row.parts & held]
        if failed:
            suspects = {part for row in failed for part in row.parts & held}
            if max(self._records[part].crashes for part in suspects) >= MAX_CRASHES:
                return float("inf")
            is_repeated = any(row.parts <= held for row in failed)
            failures = len(failed) + (REPEATED_SET_FAILURES if is_repeated else 0)
            backoff_s = _compute_backoff_s(failures)
            first_at = max(first_at, failed[-1].failed_at + backoff_s)
        return max(0.0, first_at - now)

    def _record_request(self, held: set[PartId], now: float) -> None:
        for part in held:
            record = self._records[part]
            record.requested_at = now
            is_outdated = now - record.fewest_held_at > JOINT_PROBE_DELAY_S
            if is_outdated or len(held) <= record.fewest_held:
                record.fewest_held, record.fewest_held_at = len(held), now

    def _end_overdue_probes(self, now: float) -> None:
        """Count probes without a reported outcome as failed."""
        overdue = [name for name, row in self._probes.items() if row.ends_at <= now]
        for probe in overdue:
            self._fail_probe(probe, self._probes[probe].parts, now)

    def _fail_probe(
        self, probe: ProbeId, parts: Collection[PartId], now: float
    ) -> None:
        self.end_probe(probe)
        held = [part for part in parts if self._is_held(part)]
        _log.info("probe of held prompt parts failed", parts=sorted(held))
        if len(held) == 1:
            record = self._records[held[0]]
            record.failed_probes += 1
            record.probe_at = now + _compute_backoff_s(record.failed_probes)
        elif held:
            self._failed_sets.append(_FailedSet(frozenset(held), now))
            del self._failed_sets[:-MAX_FAILED_SETS]

    def _is_held(self, part: PartId) -> bool:
        record = self._records.get(part)
        return record is not None and record.is_held

    def _rank(self, part: PartId) -> tuple[bool, int, float]:
        record = self._records[part]
        return record.is_held, record.crashes, record.last_crash_at

    def _remove_expired(self, now: float) -> None:
        for endpoint, at in list(self._explained.items()):
            if now - at > RETENTION_S:
                del self._explained[endpoint]
        for part, sighting in list(self._sightings.items()):
            if now - sighting.reported_at <= RETENTION_S:
                break
            del self._sightings[part]
            self.watch_version += 1
        for part, record in list(self._records.items()):
            if now - max(record.last_crash_at, record.requested_at) > RETENTION_S:
                if record.is_held:
                    _log.info("prompt part released, not requested any more", part=part)
                del self._records[part]
                self.watch_version += 1

    def _evict(self) -> None:
        """Remove the records with the fewest crashes, the oldest first."""
        ranked = sorted(self._records, key=self._rank)
        for part in ranked[: MAX_RECORDS // 4]:
            if not self._records[part].is_held:
                del self._records[part]
        self.watch_version += 1


def _compute_backoff_s(failures: int) -> float:
    if not failures:
        return 0.0
    return PROBE_BACKOFF_S * PROBE_BACKOFF_FACTOR ** min(
        failures - 1, MAX_BACKOFF_EXPONENT
    )
