"""Estimated delays until the first event at endpoints."""

from collections.abc import Sequence

import msgspec

from tarragonway.core.ids import EndpointId, ServiceName
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import EngineSpeed, Prompt
from tarragonway.pace import (
    ENGINE_LOAD_HALF_LIFE_S,
    PLAIN_LOAD_HALF_LIFE_S,
    PaceTracker,
    ServiceTimes,
    UsualLoads,
)
from tarragonway.routing.engine_speed import EngineSpeeds
from tarragonway.routing.loads import LoadTracker

# Half-life of a measured delay; endpoints work off their backlog within about a second.
DELAY_HALF_LIFE_S = 0.7
# Estimated delay for each request beyond the endpoint's slots, the new one included.
EXCESS_REQUEST_MS = 100.0
# Estimated additional delay during an endpoint's cold start.
COLD_START_MS = 200.0

# Delay, the part of it that the request itself causes, and the time that a usual
# endpoint would take (see Choice), all in milliseconds.
Estimate = tuple[float, float, float | None]


class Choice(msgspec.Struct, frozen=True):
    """A chosen endpoint and the estimated delay until its first event.

    ``work_ms`` is the part of ``delay_ms`` that the request itself causes;
    ``prompt_tokens`` is the number of its prompt tokens that are probably not cached.
    ``expected_ms`` is the time that a usual endpoint with this load would take; None if
    the endpoint has no free slot, or its service has no paces. ``is_paced`` is whether
    it has some; without them, the delays of plain services only serve to compare
    endpoints.
    """

    endpoint: ListedEndpoint
    delay_ms: float
    work_ms: float
    prompt_tokens: int = 0
    expected_ms: float | None = None
    is_paced: bool = False


class _Backlog(msgspec.Struct):
    pending_ms: float = 0.0
    delay_ms: float = 0.0
    measured_at: float = 0.0


class Backlogs:
    """Backlogs of endpoints, estimated in two ways.

    These are the work of requests that this gateway has sent there and that have no
    first event yet, and the measured delay of answered requests beyond their own work.
    """

    def __init__(self) -> None:
        self._backlogs: dict[str, _Backlog] = {}

    def get(self, key: str, now: float) -> float:
        """Return the larger one of both estimates, in milliseconds."""
        backlog = self._backlogs.get(key)
        if backlog is None:
            return 0.0
        delay_ms = _decay_delay(backlog, now)
        return delay_ms if delay_ms > backlog.pending_ms else backlog.pending_ms

    def list_all(self, keys: Sequence[str], now: float) -> list[float]:
        """Return the larger one of both estimates for each endpoint."""
        known = self._backlogs
        return [self.get(key, now) if key in known else 0.0 for key in keys]

    def get_measured(self, key: str, now: float) -> float:
        """Return the measured delay in milliseconds."""
        backlog = self._backlogs.get(key)
        return _decay_delay(backlog, now) if backlog is not None else 0.0

    def record_send(self, choice: Choice) -> None:
        """Record that a request is sent to the chosen endpoint."""
        key = choice.endpoint.key
        self._backlogs.setdefault(key, _Backlog()).pending_ms += choice.work_ms

    def record_first_event(self, choice: Choice, taken_ms: float, now: float) -> None:
        """Record that the endpoint began to answer ``taken_ms`` after the send."""
        backlog = self._backlogs.setdefault(choice.endpoint.key, _Backlog())
        backlog.pending_ms = max(0.0, backlog.pending_ms - choice.work_ms)
        measured_ms = max(0.0, taken_ms - choice.work_ms)
        backlog.delay_ms = (_decay_delay(backlog, now) + measured_ms) / 2
        backlog.measured_at = now

    def record_late(self, choice: Choice, taken_ms: float, now: float) -> None:
        """Record that a send was given up without a first event after ``taken_ms``.

        The delay is at least the time beyond the work, so the estimate only rises.
        """
        backlog = self._backlogs.setdefault(choice.endpoint.key, _Backlog())
        before_ms = _decay_delay(backlog, now)
        measured_ms = max(before_ms, taken_ms - choice.work_ms)
        backlog.delay_ms = (before_ms + measured_ms) / 2
        backlog.measured_at = now

    def record_unanswered(self, choice: Choice) -> None:
        """Record that a request has ended without a first event."""
        backlog = self._backlogs.get(choice.endpoint.key)
        if backlog is not None:
            backlog.pending_ms = max(0.0, backlog.pending_ms - choice.work_ms)

    def retain(self, keys: set[str]) -> None:
        """Remove the backlogs of all other endpoints."""
        for key in set(self._backlogs) - keys:
            del self._backlogs[key]


