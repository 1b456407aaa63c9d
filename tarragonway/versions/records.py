"""Records of the origins of streams that callers can still resume."""

from collections.abc import Iterator

from tarragonway.core.ids import StreamKey
from tarragonway.versions.model import StreamOrigin

# Records are removed together with all others that expire in the same period.
BUCKET_S = 5.0
# Longest time after its first event for which a stream can be resumed.
MAX_LIFETIME_S = 600.0
DEFAULT_MAX_RECORDS = 400_000


class OriginRecords:
    """Origins of streams by key, each for as long as its stream can be resumed.

    A stream has one origin for ever, so a record never changes, and records of the same
    stream on several processes cannot become stale. Two origins under one key come from
    callers that use an id twice; then neither is known to be right.

    Parameters
    ----------
    max_records : int
        While there are so many records, new ones are not added, so that a flood of
        streams does not remove the records of others.

    Examples
    --------
    >>> records = OriginRecords()
    >>> records.add(1, StreamOrigin("s", "v1"), 15.0, now=0.0)
    True
    >>> records.find(1, now=14.0)
    (StreamOrigin(service='s', version='v1'),)
    >>> records.find(1, now=30.0)
    ()
    """

    def __init__(self, max_records: int = DEFAULT_MAX_RECORDS) -> None:
        self._max_records = max_records
        self._buckets: dict[int, dict[StreamKey, StreamOrigin]] = {}
        self._origins: dict[StreamOrigin, StreamOrigin] = {}

    def __len__(self) -> int:
        return sum(len(bucket) for bucket in self._buckets.values())

    def add(
        self, key: StreamKey, origin: StreamOrigin, lifetime_s: float, now: float
    ) -> bool:
        """Add a record; return False if there is no room.

        Parameters
        ----------
        key : StreamKey
            Key of the stream.
        origin : StreamOrigin
            What began the stream.
        lifetime_s : float
            Seconds for which the stream can be resumed.
        now : float
            The event loop's time in seconds.
        """
        self._expire(now)
        if len(self) >= self._max_records:
            return False
        expires_at = now + min(lifetime_s, MAX_LIFETIME_S)
        number = int(expires_at // BUCKET_S) + 1
        # Equal origins share one object, as there are few of them.
        origin = self._origins.setdefault(origin, origin)
        while True:
            bucket = self._buckets.setdefault(number, {})
            if bucket.setdefault(key, origin) == origin:
                return True
            # Another origin under this key is kept in the next bucket.
            number += 1

    def find(self, key: StreamKey, now: float) -> tuple[StreamOrigin, ...]:
        """Return the stream's origin; several ones if the records contradict."""
        self._expire(now)
        found = (bucket.get(key) for bucket in self._buckets.values())
        return tuple({origin: None for origin in found if origin is not None})

    def list_live(self, now: float) -> Iterator[tuple[StreamKey, StreamOrigin, float]]:
        """Yield all records with the rest of their lifetimes in seconds."""
        self._expire(now)
        for number, bucket in self._buckets.items():
            for key, origin in bucket.items():
                yield key, origin, number * BUCKET_S - now

    def _expire(self, now: float) -> None:
        ended = [number for number in self._buckets if number * BUCKET_S <= now]
        for number in ended:
            del self._buckets[number]
        if ended:
            live = {o for bucket in self._buckets.values() for o in bucket.values()}
            self._origins = {origin: origin for origin in live}
