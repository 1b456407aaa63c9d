"""Choice of an endpoint for one request."""

import functools
import random
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

import msgspec

from tarragonway.core.hashes import rank_by_hash
from tarragonway.core.ids import EndpointId, ServiceName
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import Load, Prompt
from tarragonway.gateway.estimates import (
    Choice,
    DelayEstimator,
    Estimate,
    count_computed_tokens,
)
from tarragonway.pace import PaceTracker, ServiceTimes
from tarragonway.routing.connection_reuse import find_connected
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
# Endpoints whose estimated delays differ by at most this are chosen among at random.
TIE_TOLERANCE_MS = 0.5
# Fraction of the latency objective by which the estimated delays of endpoints with
# paces may differ and still count as equal. Callers lose nothing while an answer begins
# within the objective, but queues grow where all requests go to the fastest endpoint.
TOLERANCE_FRACTION = 0.1
# Endpoints with an idle connection that are considered for a request.
MAX_CONNECTED = 3
# Shared prompt parts that save less work than this do not outweigh a new connection,
# which costs a round trip and holds a slot meanwhile.
MIN_SAVED_MS = 5.0
# Endpoints with paces that are drawn for a request, of which the best is chosen. Since
# all gateways know the same paces, and loads only from old reports, the best of all
# would be sent too much (Mitzenmacher, "How useful is old information?", 2000).
DRAWN_ENDPOINTS = 3
# Among few endpoints, more draws would exclude the slow ones.
DRAWN_OF_FEW = 2
FEW_ENDPOINTS = 8
# Tries for each endpoint that is drawn; one is enough where paces are equal.
MAX_TRIES = 12
# Further endpoints that are drawn before a request is found to be late at the first.
REDRAWN_ENDPOINTS = 8


class _Health(msgspec.Struct):
    unhealthy_until: float = float("-inf")
    failures: int = 0


