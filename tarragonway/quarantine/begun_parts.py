"""Begun answers by prompt part, as a gateway reports them to the leader."""

import collections
from collections.abc import Iterable

from tarragonway.core.ids import PartId

MAX_PARTS = 16_384


class BegunParts:
    """Times at which answers on prompt parts last began at this gateway.

    Only watched parts are reported, and each beginning once. The latest beginnings of
    all parts are retained, since a part may be watched only after its answer began.

    Examples
    --------
    >>> begun = BegunParts()
    >>> begun.record(["a", "b"], 10.0)
    >>> begun.watch(["a"])
    >>> begun.take_ages(12.0), begun.take_ages(13.0)
    ({'a': 2.0}, {})
    """

    def __init__(self) -> None:
        self._began_at: collections.OrderedDict[PartId, float] = (
            collections.OrderedDict()
        )
        self._reported: dict[PartId, float] = {}
        self._watched: frozenset[PartId] = frozenset()

    def record(self, parts: Iterable[PartId], now: float) -> None:
        """Record that an answer to a request with these parts has begun."""
        for part in parts:
            self._began_at[part] = now
            self._began_at.move_to_end(part)
        while len(self._began_at) > MAX_PARTS:
            self._began_at.popitem(last=False)

    def watch(self, parts: Iterable[PartId]) -> None:
        """Replace the watched parts."""
        self._watched = frozenset(parts)
        self._reported = {
            part: at for part, at in self._reported.items() if part in self._watched
        }

    def take_ages(self, now: float) -> dict[PartId, float]:
        """Return the seconds since unreported beginnings on watched parts."""
        ages_s = {}
        for part in self._watched:
            began_at = self._began_at.get(part)
            if began_at is not None and self._reported.get(part) != began_at:
                self._reported[part] = began_at
                ages_s[part] = now - began_at
        return ages_s

    def report_again(self) -> None:
        """Report all retained beginnings once more, to a new leader."""
        self._reported.clear()
