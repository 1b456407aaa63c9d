"""Counters and timers, kept in memory for state dumps and sent to statsd."""

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import statsd

HISTOGRAM_BOUNDS_MS = (5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000)


class Counters:
    """Named counters of one process.

    Parameters
    ----------
    client : statsd.StatsClient, optional
        Sends every update to a server; without one, counters are kept in memory only.

    Examples
    --------
    >>> counters = Counters()
    >>> counters.increment("requests.accepted")
    >>> counters.snapshot()
    {'requests.accepted': 1}
    """

    def __init__(self, client: "statsd.StatsClient | None" = None) -> None:
        self._client = client
        self._values: collections.Counter[str] = collections.Counter()

    @classmethod
    def from_config(cls, host: str, port: int, prefix: str) -> "Counters":
        """Return counters that are sent to a statsd server, unless ``port`` is 0."""
        if not port:
            return cls()
        # Imported here, so that processes without a statsd server don't load it.
        import statsd

        return cls(statsd.StatsClient(host, port, prefix=prefix))

    def increment(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        self._values[name] += amount
        if self._client:
            self._client.incr(name, amount)

    def record_ms(self, name: str, milliseconds: float) -> None:
        """Record one duration in milliseconds under ``name``.

        The histogram is cumulative: each bound counts all durations up to it.

        Examples
        --------
        >>> counters = Counters()
        >>> counters.record_ms("sync", 3000.0)
        >>> counters.snapshot()
        {'sync.count': 1, 'sync.sum_ms': 3000, 'sync.le_5000': 1, 'sync.le_10000': 1}
        """
        self._values[name + ".count"] += 1
        self._values[name + ".sum_ms"] += round(milliseconds)
        for bound in HISTOGRAM_BOUNDS_MS:
            if milliseconds <= bound:
                self._values[f"{name}.le_{bound}"] += 1
        if self._client:
            self._client.timing(name, milliseconds)

    def snapshot(self) -> dict[str, int]:
        """Return a copy of all counters."""
        return dict(self._values)
