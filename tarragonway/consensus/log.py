"""In-memory tail of the replicated log."""

from collections.abc import Iterable

from tarragonway.consensus.messages import Entry
from tarragonway.core.errors import InvariantError


class RaftLog:
    """Entries after a snapshot.

    Parameters
    ----------
    base_index, base_term : int
        Position of the last entry that is compacted away.
    entries : iterable of Entry
        Consecutive entries from ``base_index + 1``.
    """

    def __init__(
        self, base_index: int = 0, base_term: int = 0, entries: Iterable[Entry] = ()
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[Entry] = []
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def get_term(self, index: int) -> int | None:
        """Return the term at ``index``; None if it is compacted or not there."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def read(self, start: int, limit: int, limit_bytes: int) -> tuple[Entry, ...]:
        """Return entries from ``start``, at least one if there is one."""
        if start <= self.base_index:
            raise InvariantError(f"entry {start} is compacted")
        chosen: list[Entry] = []
        size = 0
        offset = start - self.base_index - 1
        for entry in self._entries[offset : offset + limit]:
            size += len(entry.payload)
            if chosen and size > limit_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def read_range(self, start: int, end: int) -> list[Entry]:
        """Return the entries from ``start`` to ``end``, both included."""
        return self._entries[start - self.base_index - 1 : end - self.base_index]

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        if entry.index != self.last_index + 1:
            raise InvariantError(f"entry {entry.index} follows {self.last_index}")
        self._entries.append(entry)

    def truncate(self, index: int) -> None:
        """Drop the entries from ``index`` on."""
        if index <= self.base_index:
            raise InvariantError(f"entry {index} is compacted")
        del self._entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Drop the entries up to and including ``index``."""
        term = self.get_term(index)
        if term is None or index <= self.base_index:
            return
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Drop all entries; the next one follows ``index``."""
        self._entries.clear()
        self.base_index = index
        self.base_term = term
