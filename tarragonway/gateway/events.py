"""Splitting of server-sent event streams into complete events."""


class EventSplitter:
    r"""Splits a byte stream into complete events and records the last event id.

    ``events`` counts the complete events that have an id.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.events, splitter.incomplete
    ('1', 1, b'id: 2\nda')
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self.events = 0
        self._buffer = b""

    @property
    def incomplete(self) -> bytes:
        """Bytes of an event that is not complete yet."""
        return self._buffer

    def feed(self, data: bytes) -> bytes:
        """Append received bytes; return the bytes of all events completed by them."""
        self._buffer += data
        end = _find_end(self._buffer)
        if not end:
            return b""
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        self._record_ids(complete)
        return complete

    def _record_ids(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                self.events += 1


def _find_end(data: bytes) -> int:
    """Return the offset after the last blank line, or 0 if there is none."""
    lf_end = data.rfind(b"\n\n")
    crlf_end = data.rfind(b"\r\n\r\n")
    return max(lf_end + 2 if lf_end >= 0 else 0, crlf_end + 4 if crlf_end >= 0 else 0)
