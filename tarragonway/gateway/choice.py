"""Choice of an endpoint for one request."""

import random
from collections.abc import Collection, Iterable

import msgspec

from tarragonway.core.hashes import rank_by_hash
from tarragonway.core.ids import ServiceName
from tarragonway.endpoints.listing import ListedEndpoint
from tarragonway.gateway.model import Load, Prompt
from tarragonway.routing.loads import LoadBoard

DOWN_S = 0.5
DOWN_MAX_S = 4.0
AFFINITY_RANKS = 2


class CostModel(msgspec.Struct, frozen=True):
    """Expected delay of a request at an endpoint, in milliseconds.

    ``prompt_token_ms`` is the time to read one token that is not cached, ``request_ms``
    what each request already there adds. Both follow from the engines' published speed.
    """

    prompt_token_ms: float = 1 / 55
    request_ms: float = 12.0
    cold_ms: float = 200.0


class _Health(msgspec.Struct):
    down_until: float = float("-inf")
    failures: int = 0


class Chooser:
    """Picks endpoints by load, cached prompt parts and recent failures.

    Parameters
    ----------
    board : LoadBoard
        Expected load by endpoint.
    source : random.Random
        Breaks ties.
    """

    def __init__(self, board: LoadBoard, source: random.Random) -> None:
        self._board = board
        self._random = source
        self._health: dict[str, _Health] = {}
        self._model = CostModel()

    def choose(
        self,
        rows: Iterable[ListedEndpoint],
        service: ServiceName,
        prompt: Prompt | None,
        tried: Collection[str],
        now: float,
    ) -> ListedEndpoint | None:
        """Return the endpoint with the least expected delay, or None.

        Endpoints that leave or were tried are left out; endpoints that failed just now
        are used only if nothing else is left.
        """
        candidates = [
            row
            for row in rows
            if row.service == service and not row.leaving and row.key not in tried
        ]
        healthy = [row for row in candidates if not self.is_down(row.key, now)]
        pool = healthy or candidates
        if not pool:
            return None
        warm = self._rank_warm(pool, prompt)
        costs = [(self._cost(row, prompt, row.key in warm), row) for row in pool]
        least = min(cost for cost, _ in costs)
        return self._random.choice([row for cost, row in costs if cost <= least + 0.5])

    def is_down(self, key: str, now: float) -> bool:
        """Return whether the endpoint failed just now."""
        health = self._health.get(key)
        down = health is not None and health.down_until > now
        return down or self._board.is_ejected(key, now)  # type: ignore[arg-type]

    def note_start(self, key: str) -> None:
        """Note that a request goes there."""
        self._board.record_start(key)  # type: ignore[arg-type]

    def note_end(self, key: str, failed: bool, now: float) -> None:
        """Note that a request has ended there."""
        self._board.record_end(key, failed, now)  # type: ignore[arg-type]
        if not failed:
            self._health.pop(key, None)

    def note_unreachable(self, key: str, now: float) -> None:
        """Leave the endpoint out for a while that doubles with each failure."""
        health = self._health.setdefault(key, _Health())
        health.failures += 1
        pause_s = min(DOWN_MAX_S, DOWN_S * 2 ** (health.failures - 1))
        health.down_until = now + pause_s

    def note_load(self, key: str, load: Load) -> None:
        """Take over an endpoint's own report."""
        self._board.record_report(key, load.running + load.waiting)  # type: ignore[arg-type]

    def keep(self, keys: set[str]) -> None:
        """Forget endpoints that are no longer listed."""
        self._board.keep(keys)  # type: ignore[arg-type]
        for key in set(self._health) - keys:
            del self._health[key]

    def _rank_warm(
        self, pool: list[ListedEndpoint], prompt: Prompt | None
    ) -> frozenset[str]:
        """Return the endpoints that all gateways prefer for the shared parts."""
        if prompt is None or not prompt.affinity:
            return frozenset()
        ranked = rank_by_hash(prompt.affinity, [row.key for row in pool])
        return frozenset(ranked[:AFFINITY_RANKS])

    def _cost(self, row: ListedEndpoint, prompt: Prompt | None, warm: bool) -> float:
        load = self._board.get_expected(row.key)  # type: ignore[arg-type]
        cost = load * self._model.request_ms
        if row.slots and load >= row.slots:
            cost += (load - row.slots + 1) * 10 * self._model.request_ms
        if row.cold_s > 0:
            cost += self._model.cold_ms
        if prompt is not None:
            tokens = prompt.tokens_in - (prompt.shared_tokens if warm else 0)
            cost += max(0, tokens) * self._model.prompt_token_ms
        return cost
