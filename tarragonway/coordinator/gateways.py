"""What the leader knows of the gateways, and its answers to their reports."""

import statistics

import msgspec
import structlog

from tarragonway.coordinator.lease import DutyLease
from tarragonway.core.clock import WallClock
from tarragonway.core.ids import AccountId, Fingerprint, ProcessName
from tarragonway.links.messages import Beat, BeatReply, Crash
from tarragonway.replication import LogDriver

PRESENT_S = 3.0
# A new leader first hears from all gateways before it tells their number.
SETTLED_S = 1.2
FORGET_S = 120.0
CLOCK_STEP_MIN_S = 0.02
# Answers are lost for other reasons too, and a caller's resend is the same content.
CRASHES_TO_QUARANTINE = 3
CRASHES_MOST = 4096
QUARANTINE_MOST = 64

_log = structlog.get_logger()


class _Gateway(msgspec.Struct):
    heard_at: float
    clock_lead_s: float
    clock_s: float
    windows: dict[int, dict[AccountId, int]]
    pressure: dict[str, float]


class GatewayBook:
    """Reports of the gateways since this process leads.

    Parameters
    ----------
    driver : LogDriver
        Tells the term.
    lease : DutyLease
        Tells how long this process leads.
    clock : WallClock
        This process's clock, corrected to the median of all.
    """

    def __init__(self, driver: LogDriver, lease: DutyLease, clock: WallClock) -> None:
        self._driver = driver
        self._lease = lease
        self._clock = clock
        self._gateways: dict[ProcessName, _Gateway] = {}
        self._crashes: dict[Fingerprint, set[str]] = {}
        self.quarantined: dict[Fingerprint, None] = {}

    def clear(self) -> None:
        """Forget all: another process leads."""
        self._gateways.clear()

    def answer(
        self,
        beat: Beat,
        listing: int,
        listing_age_s: float,
        now: float,
    ) -> BeatReply:
        """Take a report and return the answer."""
        gateway = self._take(beat, now)
        present = self._list_present(now)
        settled = self._lease.leads_for_s >= SETTLED_S
        return BeatReply(
            self._driver.replica.term,
            beat.sequence,
            self._correct_clock(gateway, present) if settled else 0.0,
            len(present) if settled else 0,
            listing,
            listing_age_s,
            tuple(self.quarantined),
            tuple(self._list_suspects()),
        )

    def sum_window(self, window: int) -> dict[AccountId, int]:
        """Return the requests that began in a window, by client account."""
        total: dict[AccountId, int] = {}
        for gateway in self._gateways.values():
            for account, count in gateway.windows.get(window, {}).items():
                total[account] = total.get(account, 0) + count
        return total

    def has_heard_past(self, clock_s: float, now: float) -> bool:
        """Return whether all present gateways have reported since a wall-clock time."""
        present = self._list_present(now).values()
        return all(gateway.clock_s > clock_s for gateway in present)

    def sum_pressure(self, service: str, now: float) -> float:
        """Return the work that all gateways send to a service, in seconds a second."""
        present = self._list_present(now).values()
        return sum(gateway.pressure.get(service, 0.0) for gateway in present)

    def note_crash(self, crash: Crash) -> None:
        """Quarantine a content that has broken off enough endpoints."""
        fingerprint = crash.fingerprint
        endpoints = self._crashes.setdefault(fingerprint, set())
        endpoints.add(crash.endpoint)
        while len(self._crashes) > CRASHES_MOST:
            del self._crashes[next(iter(self._crashes))]
        if len(endpoints) < CRASHES_TO_QUARANTINE or fingerprint in self.quarantined:
            return
        self.quarantined[fingerprint] = None
        _log.warning("content is quarantined", fingerprint=fingerprint)
        while len(self.quarantined) > QUARANTINE_MOST:
            del self.quarantined[next(iter(self.quarantined))]

    def _take(self, beat: Beat, now: float) -> _Gateway:
        gateway = self._gateways.get(beat.name)
        if gateway is None:
            _log.info("gateway reports", gateway=beat.name)
            gateway = _Gateway(now, 0.0, 0.0, {}, {})
            self._gateways[beat.name] = gateway
        gateway.heard_at = now
        gateway.clock_lead_s = beat.clock_s - self._clock.now()
        gateway.clock_s = beat.clock_s
        gateway.pressure = beat.pressure
        for window in beat.usage:
            gateway.windows[window.window] = window.counts
        while len(gateway.windows) > 32:
            del gateway.windows[min(gateway.windows)]
        for crash in beat.crashes:
            self.note_crash(crash)
        for name in [
            n for n, g in self._gateways.items() if now - g.heard_at > FORGET_S
        ]:
            del self._gateways[name]
        return gateway

    def clear_content(self, fingerprint: Fingerprint) -> None:
        """Forget what a content is suspected of: it ran to its end."""
        if self._crashes.pop(fingerprint, None) is not None:
            _log.info("content is cleared", fingerprint=fingerprint)

    def _list_suspects(self) -> list[Fingerprint]:
        """Return the contents that one more endpoint would bring into quarantine."""
        least = CRASHES_TO_QUARANTINE - 1
        return [
            fingerprint
            for fingerprint, endpoints in self._crashes.items()
            if len(endpoints) >= least and fingerprint not in self.quarantined
        ][-QUARANTINE_MOST:]

    def _list_present(self, now: float) -> dict[ProcessName, _Gateway]:
        return {
            name: gateway
            for name, gateway in self._gateways.items()
            if now - gateway.heard_at <= PRESENT_S
        }

    def _correct_clock(
        self, gateway: _Gateway, present: dict[ProcessName, _Gateway]
    ) -> float:
        """Return what the gateway's clock lacks against the median of all clocks."""
        leads = [0.0, *(other.clock_lead_s for other in present.values())]
        median = statistics.median_low(leads)
        if abs(median) > CLOCK_STEP_MIN_S:
            self._clock.correct(median)
            for other in present.values():
                other.clock_lead_s -= median
        return -gateway.clock_lead_s