class EndpointChooser:
    """Chooses endpoints by load, cached prompt parts and recent failures.

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
        self._estimator = DelayEstimator(load_tracker, speeds, self.paces)
        self._health: dict[str, _Health] = {}

    @property
    def service_times(self) -> ServiceTimes:
        """Service times of plain services."""
        return self._estimator.service_times

    def choose(
        self,
        rows: Iterable[ListedEndpoint],
        service: ServiceName,
        prompt: Prompt | None,
        now: float,
        objective_ms: float = 0.0,
        connected: Collection[str] = (),
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
        connected : collection of str
            Endpoints with an idle connection for this request, in order of preference.
        """
        candidates = list(rows)
        unhealthy = self._list_unhealthy(now)
        pool = candidates
        if unhealthy:
            pool = [row for row in pool if row.key not in unhealthy] or pool
        if not pool:
            return None
        warm_rows = self._select_warm(pool, prompt)
        warm = [row.key for row in warm_rows]
        speed = self._speeds.get(service)
        cold_tokens = prompt.input_tokens if prompt is not None else 0
        warm_tokens = count_computed_tokens(prompt, True) if warm else cold_tokens
        cold_ms = cold_tokens * speed.prompt_token_ms
        warm_ms = warm_tokens * speed.prompt_token_ms
        bound_to = warm if cold_ms - warm_ms >= MIN_SAVED_MS else []
        if self.paces.has_paces(service):
            drawn = self._draw_candidates(pool, warm_rows, connected)

            def estimate(row: ListedEndpoint) -> Estimate:
                if prompt is None:
                    return self._estimator.estimate_plain(row, service, now)
                tokens = warm_tokens if row.key in warm else cold_tokens
                return self._estimator.estimate_paced(row, tokens, speed, now)

            key, chosen = self._choose_drawn(
                pool, drawn, estimate, warm, bound_to, connected, objective_ms
            )
            return Choice(
                drawn[key],
                chosen[0],
                chosen[1],
                warm_tokens if key in warm else cold_tokens,
                chosen[2],
                is_paced=True,
            )
        works_ms = [warm_ms if row.key in warm else cold_ms for row in pool]
        delays_ms = self._estimator.estimate_all_ms(pool, works_ms, speed, now)
        limit_ms = min(delays_ms) + TIE_TOLERANCE_MS
        near = [
            (row, delay_ms)
            for row, delay_ms in zip(pool, delays_ms, strict=True)
            if delay_ms <= limit_ms
        ]
        if connected:
            by_key = {
                row.key: (row, delay_ms)
                for row, delay_ms in zip(pool, delays_ms, strict=True)
            }
            found = find_connected(
                {key: delay_ms for key, (_, delay_ms) in by_key.items()},
                connected,
                bound_to,
                objective_ms,
            )
            near = near if found is None else [by_key[found]]
        row, delay_ms = self._random.choice(near)
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
        self._load_tracker.record_start(EndpointId(choice.endpoint.key))
        self._estimator.backlogs.record_send(choice)

    def record_first_event(self, choice: Choice, taken_ms: float, now: float) -> None:
        """Record that the endpoint began to answer ``taken_ms`` after the send."""
        self._estimator.backlogs.record_first_event(choice, taken_ms, now)

    def record_late(self, choice: Choice, taken_ms: float, now: float) -> None:
        """Record that a send was given up without an answer after ``taken_ms``."""
        self._estimator.backlogs.record_late(choice, taken_ms, now)

    def record_completion(
        self, choice: Choice, began: bool, failed: bool, now: float
    ) -> None:
        """Record that a request has ended; ``began`` if its answer had begun."""
        key = choice.endpoint.key
        self._load_tracker.record_end(EndpointId(key), failed, now)
        if not began:
            self._estimator.backlogs.record_unanswered(choice)
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

    def list_loads(self, keys: Sequence[str]) -> list[float]:
        """Return the expected number of requests on each endpoint."""
        return self._load_tracker.list_expected(keys)

    def record_load(self, endpoint: ListedEndpoint, load: Load, now: float) -> None:
        """Record the load that an endpoint reported."""
        key, requests = endpoint.key, load.running + load.waiting
        self._load_tracker.record_report(EndpointId(key), requests)
        if self.paces.has_paces(endpoint.service):
            self._estimator.usual_loads.record(
                endpoint.service, key, requests, endpoint.slots, now
            )

    def forget_unlisted(self, keys: set[str]) -> None:
        """Remove the state of endpoints whose key is not in ``keys``."""
        self._load_tracker.discard_unlisted({EndpointId(key) for key in keys})
        for key in set(self._health) - keys:
            del self._health[key]
        self._estimator.backlogs.retain(keys)
        self.paces.retain(keys)
        self._estimator.usual_loads.retain(keys)

    def _select_warm(
        self, pool: list[ListedEndpoint], prompt: Prompt | None
    ) -> list[ListedEndpoint]:
        """Return the endpoints that probably have the prompt's shared parts cached.

        The ranking depends only on hashes of the prompt and of the endpoints' keys, so
        all gateways that choose among the same endpoints return the same ones.
        """
        if prompt is None or not prompt.affinity_key:
            return []
        keys = tuple([row.key for row in pool])
        return [pool[index] for index in _rank_warm(prompt.affinity_key, keys)]

    def _draw_candidates(
        self,
        pool: list[ListedEndpoint],
        warm_rows: list[ListedEndpoint],
        connected: Collection[str],
    ) -> dict[str, ListedEndpoint]:
        """Return a few endpoints drawn by their speeds, warm and connected ones."""
        count = DRAWN_OF_FEW if len(pool) <= FEW_ENDPOINTS else DRAWN_ENDPOINTS
        drawn = {row.key: row for row in self._draw(pool, count)}
        # In random order, since the first of nearly equal ones is chosen.
        for row in warm_rows if self._random.random() < 0.5 else warm_rows[::-1]:
            drawn[row.key] = row
        if connected:
            rows = {row.key: row for row in pool}
            usable = [key for key in connected if key in rows and key not in drawn]
            for key in usable[:MAX_CONNECTED]:
                drawn[key] = rows[key]
        return drawn

    def _draw(self, pool: list[ListedEndpoint], count: int) -> list[ListedEndpoint]:
        """Draw endpoints with replacement, in proportion to 1 / learned pace."""
        draw, usual, fastest = self._random.random, self.paces.usual, self.paces.fastest
        drawn = []
        # An endpoint is rejected with the probability that its pace implies. The number
        # of tries is bounded, as all usable ones may be far slower than the fastest.
        for _ in range(MAX_TRIES * count):
            row = pool[int(draw() * len(pool))]
            if draw() * usual.get(row.key, 1.0) < fastest:
                drawn.append(row)
                if len(drawn) == count:
                    return drawn
        return [*drawn, pool[int(draw() * len(pool))]]

    def _choose_drawn(
        self,
        pool: list[ListedEndpoint],
        drawn: dict[str, ListedEndpoint],
        estimate: Callable[[ListedEndpoint], Estimate],
        warm: Collection[str],
        bound_to: Collection[str],
        connected: Collection[str],
        objective_ms: float,
    ) -> tuple[str, Estimate]:
        """Return the best of the drawn endpoints.

        Of those with nearly the same delay, one with an open connection is preferred,
        then one with the prompt cached, and then the one drawn first, so that they
        share requests by their speeds. If all are late, others are drawn too.
        """
        estimates = {key: estimate(row) for key, row in drawn.items()}
        delays_ms = {key: values[0] for key, values in estimates.items()}
        if objective_ms and min(delays_ms.values()) > objective_ms:
            for row in self._draw(pool, REDRAWN_ENDPOINTS):
                if row.key not in drawn:
                    drawn[row.key], estimates[row.key] = row, estimate(row)
                    delays_ms[row.key] = estimates[row.key][0]
            key = min(delays_ms, key=delays_ms.__getitem__)
            return key, estimates[key]
        found = find_connected(delays_ms, connected, bound_to, objective_ms)
        key = found or _choose_near(delays_ms, warm, objective_ms)
        return key, estimates[key]


def _choose_near(
    delays_ms: Mapping[str, float], warm: Collection[str], objective_ms: float
) -> str:
    """Return the first endpoint whose delay is near the least one; warm ones first."""
    tolerance_ms = max(TIE_TOLERANCE_MS, TOLERANCE_FRACTION * objective_ms)
    limit_ms = min(delays_ms.values()) + tolerance_ms
    near = [key for key, delay_ms in delays_ms.items() if delay_ms <= limit_ms]
    return next((key for key in near if key in warm), near[0])


@functools.lru_cache(maxsize=MAX_RANKINGS)
def _rank_warm(affinity_key: str, keys: tuple[str, ...]) -> tuple[int, ...]:
    """Return the positions of the endpoints that all gateways prefer for the key."""
    ranked = rank_by_hash(affinity_key, list(keys))[:AFFINITY_ENDPOINTS]
    return tuple(keys.index(key) for key in ranked)
