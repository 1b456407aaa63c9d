"""Weighted fair queue with priorities and deadlines."""

import heapq
import itertools
from typing import Generic, TypeVar

import msgspec

from tarragonway.core.ids import AccountId

T = TypeVar("T")


class Ticket(msgspec.Struct, Generic[T], frozen=True):
    """A waiting item; a lower ``priority`` is more urgent."""

    account: AccountId
    priority: int
    weight: float
    deadline: float
    item: T


class FairQueue(Generic[T]):
    """Queue that serves the most urgent priority first, and accounts by their weights.

    Within a priority, it uses start-time fair queueing: the start tags of an account's
    successive tickets differ by at least the inverse of the weight, so that many
    waiting tickets of one account don't delay other accounts.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for n in range(3):
    ...     queue.push(Ticket("big", 5, 1.0, 9.0, f"big{n}"))
    >>> queue.push(Ticket("small", 5, 1.0, 9.0, "small0"))
    >>> [queue.pop(0.0).item for _ in range(4)]
    ['big0', 'small0', 'big1', 'big2']

    References
    ----------
    Goyal, Vin and Cheng, "Start-time fair queueing", 1996.
    """

    def __init__(self) -> None:
        self._heaps: dict[int, list[tuple[float, int, Ticket[T]]]] = {}
        self._virtual_times: dict[int, float] = {}
        self._finish_tags: dict[tuple[int, AccountId], float] = {}
        self._order = itertools.count()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, ticket: Ticket[T]) -> None:
        """Add a ticket."""
        virtual = self._virtual_times.get(ticket.priority, 0.0)
        key = (ticket.priority, ticket.account)
        start = max(virtual, self._finish_tags.get(key, 0.0))
        self._finish_tags[key] = start + 1.0 / ticket.weight
        heap = self._heaps.setdefault(ticket.priority, [])
        heapq.heappush(heap, (start, next(self._order), ticket))
        self._length += 1

    def pop(self, now: float) -> Ticket[T] | None:
        """Remove and return the next ticket whose deadline has not passed.

        Tickets whose deadline has passed are dropped.
        """
        for priority in sorted(self._heaps):
            heap = self._heaps[priority]
            while heap:
                start, _, ticket = heapq.heappop(heap)
                self._length -= 1
                self._virtual_times[priority] = start
                if now < ticket.deadline:
                    return ticket
            self._remove_tags(priority)
        return None

    def _remove_tags(self, priority: int) -> None:
        """Remove the tags of a priority without waiting tickets."""
        del self._heaps[priority]
        self._virtual_times.pop(priority, None)
        for key in [key for key in self._finish_tags if key[0] == priority]:
            del self._finish_tags[key]
