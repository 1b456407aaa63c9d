"""Limits on requests per second that endpoints state for all gateways together.

The leader keeps one token bucket for each limited endpoint, and a gateway takes a
permit from it for each request. Dividing a limit among gateways in advance would break
it: with one request a second, a single token at each of many gateways exceeds it.
"""

import math
import random
from collections.abc import Collection, Mapping

import msgspec

from tarragonway.limits.overdraft import OverdraftBucket

# A bucket holds one request, and what its limit allows in this time.
BURST_S = 0.5
# A limited endpoint gets a request at least this often, as only its answers can tell
# that the limit has ended.
MAX_SILENCE_S = 10.0
# Longest time for which callers are told to wait for room at limited endpoints.
MAX_PROMISE_S = 5.0
# Fraction of a limit that the gateways use together while there is no leader.
LEADERLESS_FRACTION = 0.5
# A gateway may use a leaderless permit for this time.
LEADERLESS_VALIDITY_S = 1.0
MAX_LIMITED = 4096


class UnreadableLimit(msgspec.Struct, frozen=True):
    """A stated limit that is no finite number of at least 0."""

    texts: tuple[str, ...]


def parse_limit(texts: tuple[str, ...]) -> float | UnreadableLimit | None:
    """Return the requests per second that an answer states.

    Of several numbers the least one counts. Without a statement the result is None.

    Examples
    --------
    >>> parse_limit(("2.5",)), parse_limit(("3", "1e1", "x")), parse_limit(())
    (2.5, 3.0, None)
    >>> parse_limit(("nan",)), parse_limit(("-1",))
    (UnreadableLimit(texts=('nan',)), UnreadableLimit(texts=('-1',)))
    """
    if not texts:
        return None
    numbers = [number for text in texts if (number := _parse(text)) is not None]
    return min(numbers) if numbers else UnreadableLimit(texts)