class DelayEstimator:
    """Estimates delays from loads, backlogs, speeds of engines and paces.

    Parameters
    ----------
    load_tracker : LoadTracker
        Expected load by endpoint.
    speeds : EngineSpeeds
        Speed of each service's engines.
    paces : PaceTracker
        Paces of endpoints.
    """

    def __init__(
        self, load_tracker: LoadTracker, speeds: EngineSpeeds, paces: PaceTracker
    ) -> None:
        self._load_tracker = load_tracker
        self._speeds = speeds
        self._paces = paces
        self.service_times = ServiceTimes()
        self.usual_loads = UsualLoads()
        self.backlogs = Backlogs()

    def estimate_all_ms(
        self,
        rows: Sequence[ListedEndpoint],
        works_ms: Sequence[float],
        speed: EngineSpeed,
        now: float,
    ) -> list[float]:
        """Estimate the delay in milliseconds at each endpoint, without paces.

        ``works_ms`` is the work that the request itself causes at each endpoint.
        """
        keys = [row.key for row in rows]
        loads = self._load_tracker.list_expected(keys)
        backlogs_ms = self.backlogs.list_all(keys, now)
        running_request_ms = speed.running_request_ms
        delays_ms = []
        for row, work_ms, load, backlog_ms in zip(
            rows, works_ms, loads, backlogs_ms, strict=True
        ):
            delay_ms = work_ms + load * running_request_ms
            if load >= row.slots > 0:
                delay_ms += (load - row.slots + 1) * EXCESS_REQUEST_MS
            if row.cold_s > 0:
                delay_ms += COLD_START_MS
            delays_ms.append(delay_ms + backlog_ms)
        return delays_ms

    def estimate_paced(
        self, row: ListedEndpoint, tokens: int, speed: EngineSpeed, now: float
    ) -> Estimate:
        """Estimate the time until the first event of a model engine.

        ``tokens`` is the number of prompt tokens that the engine has to compute.
        """
        key = row.key
        pace = self._paces.get_pace(key, now)
        work_ms = tokens * speed.prompt_token_ms
        load = self._foresee_load(row, ENGINE_LOAD_HALF_LIFE_S, now)
        expected_ms = work_ms + load * speed.running_request_ms
        delay_ms = expected_ms * pace
        is_usual = True
        if load >= row.slots:
            delay_ms += (load - row.slots + 1) * EXCESS_REQUEST_MS * pace
            is_usual = False
        if row.cold_s > 0:
            delay_ms += COLD_START_MS
            is_usual = False
        delay_ms += self.backlogs.get(key, now)
        return delay_ms, work_ms * pace, expected_ms if is_usual else None

    def estimate_plain(
        self, row: ListedEndpoint, service: ServiceName, now: float
    ) -> Estimate:
        """Estimate the time until the answer of a plain service.

        Each request on the endpoint counts, also below the number of slots: the load is
        known from old reports, so a partly busy endpoint may be full on arrival.
        """
        service_ms = self.service_times.get(service)
        pace = self._paces.get_pace(row.key, now)
        load = self._foresee_load(row, PLAIN_LOAD_HALF_LIFE_S, now)
        slots = max(1, row.slots)
        delay_ms = service_ms * (1 + load / slots) * pace
        if row.cold_s > 0:
            delay_ms += COLD_START_MS
        delay_ms += self.backlogs.get_measured(row.key, now)
        is_usual = load < slots and row.cold_s <= 0
        return delay_ms, service_ms * pace, service_ms if is_usual else None

    def _foresee_load(
        self, row: ListedEndpoint, half_life_s: float, now: float
    ) -> float:
        """Return the load of an endpoint, at least this gateway's own requests."""
        key = EndpointId(row.key)
        expected, running = self._load_tracker.get_loads(key)
        load = self.usual_loads.foresee(
            row.service, key, expected, row.slots, half_life_s, now
        )
        return load if load > running else float(running)


def count_computed_tokens(prompt: Prompt | None, is_warm: bool) -> int:
    """Return how many tokens of a prompt an endpoint probably has to compute."""
    if prompt is None:
        return 0
    cached_tokens = prompt.shared_tokens if is_warm else 0
    return max(0, prompt.input_tokens - cached_tokens)


def _decay_delay(backlog: _Backlog, now: float) -> float:
    age = (now - backlog.measured_at) / DELAY_HALF_LIFE_S
    delay_ms: float = backlog.delay_ms * 0.5**age
    return delay_ms
