"""Choice of an endpoint for one request."""

import random
from collections.abc import Iterable

import msgspec

from tarragonway.core.hashes import rank_by_hash
from tarragonway.core.ids import EndpointId, ServiceName
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import EngineSpeed, Load, Prompt
from tarragonway.routing.engine_speed import EngineSpeeds
from tarragonway.routing.loads import LoadTracker

# Shortest and longest time for which an unreachable endpoint counts as unhealthy.
MIN_UNHEALTHY_S = 0.5
MAX_UNHEALTHY_S = 4.0
# Bounds the exponent of a long series of failures.
MAX_DOUBLINGS = 16
# Number of endpoints that all gateways prefer for the same shared prompt parts.
AFFINITY_ENDPOINTS = 2
# Half-life of a measured delay; endpoints work off their backlog within about a second.
DELAY_HALF_LIFE_S = 0.7
# Endpoints whose estimated delays differ by at most this are chosen among at random.
TIE_TOLERANCE_MS = 0.5
# Estimated delay for each request beyond the endpoint's slots, the new one included.
EXCESS_REQUEST_MS = 100.0
# Estimated additional delay during an endpoint's cold start.
COLD_START_MS = 200.0


class Choice(msgspec.Struct, frozen=True):
    """A chosen endpoint and the estimated delay until its first event.

    ``work_ms`` is the part of ``delay_ms`` that the request itself causes;
    ``prompt_tokens`` is the number of its prompt tokens that are probably not cached.
    """

    endpoint: ListedEndpoint
    delay_ms: float
    work_ms: float
    prompt_tokens: int = 0


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

    Parameters
    ----------
    load_tracker : LoadTracker
        Expected load by endpoint.
    speeds : EngineSpeeds
        Speed of each service's engines.
    source : random.Random
        Chooses among endpoints with nearly the same estimated delay.
    """

    def __init__(
        self, load_tracker: LoadTracker, speeds: EngineSpeeds, source: random.Random
    ) -> None:
        self._load_tracker = load_tracker
        self._speeds = speeds
        self._random = source
        self._health: dict[str, _Health] = {}
        self._backlogs: dict[str, _Backlog] = {}

    def choose(
        self,
        rows: Iterable[ListedEndpoint],
        service: ServiceName,
        prompt: Prompt | None,
        now: float,
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
        """
        candidates = list(rows)
        healthy = [row for row in candidates if not self.is_unhealthy(row.key, now)]
        pool = healthy or candidates
        if not pool:
            return None
        warm = self._select_warm(pool, prompt)
        speed = self._speeds.get(service)
        choices = [
            self._estimate(row, prompt, row.key in warm, speed, now) for row in pool
        ]
        min_delay_ms = min(choice.delay_ms for choice in choices)
        return self._random.choice(
            [
                choice
                for choice in choices
                if choice.delay_ms <= min_delay_ms + TIE_TOLERANCE_MS
            ]
        )

    def is_unhealthy(self, key: str, now: float) -> bool:
        """Return whether the endpoint was recently unreachable or is ejected."""
        health = self._health.get(key)
        unhealthy = health is not None and health.unhealthy_until > now
        return unhealthy or self._load_tracker.is_ejected(EndpointId(key), now)

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

    def record_load(self, key: str, load: Load) -> None:
        """Record the load that an endpoint reported."""
        self._load_tracker.record_report(EndpointId(key), load.running + load.waiting)

    def forget_unlisted(self, keys: set[str]) -> None:
        """Remove the state of endpoints whose key is not in ``keys``."""
        self._load_tracker.discard_unlisted({EndpointId(key) for key in keys})
        for key in set(self._health) - keys:
            del self._health[key]
        for key in set(self._backlogs) - keys:
            del self._backlogs[key]

    def _select_warm(
        self, pool: list[ListedEndpoint], prompt: Prompt | None
    ) -> frozenset[str]:
        """Return the endpoints that probably have the prompt's shared parts cached.

        The ranking depends only on hashes of the prompt and of the endpoints' keys, so
        all gateways that choose among the same endpoints return the same ones.
        """
        if prompt is None or not prompt.affinity_key:
            return frozenset()
        ranked = rank_by_hash(prompt.affinity_key, [row.key for row in pool])
        return frozenset(ranked[:AFFINITY_ENDPOINTS])

    def _estimate(
        self,
        row: ListedEndpoint,
        prompt: Prompt | None,
        warm: bool,
        speed: EngineSpeed,
        now: float,
    ) -> Choice:
        tokens = 0
        if prompt is not None:
            cached_tokens = prompt.shared_tokens if warm else 0
            tokens = max(0, prompt.input_tokens - cached_tokens)
        work_ms = tokens * speed.prompt_token_ms
        load = self._load_tracker.get_expected(EndpointId(row.key))
        delay_ms = work_ms + load * speed.running_request_ms
        if row.slots and load >= row.slots:
            delay_ms += (load - row.slots + 1) * EXCESS_REQUEST_MS
        if row.cold_s > 0:
            delay_ms += COLD_START_MS
        backlog = self._backlogs.get(row.key)
        if backlog is not None:
            delay_ms += max(backlog.pending_ms, self._decay_delay(backlog, now))
        return Choice(row, delay_ms, work_ms, tokens)

    def _decay_delay(self, backlog: _Backlog, now: float) -> float:
        age = (now - backlog.measured_at) / DELAY_HALF_LIFE_S
        return backlog.delay_ms * 0.5**age
