"""Token bucket for the quotas of client accounts."""

import msgspec


class OverdraftBucket(msgspec.Struct):
    """Token bucket that admits while its level is positive and may be overdrawn.

    A request may count more units than the burst. It must still be admitted at some
    time, so it may reduce the level below zero (an overdraft). ``level`` is in units;
    ``refilled_at`` is the time of the last refill, in seconds.

    Examples
    --------
    >>> bucket = OverdraftBucket(level=10.0, refilled_at=0.0)
    >>> [bucket.take(12.0, 10.0, 10.0, now) for now in (0.0, 0.1, 0.4)]
    [0.0, 0.1, 0.0]
    """

    level: float
    refilled_at: float

    def take(self, units: float, per_s: float, burst: float, now: float) -> float:
        """Take units if the level is positive, or return the seconds until it is.

        Parameters
        ----------
        units : float
            Units to take.
        per_s : float
            Refill rate in units per second.
        burst : float
            Highest level in units.
        now : float
            Time in seconds, on the clock of ``refilled_at``.

        Returns
        -------
        float
            0 if the units were taken, else the seconds to wait.
        """
        self.refill(per_s, burst, now)
        if self.level > 0:
            self.level -= units
            return 0.0
        return max(0.05, round(-self.level / per_s, 3))

    def take_strictly(
        self, units: float, per_s: float, window_s: float, now: float
    ) -> float:
        """Take units if the bucket holds them or is full.

        The bucket's capacity is what ``per_s`` refills in ``window_s`` seconds. A
        request for more units needs a full bucket and overdraws it. Returns 0 if the
        units were taken, else the seconds to wait.
        """
        capacity = per_s * window_s
        self.refill(per_s, capacity, now)
        needed = min(units, capacity)
        if self.level >= needed:
            self.level -= units
            return 0.0
        return max(0.05, round((needed - self.level) / per_s, 3))

    def refund(self, units: float) -> None:
        """Put back the units of a request that did not run."""
        self.level += units

    def refill(self, per_s: float, burst: float, now: float) -> None:
        """Add what has come since the last refill, up to ``burst`` units."""
        added = max(0.0, now - self.refilled_at) * per_s
        self.level = min(burst, self.level + added)
        self.refilled_at = max(self.refilled_at, now)
