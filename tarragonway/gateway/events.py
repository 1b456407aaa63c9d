"""Splitting of server-sent event streams into complete events, and their pauses."""

# Number of pauses that are measured in each stream.
MAX_PAUSES = 32
MAX_EVENT_BYTES = 1024 * 1024


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
        # A blank line of up to four bytes may have begun in the buffered bytes.
        searched = max(0, len(self._buffer) - 3)
        self._buffer += data
        end = _find_end(self._buffer, searched)
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


def find_first_id(data: bytes) -> str | None:
    r"""Return the id of the first of some complete events, or None if it has none.

    Examples
    --------
    >>> find_first_id(b"data: a\nid: 3\n\nid: 4\n\n")
    '3'
    >>> find_first_id(b"data: a\n\nid: 4\n\n") is None
    True
    """
    for line in data.splitlines():
        if not line:
            return None
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None


def comes_after(event_id: str | None, previous: str) -> bool:
    """Return whether an event can follow one with the id ``previous`` in a stream.

    Whole numbers must increase; other ids must differ.

    Examples
    --------
    >>> comes_after("10", "9"), comes_after("9", "9"), comes_after("1", "9")
    (True, False, False)
    >>> comes_after("b", "a"), comes_after(None, "a")
    (True, False)
    """
    if event_id is None:
        return False
    if event_id.isdecimal() and previous.isdecimal():
        return _make_sort_key(event_id) > _make_sort_key(previous)
    return event_id != previous


def _make_sort_key(digits: str) -> tuple[int, str]:
    """Return a key in the order of the numbers, which may have any number of digits."""
    significant = digits.lstrip("0")
    return len(significant), significant


class PauseMeter:
    """Measures the pauses between the first events of a stream.

    Events that arrive together share the pause before them equally.

    Examples
    --------
    >>> meter = PauseMeter()
    >>> for events, now in ((1, 0.0), (2, 0.01), (4, 0.03)):
    ...     meter.record(events, now)
    >>> [round(pause_ms) for pause_ms in meter.pauses_ms]
    [10, 10, 10]
    """

    def __init__(self) -> None:
        self.pauses_ms: list[float] = []
        self._events = 0
        self._at = 0.0

    def record(self, events: int, now: float) -> None:
        """Record the number of events that have arrived until ``now``, in seconds."""
        arrived = events - self._events
        if self._events and arrived and len(self.pauses_ms) < MAX_PAUSES:
            pause_ms = (now - self._at) * 1000 / arrived
            self.pauses_ms += [pause_ms] * min(arrived, MAX_PAUSES)
        self._events, self._at = events, now


def _find_end(data: bytes, start: int) -> int:
    """Return the offset after the last blank line from ``start`` on, or 0."""
    lf_end = data.rfind(b"\n\n", start)
    crlf_end = data.rfind(b"\r\n\r\n", start)
    return max(lf_end + 2 if lf_end >= 0 else 0, crlf_end + 4 if crlf_end >= 0 else 0)
