"""Prompt parts that crash engines: the leader's decisions, without network or clock.

The evidence against parts, and for them, is described in :mod:`.part_record`.
"""

import itertools
from collections.abc import Collection, Iterable, Mapping

import msgspec
import structlog

from tarragonway.core.ids import PartId, ProcessName
from tarragonway.quarantine.part_record import (
    MAX_CRASHES,
    NO_CONTENT,
    PartCrash,
    PartRecord,
)

# A request with several held parts is a probe only if none of them has been requested
# with fewer held parts for this time, since a probe with fewer parts tells more.
JOINT_PROBE_DELAY_S = 3.0
# A set of parts that contains one whose probe failed waits as after this many failures.
REPEATED_SET_FAILURES = 2
MAX_FAILED_SETS = 64
# Delay after a failed probe; further failures multiply it.
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
# Parts of which gateways report answers: suspects, and others if there are few
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
    leader has granted: a probe. A probe whose answer ends releases the part. A probe
    with a single held part tells most, so such probes go first.

    Examples
    --------
    >>> quarantine = PartQuarantine()
    >>> for endpoint in ("e1", "e2"):
    ...     crash = PartCrash(endpoint, "content", 0.0, 0.0)
    ...     quarantine.record_crash(["sound", "harmful"], crash)
    >>> quarantine.record_ended("sound", 0.5)
    >>> quarantine.watched
    ('harmful',)
    """

    def __init__(self) -> None:
        self._records: dict[PartId, PartRecord] = {}
        # Parts without a record, in the order of the reports.
        self._sightings: dict[PartId, PartCrash] = {}
        self._probes: dict[ProbeId, _Probe] = {}
        self._failed_sets: list[_FailedSet] = []
        self._explained: dict[str, float] = {}
        # When answers on parts with a crash last ended, also before the crash.
        self._ended_at: dict[PartId, float] = {}
        self._expired_at = float("-inf")
        self._watched: tuple[int, tuple[PartId, ...]] = (-1, ())
        self.watch_version = 0

    @property
    def held(self) -> dict[PartId, HeldPart]:
        """Held parts."""
        return {
            part: HeldPart(tuple(record.crashes), record.failed_probes)
            for part, record in self._records.items()
            if record.is_held
        }

    @property
    def watched(self) -> tuple[PartId, ...]:
        """Parts of which gateways report answers; held ones come first."""
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
        self._ended_at.clear()
        self._records = {
            part: PartRecord(
                crashes={e: PartCrash(e, NO_CONTENT, now, now) for e in row.endpoints},
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
        parts: Collection[PartId],
        crash: PartCrash,
        probe: ProbeId | None = None,
    ) -> None:
        """Record that an endpoint failed before it ended the answer to a request.

        Several reports on one endpoint count as one crash.

        Parameters
        ----------
        parts : collection of PartId
            Parts of the request's prompt that other requests may share.
        crash : PartCrash
            The endpoint and the request.
        probe : ProbeId, optional
            The probe that the request was.
        """
        now = crash.reported_at
        if probe is not None:
            self._fail_probe(probe, parts, now)
        harmful = [part for part in parts if self._is_proved(part)]
        if harmful:
            self._explain(crash.endpoint, harmful, now)
        for part in harmful or parts:
            if harmful or crash.endpoint not in self._explained:
                self._add_crash(part, crash)
        if len(self._records) > MAX_RECORDS:
            self._evict()

    def record_lasted(self, part: PartId, lasted_s: float, at: float) -> None:
        """Record that an answer with this part had lasted for ``lasted_s`` at ``at``.

        It may still crash its engine, so crashes of answers that had lasted as long
        remain, and a held part is not released.
        """
        record = self._records.get(part)
        if record is None:
            if part in self._sightings:
                self._sightings[part] = self._sightings[part].compare(lasted_s, at)
            return
        for name, row in self._probes.items():
            if part in row.parts:
                ends_at = max(row.ends_at, at + PROBE_TIMEOUT_S)
                self._probes[name] = _Probe(row.parts, ends_at)
        if not record.is_held:
            record.record_lasted(lasted_s, at)

    def record_ended(self, part: PartId, ended_at: float) -> None:
        """Record that an answer to a request with this part ended at that time.

        Crashes before it were not caused by the part. One without a later crash is
        released if it is held.
        """
        self._ended_at[part] = max(ended_at, self._ended_at.get(part, ended_at))
        record = self._records.get(part)
        if record is None:
            self._end_sighting(part, ended_at)
            return
        later = any(c.crashed_at >= ended_at for c in record.crashes.values())
        if record.is_held and (later or record.last_crash_at >= ended_at):
            return
        if record.is_held:
            _log.info("prompt part released after an answer ended", part=part)
        for probe in [name for name, row in self._probes.items() if part in row.parts]:
            del self._probes[probe]
        if later:
            record.remove_before(ended_at)
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
        """End a probe that neither ended its answer nor crashed an endpoint."""
        self._probes.pop(probe, None)

    def update(self, now: float) -> bool:
        """Hold parts, and remove old records; return whether a part was held.

        Parts on which no answer is known to have ended go first. They explain their
        crashes, which then do not count for the parts beside them on which one has.
        """
        if now - self._expired_at >= EXPIRY_INTERVAL_S:
            self._expired_at = now
            self._remove_expired(now)
        unknown = [part for part in self._list_due(now) if part not in self._ended_at]
        self._hold(unknown, now)
        for part in unknown:
            self._explain_for_ended(self._records[part].crashes)
        others = self._list_due(now)
        self._hold(others, now)
        return bool(unknown or others)

    def _list_due(self, now: float) -> list[PartId]:
        """Return the parts that are to be held, as far as there is room."""
        due = [
            part
            for part, record in self._records.items()
            if not record.is_held and record.is_due(now)
        ]
        if len(self._records) > MAX_WATCHED_SUSPECTS:
            watched = frozenset(self.watched)
            due = [part for part in due if part in watched]
        due.sort(key=self._rank, reverse=True)
        return due[: MAX_HELD - len(self.held)]

    def _hold(self, parts: Iterable[PartId], now: float) -> None:
        for part in parts:
            record = self._records[part]
            record.is_held = True
            record.requested_at = now
            record.held_at = now
            _log.warning(
                "prompt part held after crashes of several endpoints",
                part=part,
                endpoints=sorted(record.crashes),
                lasted_s=[round(c.lasted_s, 2) for c in record.crashes.values()],
            )

    def _explain_for_ended(self, endpoints: Iterable[str]) -> None:
        """Remove crashes from suspected parts on which an answer had ended before."""
        for part, record in self._records.items():
            if not record.is_held and part in self._ended_at:
                for endpoint in endpoints:
                    record.remove(endpoint)

    def _add_crash(self, part: PartId, crash: PartCrash) -> None:
        """Add a crash to a part's record, which begins with the second endpoint."""
        record = self._records.get(part)
        if record is None:
            first = self._sightings.get(part)
            if first is None or first.endpoint in self._explained:
                self._add_sighting(part, crash)
                return
            if first.endpoint == crash.endpoint:
                self._sightings[part] = first.merge(crash)
                return
            del self._sightings[part]
            self.watch_version += 1
            record = self._records[part] = PartRecord()
            record.add(first)
        record.add(crash)

    def _add_sighting(self, part: PartId, sighting: PartCrash) -> None:
        # Moves a part that was seen before to the end.
        self._sightings.pop(part, None)
        self._sightings[part] = sighting
        self.watch_version += 1
        if len(self._sightings) > MAX_SIGHTINGS:
            del self._sightings[next(iter(self._sightings))]

    def _end_sighting(self, part: PartId, ended_at: float) -> None:
        sighting = self._sightings.get(part)
        if sighting is not None and sighting.crashed_at < ended_at:
            del self._sightings[part]
            self.watch_version += 1

    def _explain(self, endpoint: str, harmful: Collection[PartId], now: float) -> None:
        """Remove an endpoint's crash from the parts that did not cause it."""
        self._explained[endpoint] = now
        for part, record in self._records.items():
            if not record.is_held and part not in harmful:
                record.remove(endpoint)

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
            if (
                max(len(self._records[part].crashes) for part in suspects)
                >= MAX_CRASHES
            ):
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
        return record.is_held, len(record.crashes), record.last_crash_at

    def _remove_expired(self, now: float) -> None:
        for endpoint, at in list(self._explained.items()):
            if now - at > RETENTION_S:
                del self._explained[endpoint]
        for part, sighting in list(self._sightings.items()):
            if now - sighting.reported_at <= RETENTION_S:
                break
            del self._sightings[part]
            self.watch_version += 1
        for part, ended_at in list(self._ended_at.items()):
            if now - ended_at > RETENTION_S:
                del self._ended_at[part]
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
