"""A gateway's part of load shedding: what it offers, and which requests it admits.

It addresses the two ways in which a gateway would refuse wrongly: by fractions that are
older than the load, and by drawing lots, which refuses several requests in a row.
"""

import math
import random

import msgspec

from tarragonway.core.ids import AccountId, ServiceName
from tarragonway.exchange import Load
from tarragonway.overload.messages import (
    MAX_RANK,
    MAX_ROWS,
    AdmittedRow,
    OfferedRow,
    OfferedService,
)
from tarragonway.overload.shares import LoadKey, OfferedLoad

# Time constant of the offered load. A gateway gets few requests a second of each kind,
# but the leader adds up those of all gateways.
SMOOTHING_S = 1.0
# Shortest time between two computations of this.
DECAY_INTERVAL_S = 0.05
# Offered load is reported early if a service's work has changed by this factor.
EARLY_REPORT_FACTOR = 1.3
MIN_REPORT_INTERVAL_S = 1.0
# Smaller loads are not reported.
MIN_WORK_S = 0.0005
# The leader is heard of several times a second. Without it for this time, a gateway
# goes by its own estimates only.
MAX_LEADER_AGE_S = 2.0
# A service is full while the loads that its endpoints report are at least this part of
# their slots, on average over this time constant. With old figures, some endpoints have
# free slots while others have queues, so a little less than all slots suffices. A
# refusal is harmful while under half of the slots are taken and nothing waits.
FULL_FRACTION = 0.95
LOAD_SMOOTHING_S = 0.5
# Weight of reports, each 1 when it arrives, without which fullness is not known.
MIN_LOAD_WEIGHT = 1.5
# An endpoint with a long queue counts at most as this part of its slots.
MAX_LOAD_FRACTION = 2.0
# An overload is expected to last as long again as it has lasted, within these bounds.
MIN_FORESEEN_S = 0.5
MAX_FORESEEN_S = 5.0
# Callers return between these multiples of that time, and wait only up to a fraction of
# the time that they have left.
MIN_RETURN_FACTOR = 0.5
MAX_RETURN_FACTOR = 1.5
RETURN_FRACTION = 1 / 3
# Multiples of the golden ratio are spread evenly, whatever their number.
SPREAD_STEP = 0.6180339887498949
# Largest number in a report; more is beyond any capacity.
MAX_REPORTED = 10**12
# Keys whose parts of a request are kept; the oldest is dropped first.
MAX_KEYS = 1024


class _Average(msgspec.Struct):
    """Mean of values whose weight decays."""

    at: float = 0.0
    total: float = 0.0
    weight: float = 0.0

    def add(self, value: float, now: float) -> None:
        self._decay(now)
        self.total += value
        self.weight += 1.0

    def read(self, now: float) -> float:
        """Return the mean, or 0 without enough values."""
        self._decay(now)
        return self.total / self.weight if self.weight >= MIN_LOAD_WEIGHT else 0.0

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.at) / LOAD_SMOOTHING_S)
        self.total *= factor
        self.weight *= factor
        self.at = now


