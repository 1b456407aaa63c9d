"""Token bucket whose rate may change."""

BURST_WINDOW_S = 1.0


class TokenBucket:
    """Token bucket of ``per_s`` tokens per second with a burst of one second's tokens.

    The burst is at least one token, so that low rates also admit requests.

    Examples
    --------
    >>> bucket = TokenBucket(2.0, now=0.0)
    >>> [bucket.take(0.0) for _ in range(3)]
    [True, True, False]
    >>> bucket.get_wait_s(0.0)
    0.5
    """

    def __init__(self, per_s: float, now: float) -> None:
        self._per_s = per_s
        self._tokens = max(1.0, per_s * BURST_WINDOW_S)
        self._refilled_at = now

    def set_rate(self, per_s: float, now: float) -> None:
        """Change the rate; tokens beyond the new burst are dropped."""
        self._refill(now)
        self._per_s = per_s
        self._tokens = min(self._tokens, max(1.0, per_s * BURST_WINDOW_S))

    def take(self, now: float) -> bool:
        """Take one token; return False if none is available."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def get_wait_s(self, now: float) -> float:
        """Return the seconds until a token is available.

        At a rate of zero, this is one burst window, after which the rate may differ.
        """
        self._refill(now)
        if self._tokens >= 1.0:
            return 0.0
        if self._per_s <= 0:
            return BURST_WINDOW_S
        return (1.0 - self._tokens) / self._per_s

    def _refill(self, now: float) -> None:
        added = max(0.0, now - self._refilled_at) * self._per_s
        self._refilled_at = max(self._refilled_at, now)
        self._tokens = min(self._tokens + added, max(1.0, self._per_s * BURST_WINDOW_S))
