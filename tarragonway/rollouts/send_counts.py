"""Counts of a gateway's sends, as evidence on the version of a rollout.

Load pattern: some answers of a bad version fail or are slow, perhaps on one route only.
Each gateway sees too few of them to judge, so the leader adds up what all have counted.
"""

import enum
import math
from collections.abc import Mapping

import msgspec

from tarragonway.core.counters import Counters
from tarragonway.core.ids import ServiceName, SoftwareVersion
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.rollouts.messages import RouteCounts, VersionCounts
from tarragonway.rollouts.model import Rollout

# Shorter times count as this one, so that each has a finite logarithm.
MIN_MS = 0.1


class SendResult(enum.Enum):
    """What the end of a send says of its endpoint.

    ``UNREACHED`` means that there was no connection, ``CALLER_LEFT`` that the caller
    did not wait for the end, and ``NO_EVIDENCE`` that the endpoint refused the request
    or never got it.
    """

    ANSWERED = enum.auto()
    STREAMED = enum.auto()
    FAILED = enum.auto()
    UNREACHED = enum.auto()
    CALLER_LEFT = enum.auto()
    NO_EVIDENCE = enum.auto()


class RolloutSend(msgspec.Struct):
    """A request at an endpoint.

    ``number`` is that of the service's rollout in progress at the beginning, None
    without one. ``first_ms`` is the time until the first part of the answer, None
    before it. ``was_sent`` is set once the request is written.
    """

    service: ServiceName
    version: SoftwareVersion
    route: str
    number: int | None = None
    is_new: bool = False
    is_cold: bool = False
    first_ms: float | None = None
    was_sent: bool = False


class _SideCounts(msgspec.Struct):
    sent: int = 0
    answers: int = 0
    failures: int = 0
    slow: int = 0
    log_ms: float = 0.0

    def make_message(self) -> VersionCounts:
        return VersionCounts(
            self.sent, self.answers, self.failures, self.slow, round(self.log_ms, 3)
        )


class _RouteSides(msgspec.Struct):
    old: _SideCounts = msgspec.field(default_factory=_SideCounts)
    new: _SideCounts = msgspec.field(default_factory=_SideCounts)


class SendCounts:
    """Counts sends by rollout, route and side, and all sends in flight.

    Requests in flight are counted without a rollout too, since those that began before
    an order must have ended before the rollout is completed.

    Parameters
    ----------
    counters : Counters
        Receives ``rollout.sent_old`` and ``rollout.sent_new``.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._in_flight: dict[tuple[ServiceName, SoftwareVersion], int] = {}
        self._routes: dict[int, dict[str, _RouteSides]] = {}

    def retain(self, numbers: set[int]) -> None:
        """Start counts for these rollouts, and remove those of all others."""
        self._routes = {number: self._routes.get(number, {}) for number in numbers}

    def start(
        self, endpoint: ListedEndpoint, route: str, rollout: Rollout | None
    ) -> RolloutSend:
        """Record that a request is about to be sent to the endpoint.

        Parameters
        ----------
        endpoint : ListedEndpoint
            Endpoint of the send.
        route : str
            Name of the request's route.
        rollout : Rollout or None
            Rollout of the service that is in progress.
        """
        place = (endpoint.service, endpoint.version)
        self._in_flight[place] = self._in_flight.get(place, 0) + 1
        send = RolloutSend(*place, route)
        if rollout is not None:
            send.number = rollout.number
            send.is_new = endpoint.version == rollout.order.version
            send.is_cold = endpoint.cold_s > 0
        return send

    def record_sent(self, send: RolloutSend) -> None:
        """Record that the request has been written to its endpoint."""
        send.was_sent = True
        side = self._find_side(send)
        if side is not None:
            side.sent += 1
            name = "rollout.sent_new" if send.is_new else "rollout.sent_old"
            self._counters.increment(name)

    def end(
        self,
        send: RolloutSend,
        result: SendResult,
        taken_ms: float,
        slow_ms: Mapping[str, float],
        is_active: bool,
    ) -> None:
        """Record that the send has ended.

        Parameters
        ----------
        send : RolloutSend
            The send.
        result : SendResult
            How it ended.
        taken_ms : float
            Time since its beginning in milliseconds.
        slow_ms : mapping of str to float
            Times over which answers count as slow, by route.
        is_active : bool
            Whether the endpoint is listed and not leaving.
        """
        self._remove_in_flight(send)
        side = self._find_side(send)
        if side is None:
            return
        max_ms = math.inf if send.is_cold else slow_ms.get(send.route, math.inf)
        first_ms = taken_ms if send.first_ms is None else send.first_ms
        match result:
            case SendResult.ANSWERED:
                _record_time(side, taken_ms, max_ms)
            case SendResult.STREAMED:
                _record_time(side, first_ms, max_ms)
            case SendResult.FAILED:
                _record_failure(side)
            case SendResult.UNREACHED if send.is_new and is_active:
                # What was never written is no sent request, but it is one that the
                # version should have answered.
                side.sent += not send.was_sent
                _record_failure(side)
            case SendResult.CALLER_LEFT if first_ms > max_ms:
                # A caller leaves a hanging answer at about the deadline, often before
                # the gateway gives it up. That it is slow is known already.
                _record_time(side, first_ms, max_ms)

    def count_old_in_flight(self, rollout: Rollout) -> int:
        """Return the requests in flight at endpoints of other versions."""
        order = rollout.order
        return sum(
            count
            for (service, version), count in self._in_flight.items()
            if service == order.service and version != order.version
        )

    def count_sent(self, number: int) -> tuple[int, int]:
        """Return the requests sent to the old side and to the new one."""
        sides = self._routes.get(number, {}).values()
        return sum(s.old.sent for s in sides), sum(s.new.sent for s in sides)

    def make_routes(self, number: int) -> dict[str, RouteCounts]:
        """Return the counts of a rollout by route, as they are reported."""
        return {
            name: RouteCounts(sides.old.make_message(), sides.new.make_message())
            for name, sides in self._routes.get(number, {}).items()
        }

    def _remove_in_flight(self, send: RolloutSend) -> None:
        place = (send.service, send.version)
        self._in_flight[place] -= 1
        if not self._in_flight[place]:
            del self._in_flight[place]

    def _find_side(self, send: RolloutSend) -> _SideCounts | None:
        """Return the counts of the send's side, None if its rollout has ended."""
        routes = None if send.number is None else self._routes.get(send.number)
        if routes is None:
            return None
        sides = routes.setdefault(send.route, _RouteSides())
        return sides.new if send.is_new else sides.old


def _record_failure(side: _SideCounts) -> None:
    side.answers += 1
    side.failures += 1


def _record_time(side: _SideCounts, taken_ms: float, max_ms: float) -> None:
    side.answers += 1
    side.slow += taken_ms > max_ms
    side.log_ms += math.log(max(MIN_MS, taken_ms))
