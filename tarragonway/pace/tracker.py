"""Paces of endpoints, as one gateway knows them.

Load pattern: endpoints of one service differ in speed permanently, and each one's speed
also changes several times a second, so that equal loads mean unequal delays.
"""

import collections
import statistics
from collections.abc import Iterable, Mapping

import msgspec

from tarragonway.core.ids import ServiceName
from tarragonway.pace.messages import MAX_SENT_PACES, EndpointPace, MeasuredPace
from tarragonway.pace.model import limit_pace

# Half-life of a stated slowdown, which changes several times a second.
STATEMENT_HALF_LIFE_S = 0.15
# Older statements have lost all but 1 % of their influence.
STATEMENT_LIFETIME_S = 1.0
# Statements that the mean of a gateway's own ones reaches back over.
RETAINED_STATEMENTS = 64
# Measured times of an endpoint that are kept until the next report.
RETAINED_RATIOS = 16
# Shorter expected times are dominated by the network.
MIN_EXPECTED_MS = 10.0


class _Pace(msgspec.Struct):
    service: ServiceName
    usual_slowdown: float = 1.0
    ratio: float = 1.0
    is_shared: bool = False
    slowdown: float = 1.0
    stated_at: float = float("-inf")
    statements: int = 0
    unreported_sum: float = 0.0
    unreported: int = 0
    ratios: collections.deque[float] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=RETAINED_RATIOS)
    )

    def compute_slowdown(self, now: float) -> float:
        """Return the last slowdown, decayed towards the usual one."""
        age_s = now - self.stated_at
        if age_s >= STATEMENT_LIFETIME_S:
            return self.usual_slowdown
        weight: float = 0.5 ** (age_s / STATEMENT_HALF_LIFE_S)
        return self.usual_slowdown + (self.slowdown - self.usual_slowdown) * weight

    @property
    def samples(self) -> int:
        return self.unreported + len(self.ratios)