def _parse(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


class Permit(msgspec.Struct, frozen=True):
    """Right to send one request to a limited endpoint."""

    endpoint: str


class PermitDenied(msgspec.Struct, frozen=True):
    """None of the endpoints takes a request now.

    ``waits_s`` holds, for each endpoint, the seconds until it takes the next one;
    ``return_s`` is when the caller may find room, after those that were denied before.
    """

    waits_s: dict[str, float]
    return_s: float


class _Limit(msgspec.Struct):
    per_s: float
    stated_at: float
    bucket: OverdraftBucket
    promised_at: float = float("-inf")

    @property
    def rate(self) -> float:
        """Requests per second that are granted."""
        return max(self.per_s, 1 / MAX_SILENCE_S)

    def take(self, now: float) -> float:
        """Take the permit for one request; return 0 or the seconds to wait."""
        window_s = 1 / self.rate + BURST_S
        return self.bucket.take_strictly(1.0, self.rate, window_s, now)


class RequestLimits:
    """Limits in force by endpoint incarnation, and the permits that they leave.

    Examples
    --------
    >>> limits = RequestLimits()
    >>> limits.record_statement("e1", 1.0, 0.0, now=0.0)
    >>> limits.request_permit({"e1": 1.0}, now=0.5)
    PermitDenied(waits_s={'e1': 0.5}, return_s=0.5)
    >>> limits.request_permit({"e1": 1.0}, now=1.0)
    Permit(endpoint='e1')
    """

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}
        self._ended_at: dict[str, float] = {}
        self.version = 0

    @property
    def stated(self) -> dict[str, float]:
        """Requests per second by limited endpoint."""
        return {key: limit.per_s for key, limit in self._limits.items()}

    def clear(self) -> None:
        """Remove all limits; called while this process is not the leader."""
        if self._limits or self._ended_at:
            self._limits.clear()
            self._ended_at.clear()
            self.version += 1

    def retain(self, endpoints: Collection[str]) -> None:
        """Remove the limits of all other endpoints."""
        gone = {*self._limits, *self._ended_at}.difference(endpoints)
        for key in gone:
            self._limits.pop(key, None)
            self._ended_at.pop(key, None)
        self.version += bool(gone)

    def record_statement(
        self, endpoint: str, per_s: float | None, age_s: float, now: float
    ) -> None:
        """Record what an answer of an endpoint states, None if it states no limit.

        Parameters
        ----------
        endpoint : str
            Incarnation of the endpoint.
        per_s : float or None
            Stated limit in requests per second.
        age_s : float
            Seconds since the answer, or without a limit since its request was sent: an
            answer that states none ends only a limit that was stated before.
        now : float
            Current time in seconds.
        """
        at = now - age_s
        limit = self._limits.get(endpoint)
        if per_s is None:
            if limit is not None and limit.stated_at < at:
                del self._limits[endpoint]
                self._ended_at[endpoint] = at
                self.version += 1
            return
        if self._ended_at.get(endpoint, float("-inf")) >= at:
            return
        if limit is None:
            self._add(endpoint, per_s, at, now)
        elif at >= limit.stated_at and per_s != limit.per_s:
            limit.per_s, limit.stated_at = per_s, at
            self.version += 1

    def request_permit(
        self, known: Mapping[str, float], now: float
    ) -> Permit | PermitDenied:
        """Grant one request to the first endpoint that takes one now.

        Parameters
        ----------
        known : mapping of str to float
            Limits of the endpoints, in order of preference, as the gateway knows them.
            A new leader may not have heard of them yet.
        now : float
            Current time in seconds.
        """
        waits_s: dict[str, float] = {}
        for endpoint, per_s in known.items():
            limit = self._limits.get(endpoint)
            if limit is None and endpoint in self._ended_at:
                return Permit(endpoint)
            if limit is None:
                limit = self._add(endpoint, per_s, now, now)
            wait_s = limit.take(now)
            if wait_s <= 0:
                return Permit(endpoint)
            waits_s[endpoint] = wait_s
        return PermitDenied(waits_s, self._promise(waits_s, now))

    def _promise(self, waits_s: Mapping[str, float], now: float) -> float:
        """Return a wait that differs among the callers that are denied."""
        if not waits_s:
            return 0.0
        first = min(waits_s, key=lambda key: self._get_promise(key, waits_s[key], now))
        promised_at = self._get_promise(first, waits_s[first], now)
        self._limits[first].promised_at = promised_at + 1 / self._limits[first].rate
        return min(MAX_PROMISE_S, promised_at - now)

    def _get_promise(self, endpoint: str, wait_s: float, now: float) -> float:
        return max(now + wait_s, self._limits[endpoint].promised_at)

    def _add(self, endpoint: str, per_s: float, at: float, now: float) -> _Limit:
        while len(self._limits) >= MAX_LIMITED:
            del self._limits[next(iter(self._limits))]
        self._ended_at.pop(endpoint, None)
        limit = _Limit(per_s, at, OverdraftBucket(0.0, now))
        self._limits[endpoint] = limit
        self.version += 1
        return limit


class LeaderlessPermits:
    """Permits that a gateway draws by itself while there is no leader.

    Each gateway draws its times at random, so that the gateways together stay within
    the limit. An unused permit ends soon, so that none are saved up.

    Parameters
    ----------
    source : random.Random
        Draws the times.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._next_at: dict[str, float] = {}

    def take(self, endpoint: str, per_s: float, gateways: int, now: float) -> bool:
        """Return whether this gateway may send a request to a limited endpoint now."""
        next_at = self._next_at.get(endpoint)
        is_valid = (
            next_at is not None and next_at <= now <= next_at + LEADERLESS_VALIDITY_S
        )
        if next_at is None or next_at <= now:
            rate = LEADERLESS_FRACTION * per_s / max(1, gateways)
            delay_s = self._random.expovariate(rate) if rate > 0 else math.inf
            self._next_at[endpoint] = now + delay_s
        return is_valid

    def clear(self) -> None:
        """Forget all drawn times."""
        self._next_at.clear()
