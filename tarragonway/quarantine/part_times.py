"""Times of what answers show about prompt parts, as a gateway reports them."""

import collections
from collections.abc import Iterable

import msgspec

from tarragonway.core.ids import PartId
from tarragonway.quarantine.part_record import CONTINUED_S

MAX_PARTS = 16_384


class _Answer(msgspec.Struct, frozen=True):
    """An answer that had lasted for ``lasted_s`` seconds at ``recorded_at``."""

    recorded_at: float
    lasted_s: float


class PartTimes:
    """Times at which answers on prompt parts last showed something at this gateway.

    Only watched parts are reported, and each time once. The latest times of all parts
    are retained, since a part may be watched only after its answer.

    Examples
    --------
    >>> times = PartTimes()
    >>> times.record(["a", "b"], 10.0, 0.5)
    >>> times.watch(["a"])
    >>> times.take(12.0), times.take(13.0)
    ({'a': (2.0, 0.5)}, {})
    """

    def __init__(self) -> None:
        self._answers: collections.OrderedDict[PartId, _Answer] = (
            collections.OrderedDict()
        )
        self._reported: dict[PartId, _Answer] = {}
        self._watched: frozenset[PartId] = frozenset()

    def record(self, parts: Iterable[PartId], now: float, lasted_s: float) -> None:
        """Record that an answer with these parts has lasted for ``lasted_s`` now.

        Of several answers that go on, the one that has lasted longest is retained.
        """
        for part in parts:
            known = self._answers.get(part)
            is_recent = known is not None and now - known.recorded_at < CONTINUED_S
            if known is None or not is_recent or known.lasted_s <= lasted_s:
                self._answers[part] = _Answer(now, lasted_s)
            self._answers.move_to_end(part)
        while len(self._answers) > MAX_PARTS:
            self._answers.popitem(last=False)

    def watch(self, parts: Iterable[PartId]) -> None:
        """Replace the watched parts."""
        self._watched = frozenset(parts)
        self._reported = {
            part: row for part, row in self._reported.items() if part in self._watched
        }

    def take(self, now: float) -> dict[PartId, tuple[float, float]]:
        """Return the unreported answers on watched parts.

        Returns
        -------
        dict of PartId to tuple of float
            Seconds since the record, and for which the answer had lasted then.
        """
        taken = {}
        for part in self._watched:
            answer = self._answers.get(part)
            if answer is not None and self._reported.get(part) != answer:
                self._reported[part] = answer
                taken[part] = now - answer.recorded_at, answer.lasted_s
        return taken

    def report_again(self) -> None:
        """Report all retained answers once more, to a new leader."""
        self._reported.clear()