class PaceTracker:
    """Learned pace and current slowdown of each endpoint.

    The pace is the time that work takes relative to a usual endpoint. It is the product
    of the slowdown, which endpoints state, and of a ratio, which is learned from
    measured times. The usual slowdown and the ratio are those that the leader has
    combined from all gateways; until they arrive, the usual slowdown is the mean of the
    gateway's own statements, and the ratio is 1. An endpoint that has never stated a
    slowdown has no pace here. Times are those of the event loop's clock.

    Examples
    --------
    >>> paces = PaceTracker()
    >>> paces.get_pace("e1", now=0.0)
    1.0
    >>> for second in range(20):
    ...     paces.record_statement("llm", "e1", 1.0, now=float(second))
    >>> paces.record_statement("llm", "e1", 3.0, now=30.0)
    >>> [round(paces.get_pace("e1", now), 2) for now in (30.0, 30.15, 33.0)]
    [3.0, 2.05, 1.1]
    """

    def __init__(self) -> None:
        self._paces: dict[str, _Pace] = {}
        # The learned pace of each endpoint, which is read for all of them per choice.
        self._usual: dict[str, float] = {}
        self._fastest = 1.0
        self._services: set[ServiceName] = set()

    def has_paces(self, service: ServiceName) -> bool:
        """Return whether an endpoint of the service has stated a slowdown."""
        return service in self._services

    def get_usual(self, key: str) -> float:
        """Return the learned pace of an endpoint, 1 if nothing is known."""
        return self._usual.get(key, 1.0)

    @property
    def usual(self) -> Mapping[str, float]:
        """Learned pace by endpoint; those of which nothing is known are missing."""
        return self._usual

    @property
    def fastest(self) -> float:
        """The least learned pace of all endpoints, at most 1."""
        return self._fastest

    def get_pace(self, key: str, now: float) -> float:
        """Return the current pace of an endpoint, 1 if nothing is known.

        The last stated slowdown decays towards the usual one.
        """
        pace = self._paces.get(key)
        if pace is None:
            return 1.0
        return limit_pace(pace.compute_slowdown(now) * pace.ratio)

    def get_ages(self, key: str, now: float) -> tuple[float, int]:
        """Return the age of the last statement in seconds, and how many there were."""
        pace = self._paces.get(key)
        return (now - pace.stated_at, pace.statements) if pace else (float("inf"), 0)

    def record_statement(
        self, service: ServiceName, key: str, slowdown: float, now: float
    ) -> None:
        """Record the slowdown that an endpoint of the service states."""
        pace = self._get_or_create(service, key)
        slowdown = limit_pace(slowdown)
        pace.slowdown, pace.stated_at = slowdown, now
        pace.statements += 1
        pace.unreported += 1
        pace.unreported_sum += slowdown
        if not pace.is_shared:
            weight = 1 / min(pace.statements, RETAINED_STATEMENTS)
            pace.usual_slowdown += (slowdown - pace.usual_slowdown) * weight
            self._usual[key] = limit_pace(pace.usual_slowdown * pace.ratio)
            self._fastest = min([1.0, *self._usual.values()])

    def record_time(
        self, key: str, taken_ms: float, expected_ms: float, now: float
    ) -> bool:
        """Record a measured time of an endpoint; return whether it is used.

        Parameters
        ----------
        key : str
            The endpoint; one without a statement is passed over.
        taken_ms : float
            Measured time in milliseconds.
        expected_ms : float
            Time that a usual endpoint would take with the same load; the current
            slowdown is taken into account here.
        now : float
            Time of the event loop's clock, in seconds.
        """
        pace = self._paces.get(key)
        if pace is None or expected_ms < MIN_EXPECTED_MS:
            return False
        slowdown = pace.compute_slowdown(now)
        pace.ratios.append(limit_pace(taken_ms / (expected_ms * slowdown)))
        return True

    def take_report(self) -> dict[ServiceName, dict[str, MeasuredPace]]:
        """Return what was learned since the last call, by service and endpoint.

        With too many endpoints for one message, those with the most samples are
        returned, and the others later.
        """
        changed = [row for row in self._paces.items() if row[1].samples]
        changed.sort(key=lambda row: row[1].samples, reverse=True)
        report: dict[ServiceName, dict[str, MeasuredPace]] = {}
        for key, pace in changed[:MAX_SENT_PACES]:
            report.setdefault(pace.service, {})[key] = MeasuredPace(
                _to_percent(pace.unreported_sum / max(1, pace.unreported)),
                min(pace.unreported, 65_535),
                _to_percent(statistics.median(pace.ratios) if pace.ratios else 1.0),
                len(pace.ratios),
            )
            pace.unreported, pace.unreported_sum = 0, 0.0
            pace.ratios.clear()
        return report

    def set_shared(
        self, paces: Mapping[ServiceName, Mapping[str, EndpointPace]]
    ) -> None:
        """Use the paces that the leader has combined."""
        for service, rows in paces.items():
            for key, shared in rows.items():
                pace = self._get_or_create(service, key)
                pace.usual_slowdown = shared.slowdown / 100
                pace.ratio = shared.ratio / 100
                pace.is_shared = True
                self._usual[key] = limit_pace(pace.usual_slowdown * pace.ratio)
            self._fastest = min([1.0, *self._usual.values()])

    def retain(self, keys: Iterable[str]) -> None:
        """Remove the paces of all other endpoints."""
        for key in set(self._paces).difference(keys):
            del self._paces[key]
            self._usual.pop(key, None)
        self._fastest = min([1.0, *self._usual.values()])
        self._services = {pace.service for pace in self._paces.values()}

    def make_dump(self) -> dict[str, float]:
        """Return the learned pace by endpoint."""
        return {key: round(pace, 2) for key, pace in self._usual.items()}

    def _get_or_create(self, service: ServiceName, key: str) -> _Pace:
        pace = self._paces.get(key)
        if pace is None:
            pace = self._paces[key] = _Pace(service)
            self._services.add(service)
        return pace


def _to_percent(value: float) -> int:
    return round(limit_pace(value) * 100)
