"""Weighted fair queue with priorities and deadlines."""

import heapq
import itertools
from typing import Generic, TypeVar

import msgspec

from tarragonway.core.ids import AccountId

T = TypeVar("T")


class Ticket(msgspec.Struct, Generic[T], frozen=True):
    """One waiting item."""

    account: AccountId
    priority: int
    weight: float
    deadline: float
    item: T


class FairQueue(Generic[T]):
    """Gives out the most urgent priority first, and accounts by their weights in it.

    Start-time fair queueing: each ticket's tag follows the account's last one by the
    inverse of its weight, so that a long line of one account delays no other.

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
        self._virtual: dict[int, float] = {}
        self._finish: dict[tuple[int, AccountId], float] = {}
        self._order = itertools.count()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, ticket: Ticket[T]) -> None:
        """Add an item."""
        virtual = self._virtual.get(ticket.priority, 0.0)
        key = (ticket.priority, ticket.account)
        start = max(virtual, self._finish.get(key, 0.0))
        self._finish[key] = start + 1.0 / ticket.weight
        heap = self._heaps.setdefault(ticket.priority, [])
        heapq.heappush(heap, (start, next(self._order), ticket))
        self._length += 1

    def pop(self, now: float) -> Ticket[T] | None:
        """Remove and return the next item whose deadline has not passed."""
        for priority in sorted(self._heaps):
            heap = self._heaps[priority]
            while heap:
                start, _, ticket = heapq.heappop(heap)
                self._length -= 1
                self._virtual[priority] = start
                if now < ticket.deadline:
                    return ticket
            self._forget(priority)
        return None

    def _forget(self, priority: int) -> None:
        """Drop the tags of an idle priority."""
        del self._heaps[priority]
        self._virtual.pop(priority, None)
        for key in [key for key in self._finish if key[0] == priority]:
            del self._finish[key]
