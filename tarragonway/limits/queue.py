"""Weighted fair queue with priorities and deadlines."""

import heapq
import itertools
from typing import Generic, TypeVar

import msgspec

from tarragonway.core.ids import AccountId

T = TypeVar("T")


class QueueEntry(msgspec.Struct, Generic[T], frozen=True):
    """A waiting item; a lower ``priority`` is more urgent."""

    account: AccountId
    priority: int
    weight: float
    deadline: float
    item: T


class FairQueue(Generic[T]):
    """Queue that serves the most urgent priority first, and accounts by their weights.

    Within a priority, it uses start-time fair queueing: the start tags of an account's
    successive entries differ by at least the inverse of the weight, so that many
    waiting entries of one account don't delay other accounts.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for n in range(3):
    ...     queue.push(QueueEntry("big", 5, 1.0, 9.0, f"big{n}"))
    >>> queue.push(QueueEntry("small", 5, 1.0, 9.0, "small0"))
    >>> [queue.pop(0.0).item for _ in range(4)]
    ['big0', 'small0', 'big1', 'big2']

    References
    ----------
    Goyal, Vin and Cheng, "Start-time fair queueing", 1996.
    """

    def __init__(self) -> None:
        self._heaps: dict[int, list[tuple[float, int, QueueEntry[T]]]] = {}
        self._virtual_times: dict[int, float] = {}
        self._finish_tags: dict[tuple[int, AccountId], float] = {}
        self._order = itertools.count()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, entry: QueueEntry[T]) -> None:
        """Add an entry."""
        virtual = self._virtual_times.get(entry.priority, 0.0)
        key = (entry.priority, entry.account)
        start = max(virtual, self._finish_tags.get(key, 0.0))
        self._finish_tags[key] = start + 1.0 / entry.weight
        heap = self._heaps.setdefault(entry.priority, [])
        heapq.heappush(heap, (start, next(self._order), entry))
        self._length += 1

    def pop(self, now: float) -> QueueEntry[T] | None:
        """Remove and return the next entry whose deadline has not passed.

        Entries whose deadline has passed are dropped.
        """
        for priority in sorted(self._heaps):
            heap = self._heaps[priority]
            while heap:
                start, _, entry = heapq.heappop(heap)
                self._length -= 1
                self._virtual_times[priority] = start
                if now < entry.deadline:
                    return entry
            self._remove_tags(priority)
        return None

    def _remove_tags(self, priority: int) -> None:
        """Remove the tags of a priority without waiting entries."""
        del self._heaps[priority]
        self._virtual_times.pop(priority, None)
        for key in [key for key in self._finish_tags if key[0] == priority]:
            del self._finish_tags[key]
