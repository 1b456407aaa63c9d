"""Choice of an endpoint for one request."""

import functools
import random
from collections.abc import Iterable

import msgspec

from tarragonway.core.hashes import rank_by_hash
from tarragonway.core.ids import EndpointId, ServiceName
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import Load, Prompt
from tarragonway.pace import (
    ENGINE_LOAD_HALF_LIFE_S,
    PLAIN_LOAD_HALF_LIFE_S,
    PaceTracker,
    ServiceTimes,
    UsualLoads,
)
from tarragonway.routing.engine_speed import EngineSpeeds
from tarragonway.routing.loads import LoadTracker

# Shortest and longest time for which an unreachable endpoint counts as unhealthy.
MIN_UNHEALTHY_S = 0.5
MAX_UNHEALTHY_S = 4.0
# Bounds the exponent of a long series of failures.
MAX_DOUBLINGS = 16
# Number of endpoints that all gateways prefer for the same shared prompt parts.
AFFINITY_ENDPOINTS = 2
# Rankings that are kept, since shared prompt parts recur.
MAX_RANKINGS = 256
# Half-life of a measured delay; endpoints work off their backlog within about a second.
DELAY_HALF_LIFE_S = 0.7
# Endpoints whose estimated delays differ by at most this are chosen among at random.
TIE_TOLERANCE_MS = 0.5
# Estimated delay for each request beyond the endpoint's slots, the new one included.
EXCESS_REQUEST_MS = 100.0
# Estimated additional delay during an endpoint's cold start.
COLD_START_MS = 200.0
# Fraction of the latency objective by which the estimated delays of endpoints with
# paces may differ and still count as equal. Callers lose nothing while an answer begins
# within the objective, but queues grow where all requests go to the fastest endpoint.
TOLERANCE_FRACTION = 0.1
# Endpoints with paces that are drawn for a request, of which the best is chosen. Since
# all gateways know the same paces, and loads only from old reports, the best of all
# would be sent too much (Mitzenmacher, "How useful is old information?", 2000).
DRAWN_ENDPOINTS = 3
# Among few endpoints, more draws would exclude the slow ones.
DRAWN_OF_FEW = 2
FEW_ENDPOINTS = 8
# Further endpoints that are drawn before a request is found to be late at the first.
REDRAWN_ENDPOINTS = 8


class Choice(msgspec.Struct, frozen=True):
    """A chosen endpoint and the estimated delay until its first event.

    ``work_ms`` is the part of ``delay_ms`` that the request itself causes;
    ``prompt_tokens`` is the number of its prompt tokens that are probably not cached.
    ``expected_ms`` is the time that a usual endpoint with this load would take; None if
    the endpoint has no free slot, or its service has no paces.
    """

    endpoint: ListedEndpoint
    delay_ms: float
    work_ms: float
    prompt_tokens: int = 0
    expected_ms: float | None = None


class _Health(msgspec.Struct):
    unhealthy_until: float = float("-inf")
    failures: int = 0


class _Backlog(msgspec.Struct):
    pending_ms: float = 0.0
    delay_ms: float = 0.0
    measured_at: float = 0.0


