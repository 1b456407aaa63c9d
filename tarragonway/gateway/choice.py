"""Choice of an endpoint for one request."""

import random
from collections.abc import Collection, Iterable

import msgspec

from tarragonway.core.hashes import rank_by_hash
from tarragonway.core.ids import EndpointId, ServiceName
from tarragonway.endpoints.listing import ListedEndpoint
from tarragonway.exchange import Load, Prompt
from tarragonway.routing.loads import LoadBoard

DOWN_S = 0.5
DOWN_MAX_S = 4.0
AFFINITY_RANKS = 2
# A measured delay counts half after this time, since endpoints empty within a second.
DELAY_HALF_LIFE_S = 0.7
TIE_MS = 0.5


class CostModel(msgspec.Struct, frozen=True):
    """Expected delay of a request at an endpoint, in milliseconds.

    ``prompt_token_ms`` is the time to read one token that is not cached, ``running_ms``
    what each request that runs there adds. Both follow from the engines' published
    speed. ``full_ms`` is added for each request beyond the slots, ``cold_ms`` while an
    endpoint is still slow after its start.
    """

    prompt_token_ms: float = 1 / 55
    running_ms: float = 4.0
    full_ms: float = 100.0
    cold_ms: float = 200.0


class Choice(msgspec.Struct, frozen=True):
    """An endpoint and the delay until its first event, as far as it can be foreseen.

    ``work_ms`` is the part that the request itself causes.
    """

    endpoint: ListedEndpoint
    delay_ms: float
    work_ms: float


class _Health(msgspec.Struct):
    down_until: float = float("-inf")
    failures: int = 0


class _Backlog(msgspec.Struct):
    pending_ms: float = 0.0
    delay_ms: float = 0.0
    measured_at: float = 0.0


class Chooser:
    """Picks endpoints by load, cached prompt parts and recent failures.

    An endpoint's backlog is what this gateway has sent there without a first event yet,
    and the delay beyond their own work of requests that got one.

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
        self._backlogs: dict[str, _Backlog] = {}
        self._model = CostModel()

    def choose(
        self,
        rows: Iterable[ListedEndpoint],
        service: ServiceName,
        prompt: Prompt | None,
        tried: Collection[str],
        now: float,
    ) -> Choice | None:
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
        choices = [self._weigh(row, prompt, row.key in warm, now) for row in pool]
        least = min(choice.delay_ms for choice in choices)
        return self._random.choice(
            [choice for choice in choices if choice.delay_ms <= least + TIE_MS]
        )

    def is_down(self, key: str, now: float) -> bool:
        """Return whether the endpoint failed just now."""
        health = self._health.get(key)
        down = health is not None and health.down_until > now
        return down or self._board.is_ejected(EndpointId(key), now)

    def note_start(self, choice: Choice) -> None:
        """Note that a request goes to the chosen endpoint."""
        key = choice.endpoint.key
        self._board.record_start(EndpointId(key))
        self._backlogs.setdefault(key, _Backlog()).pending_ms += choice.work_ms

    def note_first_event(self, choice: Choice, taken_ms: float, now: float) -> None:
        """Note that the request has begun to answer, after ``taken_ms``."""
        backlog = self._backlogs.setdefault(choice.endpoint.key, _Backlog())
        backlog.pending_ms = max(0.0, backlog.pending_ms - choice.work_ms)
        measured_ms = max(0.0, taken_ms - choice.work_ms)
        backlog.delay_ms = (self._fade(backlog, now) + measured_ms) / 2
        backlog.measured_at = now

    def note_end(self, choice: Choice, began: bool, failed: bool, now: float) -> None:
        """Note that a request has ended, whether it ever ``began`` to answer."""
        key = choice.endpoint.key
        self._board.record_end(EndpointId(key), failed, now)
        backlog = self._backlogs.get(key)
        if not began and backlog is not None:
            backlog.pending_ms = max(0.0, backlog.pending_ms - choice.work_ms)
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
        self._board.record_report(EndpointId(key), load.running + load.waiting)

    def keep(self, keys: set[str]) -> None:
        """Forget endpoints that are no longer listed."""
        self._board.keep({EndpointId(key) for key in keys})
        for key in set(self._health) - keys:
            del self._health[key]
        for key in set(self._backlogs) - keys:
            del self._backlogs[key]

    def _rank_warm(
        self, pool: list[ListedEndpoint], prompt: Prompt | None
    ) -> frozenset[str]:
        """Return the endpoints that all gateways prefer for the shared parts."""
        if prompt is None or not prompt.affinity:
            return frozenset()
        ranked = rank_by_hash(prompt.affinity, [row.key for row in pool])
        return frozenset(ranked[:AFFINITY_RANKS])

    def _weigh(
        self, row: ListedEndpoint, prompt: Prompt | None, warm: bool, now: float
    ) -> Choice:
        model = self._model
        work_ms = 0.0
        if prompt is not None:
            tokens = prompt.tokens_in - (prompt.shared_tokens if warm else 0)
            work_ms = max(0, tokens) * model.prompt_token_ms
        load = self._board.get_expected(EndpointId(row.key))
        delay_ms = work_ms + load * model.running_ms
        if row.slots and load >= row.slots:
            delay_ms += (load - row.slots + 1) * model.full_ms
        if row.cold_s > 0:
            delay_ms += model.cold_ms
        backlog = self._backlogs.get(row.key)
        if backlog is not None:
            delay_ms += max(backlog.pending_ms, self._fade(backlog, now))
        return Choice(row, delay_ms, work_ms)

    def _fade(self, backlog: _Backlog, now: float) -> float:
        age = (now - backlog.measured_at) / DELAY_HALF_LIFE_S
        return backlog.delay_ms * 0.5**age
