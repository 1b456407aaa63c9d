"""In-memory tail of the replicated log."""

from collections.abc import Iterable

from tarragonway.consensus.messages import Entry
from tarragonway.core.errors import InvariantError


class RaftLog:
    """Log entries that follow the last compacted one.

    Parameters
    ----------
    base_index, base_term : int
        Index and term of the last compacted entry; 0 if there is none.
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
        """Return the term at ``index``; None if compacted or past the last entry."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def read(self, start: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return up to ``max_entries`` entries from ``start`` within ``max_bytes``.

        The first entry is returned even if it alone exceeds ``max_bytes``.

        Raises
        ------
        InvariantError
            If the entry at ``start`` is compacted.
        """
        if start <= self.base_index:
            raise InvariantError(f"cannot read entry {start}: it is compacted")
        chosen: list[Entry] = []
        size = 0
        offset = start - self.base_index - 1
        for entry in self._entries[offset : offset + max_entries]:
            size += len(entry.payload)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def read_range(self, start: int, end: int) -> list[Entry]:
        """Return the entries from ``start`` to ``end``, both included."""
        return self._entries[start - self.base_index - 1 : end - self.base_index]

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        if entry.index != self.last_index + 1:
            raise InvariantError(
                f"cannot append entry {entry.index}: the last one is {self.last_index}"
            )
        self._entries.append(entry)

    def truncate(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones."""
        if index <= self.base_index:
            raise InvariantError(f"cannot remove entry {index}: it is compacted")
        del self._entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Remove the entries up to and including ``index``, if the log reaches it."""
        term = self.get_term(index)
        if term is None or index <= self.base_index:
            return
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Remove all entries; the next one to append has the index ``index + 1``."""
        self._entries.clear()
        self.base_index = index
        self.base_term = term