class LoadShedder:
    """Measures the load that a gateway offers, and admits the part that is served.

    Parameters
    ----------
    source : random.Random
        Draws the first part of each key, so that gateways do not refuse together.

    Attributes
    ----------
    version : int
        Version of the fractions that the leader sent, -1 without any.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._offered: dict[ServiceName, dict[LoadKey, OfferedLoad]] = {}
        self._decayed_at = 0.0
        self._reported: dict[ServiceName, float] = {}
        self._reported_at = float("-inf")
        self._fractions: dict[ServiceName, dict[LoadKey, float]] = {}
        self._since: dict[ServiceName, float] = {}
        self._heard_at = float("-inf")
        self._loads: dict[ServiceName, _Average] = {}
        self._parts: dict[tuple[ServiceName, LoadKey], float] = {}
        self._refused = 0
        self.version = -1

    def record_offered(
        self, service: ServiceName, key: LoadKey, work_s: float, now: float
    ) -> None:
        """Count a request of estimated ``work_s`` seconds in the offered load."""
        self._decay(now)
        load = self._offered.setdefault(service, {}).setdefault(key, OfferedLoad())
        load.work += work_s / SMOOTHING_S
        load.requests += 1 / SMOOTHING_S

    def list_offered(
        self, is_due: bool, now: float
    ) -> dict[ServiceName, OfferedService] | None:
        """Return the offered loads if they are due or have changed much, else None."""
        if not self._offered and not self._reported:
            return None
        self._decay(now)
        work = {
            service: sum(load.work for load in loads.values())
            for service, loads in self._offered.items()
        }
        if not is_due:
            if now - self._reported_at < MIN_REPORT_INTERVAL_S:
                return None
            if not any(
                self._has_changed(name, amount) for name, amount in work.items()
            ):
                return None
        self._reported, self._reported_at = work, now
        return {
            name: OfferedService(_make_rows(loads), self._compute_queue(name, now))
            for name, loads in self._offered.items()
        }

    def set_admitted(
        self,
        version: int,
        admitted: dict[ServiceName, tuple[AdmittedRow, ...]] | None,
        now: float,
    ) -> None:
        """Apply what the leader sent: None leaves the fractions as they are.

        Version -1 means that no service is overloaded.
        """
        self._heard_at = now
        if version < 0:
            admitted = {}
        if admitted is None:
            return
        self.version = version
        self._fractions = {
            service: {
                LoadKey(row.rank, row.priority, row.account): row.percent / 100
                for row in rows
            }
            for service, rows in admitted.items()
        }
        self._since = {name: self._since.get(name, now) for name in admitted}

    def record_load(self, service: ServiceName, load: Load, now: float) -> None:
        """Record the load that an endpoint reports."""
        if load.slots > 0:
            fraction = min(
                MAX_LOAD_FRACTION, (load.running + load.waiting) / load.slots
            )
            self._loads.setdefault(service, _Average()).add(fraction, now)

    def is_full(self, service: ServiceName, now: float) -> bool:
        """Return whether the endpoints that answered lately have no free slots."""
        average = self._loads.get(service)
        return average is not None and average.read(now) >= FULL_FRACTION

    def decide(
        self, service: ServiceName, key: LoadKey, time_left_s: float, now: float
    ) -> float:
        """Return 0 if a request is admitted, else when its caller may return.

        Of the requests of a key, each counts its fraction; one is admitted whenever
        the sum reaches 1.

        Parameters
        ----------
        service : ServiceName
            Service of the request.
        key : LoadKey
            Rank, priority and account of the request.
        time_left_s : float
            Seconds until the caller's deadline.
        now : float
            Current time in seconds.
        """
        fraction = self._fractions.get(service, {}).get(key, 1.0)
        if fraction >= 1.0 or now - self._heard_at > MAX_LEADER_AGE_S:
            return 0.0
        if not self.is_full(service, now):
            return 0.0
        part = self._parts.pop((service, key), None)
        part = (self._random.random() if part is None else part) + fraction
        is_admitted = part >= 1.0
        self._parts[service, key] = part - 1.0 if is_admitted else part
        while len(self._parts) > MAX_KEYS:
            del self._parts[next(iter(self._parts))]
        return 0.0 if is_admitted else self._foresee_return(service, time_left_s, now)

    def _compute_queue(self, service: ServiceName, now: float) -> int:
        """Return the waiting requests in percent of the slots."""
        average = self._loads.get(service)
        load = average.read(now) if average is not None else 0.0
        return round(100 * min(1.0, max(0.0, load - 1.0)))

    def _foresee_return(
        self, service: ServiceName, time_left_s: float, now: float
    ) -> float:
        lasted_s = now - self._since.get(service, now)
        foreseen_s = min(MAX_FORESEEN_S, max(MIN_FORESEEN_S, lasted_s))
        if foreseen_s * MIN_RETURN_FACTOR < RETURN_FRACTION * time_left_s:
            max_s = min(MAX_RETURN_FACTOR * foreseen_s, RETURN_FRACTION * time_left_s)
        else:
            max_s = MAX_RETURN_FACTOR * foreseen_s
        min_s = MIN_RETURN_FACTOR * foreseen_s
        self._refused += 1
        return min_s + (max_s - min_s) * (self._refused * SPREAD_STEP % 1.0)

    def _has_changed(self, service: ServiceName, work: float) -> bool:
        reported = self._reported.get(service, 0.0)
        low, high = sorted((reported, work))
        return high > MIN_WORK_S and high > EARLY_REPORT_FACTOR * low

    def _decay(self, now: float) -> None:
        if now - self._decayed_at < DECAY_INTERVAL_S:
            return
        factor = math.exp((self._decayed_at - now) / SMOOTHING_S)
        self._decayed_at = now
        for service, loads in list(self._offered.items()):
            for key, load in list(loads.items()):
                load.work *= factor
                load.requests *= factor
                if load.work < MIN_WORK_S:
                    del loads[key]
            if not loads:
                del self._offered[service]


def make_key(rank: int, priority: int, account: AccountId) -> LoadKey:
    """Return the key of a request, with rank and priority within their bounds."""
    bounded_rank = max(0, min(MAX_RANK, rank))
    return LoadKey(bounded_rank, max(0, min(MAX_RANK, priority)), account)


def _make_rows(loads: dict[LoadKey, OfferedLoad]) -> tuple[OfferedRow, ...]:
    """Return the rows of the largest loads."""
    largest = sorted(loads.items(), key=lambda item: -item[1].work)[:MAX_ROWS]
    return tuple(
        OfferedRow(
            key.account,
            key.rank,
            key.priority,
            min(MAX_REPORTED, round(1000 * load.work)),
            min(MAX_REPORTED, round(100 * load.requests)),
        )
        for key, load in largest
    )