class EndpointChooser:
    """Chooses endpoints by load, cached prompt parts and recent failures.

    An endpoint's backlog is estimated in two ways, of which the larger counts: the work
    of requests that this gateway has sent there and that have no first event yet, and
    the measured delay of answered requests beyond their own work.

    Where endpoints of a service state slowdowns, the delay is multiplied by the pace of
    the endpoint, and a few endpoints are drawn in proportion to their speed, of which
    the one with the least delay is chosen. Those that probably have the prompt cached
    are always among them.

    Parameters
    ----------
    load_tracker : LoadTracker
        Expected load by endpoint.
    speeds : EngineSpeeds
        Speed of each service's engines.
    source : random.Random
        Chooses among endpoints with nearly the same estimated delay.
    paces : PaceTracker, optional
        Paces of endpoints.
    """

    def __init__(
        self,
        load_tracker: LoadTracker,
        speeds: EngineSpeeds,
        source: random.Random,
        paces: PaceTracker | None = None,
    ) -> None:
        self._load_tracker = load_tracker
        self._speeds = speeds
        self._random = source
        self.paces = paces or PaceTracker()
        self.service_times = ServiceTimes()
        self._usual_loads = UsualLoads()
        self._health: dict[str, _Health] = {}
        self._backlogs: dict[str, _Backlog] = {}

    def choose(
        self,
        rows: Iterable[ListedEndpoint],
        service: ServiceName,
        prompt: Prompt | None,
        now: float,
        objective_ms: float = 0.0,
    ) -> Choice | None:
        """Return the endpoint with the least estimated delay, or None.

        Unhealthy endpoints are used only if no healthy one remains.

        Parameters
        ----------
        rows : iterable of ListedEndpoint
            Endpoints of the service that may be sent the request.
        service : ServiceName
            Service whose engines' speed is used.
        prompt : Prompt or None
            Size and shared parts of the request, if known.
        now : float
            Time of the event loop's clock, in seconds.
        objective_ms : float
            Latency objective of the request in milliseconds, 0 if it has none.
        """
        candidates = list(rows)
        unhealthy = self._list_unhealthy(now)
        pool = [row for row in candidates if row.key not in unhealthy] or candidates
        if not pool:
            return None
        warm = self._select_warm(pool, prompt)
        if self.paces.has_paces(service):
            return self._choose_paced(pool, warm, service, prompt, now, objective_ms)
        speed = self._speeds.get(service)
        cold_tokens = _count_computed_tokens(prompt, False)
        warm_tokens = _count_computed_tokens(prompt, True)
        delays_ms = [
            self._estimate_ms(
                row,
                (warm_tokens if row.key in warm else cold_tokens)
                * speed.prompt_token_ms,
                speed.running_request_ms,
                now,
            )
            for row in pool
        ]
        limit_ms = min(delays_ms) + TIE_TOLERANCE_MS
        row, delay_ms = self._random.choice(
            [
                (row, delay_ms)
                for row, delay_ms in zip(pool, delays_ms, strict=True)
                if delay_ms <= limit_ms
            ]
        )
        tokens = warm_tokens if row.key in warm else cold_tokens
        return Choice(row, delay_ms, tokens * speed.prompt_token_ms, tokens)

    def is_unhealthy(self, key: str, now: float) -> bool:
        """Return whether the endpoint was recently unreachable or is ejected."""
        health = self._health.get(key)
        unhealthy = health is not None and health.unhealthy_until > now
        return unhealthy or self._load_tracker.is_ejected(EndpointId(key), now)

    def _list_unhealthy(self, now: float) -> set[str]:
        ejected: set[str] = {*self._load_tracker.list_ejected(now)}
        for key, health in self._health.items():
            if health.unhealthy_until > now:
                ejected.add(key)
        return ejected

    def record_send(self, choice: Choice) -> None:
        """Record that a request is sent to the chosen endpoint."""
        key = choice.endpoint.key
        self._load_tracker.record_start(EndpointId(key))
        self._backlogs.setdefault(key, _Backlog()).pending_ms += choice.work_ms

    def record_first_event(self, choice: Choice, taken_ms: float, now: float) -> None:
        """Record that the endpoint began to answer ``taken_ms`` after the send."""
        backlog = self._backlogs.setdefault(choice.endpoint.key, _Backlog())
        backlog.pending_ms = max(0.0, backlog.pending_ms - choice.work_ms)
        measured_ms = max(0.0, taken_ms - choice.work_ms)
        backlog.delay_ms = (self._decay_delay(backlog, now) + measured_ms) / 2
        backlog.measured_at = now

    def record_completion(
        self, choice: Choice, began: bool, failed: bool, now: float
    ) -> None:
        """Record that a request has ended; ``began`` if its answer had begun."""
        key = choice.endpoint.key
        self._load_tracker.record_end(EndpointId(key), failed, now)
        backlog = self._backlogs.get(key)
        if not began and backlog is not None:
            backlog.pending_ms = max(0.0, backlog.pending_ms - choice.work_ms)
        if began and not failed:
            self._health.pop(key, None)

    def record_unreachable(self, key: str, now: float) -> None:
        """Mark the endpoint as unhealthy for a time that doubles with each failure.

        The time is at most :data:`MAX_UNHEALTHY_S`, and starts at its minimum again
        after a request that did not fail.
        """
        health = self._health.setdefault(key, _Health())
        health.failures += 1
        doublings = min(health.failures - 1, MAX_DOUBLINGS)
        unhealthy_s = min(MAX_UNHEALTHY_S, MIN_UNHEALTHY_S * 2**doublings)
        health.unhealthy_until = now + unhealthy_s

    def get_load(self, key: str) -> float:
        """Return the expected number of requests on an endpoint."""
        return self._load_tracker.get_expected(EndpointId(key))

    def record_load(self, endpoint: ListedEndpoint, load: Load, now: float) -> None:
        """Record the load that an endpoint reported."""
        key, requests = endpoint.key, load.running + load.waiting
        self._load_tracker.record_report(EndpointId(key), requests)
        if self.paces.has_paces(endpoint.service):
            self._usual_loads.record(
                endpoint.service, key, requests, endpoint.slots, now
            )

    def forget_unlisted(self, keys: set[str]) -> None:
        """Remove the state of endpoints whose key is not in ``keys``."""
        self._load_tracker.discard_unlisted({EndpointId(key) for key in keys})
        for key in set(self._health) - keys:
            del self._health[key]
        for key in set(self._backlogs) - keys:
            del self._backlogs[key]
        self.paces.retain(keys)
        self._usual_loads.retain(keys)

    def _select_warm(
        self, pool: list[ListedEndpoint], prompt: Prompt | None
    ) -> frozenset[str]:
        """Return the endpoints that probably have the prompt's shared parts cached.

        The ranking depends only on hashes of the prompt and of the endpoints' keys, so
        all gateways that choose among the same endpoints return the same ones.
        """
        if prompt is None or not prompt.affinity_key:
            return frozenset()
        return _rank_warm(prompt.affinity_key, tuple(row.key for row in pool))

    def _estimate_ms(
        self,
        row: ListedEndpoint,
        work_ms: float,
        running_request_ms: float,
        now: float,
    ) -> float:
        load = self._load_tracker.get_expected(EndpointId(row.key))
        delay_ms = work_ms + load * running_request_ms
        if row.slots and load >= row.slots:
            delay_ms += (load - row.slots + 1) * EXCESS_REQUEST_MS
        if row.cold_s > 0:
            delay_ms += COLD_START_MS
        backlog = self._backlogs.get(row.key)
        if backlog is not None:
            delay_ms += max(backlog.pending_ms, self._decay_delay(backlog, now))
        return delay_ms

    def _choose_paced(
        self,
        pool: list[ListedEndpoint],
        warm: frozenset[str],
        service: ServiceName,
        prompt: Prompt | None,
        now: float,
        objective_ms: float,
    ) -> Choice:
        """Return one of the best of a few endpoints, which are drawn by their speeds.

        Of those with nearly the same delay, one with the prompt cached is preferred,
        and then the one drawn first, so that they share requests by their speeds.
        """
        usual = self.paces.usual
        weights = [(row.slots or 1) / usual.get(row.key, 1.0) for row in pool]
        count = DRAWN_OF_FEW if len(pool) <= FEW_ENDPOINTS else DRAWN_ENDPOINTS
        drawn = {row.key: row for row in self._random.choices(pool, weights, k=count)}
        if warm:
            drawn.update((row.key, row) for row in pool if row.key in warm)

        def estimate(row: ListedEndpoint) -> Choice:
            if prompt is None:
                return self._estimate_plain(row, service, now)
            return self._estimate_paced(row, service, prompt, row.key in warm, now)

        choices = [estimate(row) for row in drawn.values()]
        best = min(choices, key=_get_delay)
        if objective_ms and best.delay_ms > objective_ms:
            more = self._random.choices(pool, weights, k=REDRAWN_ENDPOINTS)
            others = {row.key: row for row in more if row.key not in drawn}
            return min([best, *map(estimate, others.values())], key=_get_delay)
        if best.endpoint.key in warm:
            return best
        tolerance_ms = max(TIE_TOLERANCE_MS, TOLERANCE_FRACTION * objective_ms)
        near = [c for c in choices if c.delay_ms <= best.delay_ms + tolerance_ms]
        return next((c for c in near if c.endpoint.key in warm), near[0])

    def _estimate_paced(
        self,
        row: ListedEndpoint,
        service: ServiceName,
        prompt: Prompt,
        is_warm: bool,
        now: float,
    ) -> Choice:
        speed = self._speeds.get(service)
        pace = self.paces.get_pace(row.key, now)
        tokens = _count_computed_tokens(prompt, is_warm)
        work_ms = tokens * speed.prompt_token_ms
        load = self._foresee_load(row, ENGINE_LOAD_HALF_LIFE_S, now)
        expected_ms = work_ms + load * speed.running_request_ms
        has_slot = load < row.slots
        excess_ms = 0.0 if has_slot else (load - row.slots + 1) * EXCESS_REQUEST_MS
        delay_ms = (expected_ms + excess_ms) * pace
        if row.cold_s > 0:
            delay_ms += COLD_START_MS
        backlog = self._backlogs.get(row.key)
        if backlog is not None:
            delay_ms += max(backlog.pending_ms, self._decay_delay(backlog, now))
        is_usual = has_slot and row.cold_s <= 0
        return Choice(
            row, delay_ms, work_ms * pace, tokens, expected_ms if is_usual else None
        )

    def _estimate_plain(
        self, row: ListedEndpoint, service: ServiceName, now: float
    ) -> Choice:
        """Estimate the time until the answer of a plain service.

        Each request on the endpoint counts, also below the number of slots: the load is
        known from old reports, so a partly busy endpoint may be full on arrival.
        """
        service_ms = self.service_times.get(service)
        pace = self.paces.get_pace(row.key, now)
        load = self._foresee_load(row, PLAIN_LOAD_HALF_LIFE_S, now)
        slots = max(1, row.slots)
        delay_ms = service_ms * (1 + load / slots) * pace
        if row.cold_s > 0:
            delay_ms += COLD_START_MS
        backlog = self._backlogs.get(row.key)
        if backlog is not None:
            delay_ms += self._decay_delay(backlog, now)
        is_usual = load < slots and row.cold_s <= 0
        return Choice(
            row, delay_ms, service_ms * pace, 0, service_ms if is_usual else None
        )

    def _foresee_load(
        self, row: ListedEndpoint, half_life_s: float, now: float
    ) -> float:
        """Return the load of an endpoint, at least this gateway's own requests."""
        key = EndpointId(row.key)
        load = self._usual_loads.foresee(
            row.service,
            row.key,
            self._load_tracker.get_expected(key),
            row.slots,
            half_life_s,
            now,
        )
        return max(load, float(self._load_tracker.get_running(key)))

    def _decay_delay(self, backlog: _Backlog, now: float) -> float:
        age = (now - backlog.measured_at) / DELAY_HALF_LIFE_S
        return backlog.delay_ms * 0.5**age


def _get_delay(choice: Choice) -> float:
    return choice.delay_ms


@functools.lru_cache(maxsize=MAX_RANKINGS)
def _rank_warm(affinity_key: str, keys: tuple[str, ...]) -> frozenset[str]:
    return frozenset(rank_by_hash(affinity_key, list(keys))[:AFFINITY_ENDPOINTS])


def _count_computed_tokens(prompt: Prompt | None, is_warm: bool) -> int:
    """Return how many tokens of a prompt an endpoint probably has to compute."""
    if prompt is None:
        return 0
    cached_tokens = prompt.shared_tokens if is_warm else 0
    return max(0, prompt.input_tokens - cached_tokens)
