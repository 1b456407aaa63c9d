"""Token buckets of client accounts' quotas."""

import msgspec


class UnitBucket(msgspec.Struct):
    """Admits while its level is positive, so that one large request can overdraw it.

    A request may be larger than the burst; it must still be admitted some time.

    Examples
    --------
    >>> bucket = UnitBucket(level=10.0, at=0.0)
    >>> [bucket.take(12.0, 10.0, 10.0, now) for now in (0.0, 0.1, 0.4)]
    [0.0, 0.1, 0.0]
    """

    level: float
    at: float

    def take(self, units: float, per_s: float, burst: float, now: float) -> float:
        """Take units; return 0, or the seconds until the level is positive again."""
        self._refill(per_s, burst, now)
        if self.level > 0:
            self.level -= units
            return 0.0
        return max(0.05, round(-self.level / per_s, 3))

    def take_strictly(
        self, units: float, per_s: float, window_s: float, now: float
    ) -> float:
        """Take units only if they, or a window's worth, are there."""
        most = per_s * window_s
        self._refill(per_s, most, now)
        needed = min(units, most)
        if self.level >= needed:
            self.level -= units
            return 0.0
        return max(0.05, round((needed - self.level) / per_s, 3))

    def give_back(self, units: float) -> None:
        """Return units of a request that did not run."""
        self.level += units

    def _refill(self, per_s: float, burst: float, now: float) -> None:
        added = max(0.0, now - self.at) * per_s
        self.level = min(burst, self.level + added)
        self.at = max(self.at, now)
