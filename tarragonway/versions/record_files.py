"""Durable records of the origins of streams, in two files of a data folder."""

import math
from collections.abc import Iterable, Sequence

import msgspec
import structlog

from tarragonway.consensus.files import Files
from tarragonway.consensus.frames import encode_frame, read_frames
from tarragonway.core.decoding import decode_stored
from tarragonway.core.errors import CorruptDataError
from tarragonway.core.ids import StreamKey
from tarragonway.versions.model import StreamOrigin

FILE_NAMES = ("origins-0", "origins-1")
# A file is used at least up to this size, so that it is not emptied all the time.
MIN_FILE_BYTES = 64 * 1024
# A file holds more records than a process keeps in memory.
MAX_FILE_BYTES = 8 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_log = structlog.get_logger()


class StoredRecord(msgspec.Struct, frozen=True):
    """Origin of one stream; ``expires_at`` is the Unix time in seconds."""

    key: StreamKey
    origin: StreamOrigin
    expires_at: float


class _Batch(msgspec.Struct, frozen=True, array_like=True):
    """Content of one frame: records of one origin."""

    origin: StreamOrigin
    keys: tuple[StreamKey, ...]
    expires_at: tuple[int, ...]


_decoder = msgspec.msgpack.Decoder(_Batch)


class _RecordFile(msgspec.Struct):
    """State of one file.

    ``size`` is the end of the last complete frame in bytes, ``expires_at`` the time at
    which the last of the file's records expires. ``has_rest`` tells whether something
    else may follow the last frame, which is cut before the next write.
    """

    name: str
    size: int = 0
    expires_at: float = 0.0
    has_rest: bool = False


class RecordFiles:
    """Reads and writes records of streams; only the durability depends on the files.

    A record never changes, so whatever complete frame is found is true, and a lost one
    has the same effect as a record that was never written. The files are written in
    turn: once the records of the other file have expired, that file is emptied and
    written next, or earlier if the current file would exceed :data:`MAX_FILE_BYTES`.

    Parameters
    ----------
    files : Files
        Files of the data folder.
    """

    def __init__(self, files: Files) -> None:
        self._files = files
        self._current, self._other = (_RecordFile(name) for name in FILE_NAMES)

    @property
    def size(self) -> int:
        """Size of the records in both files, in bytes."""
        return self._current.size + self._other.size

    def recover(self, now: float) -> list[StoredRecord]:
        """Return the records that have not expired at ``now``, a Unix time in seconds.

        A file is read up to its first damaged frame. A file that cannot be read has no
        records.
        """
        found = [
            record
            for file in (self._current, self._other)
            for record in self._read(file)
            if record.expires_at > now
        ]
        if self._other.expires_at > self._current.expires_at:
            self._current, self._other = self._other, self._current
        return found

    def write(self, records: Sequence[StoredRecord], now: float) -> None:
        """Write records durably.

        Parameters
        ----------
        records : sequence of StoredRecord
            Records to be added.
        now : float
            Unix time in seconds.

        Raises
        ------
        OSError
            If the disk refuses them. They may be written again.
        """
        data = b"".join(map(_encode_batch, _group_by_origin(records)))
        self._switch_when_due(len(data), now)
        file = self._current
        if file.has_rest:
            self._files.truncate(file.name, file.size)
            file.has_rest = False
        file.has_rest = True
        self._files.append(file.name, data)
        self._files.sync(file.name)
        file.has_rest = False
        file.size += len(data)
        expires_at = max(record.expires_at for record in records)
        file.expires_at = max(file.expires_at, math.ceil(expires_at))

    def _switch_when_due(self, added_bytes: int, now: float) -> None:
        if self._current.size < MIN_FILE_BYTES:
            return
        has_room = self._current.size + added_bytes <= MAX_FILE_BYTES
        if has_room and self._other.expires_at > now:
            return
        self._current, self._other = self._other, self._current
        emptied = self._current
        emptied.has_rest = emptied.has_rest or emptied.size > 0
        emptied.size, emptied.expires_at = 0, 0.0

    def _read(self, file: _RecordFile) -> list[StoredRecord]:
        records: list[StoredRecord] = []
        file.has_rest = True
        try:
            data = self._files.read(file.name) or b""
            for frame in read_frames(data, file.name):
                batch = decode_stored(_decoder, frame.payload, file.name)
                rows = zip(batch.keys, batch.expires_at, strict=False)
                records += (StoredRecord(key, batch.origin, at) for key, at in rows)
                file.size = frame.end
                file.expires_at = max((file.expires_at, *batch.expires_at))
        except (CorruptDataError, OSError) as error:
            _log.warning(
                "rest of a file with records of streams cannot be read",
                file=file.name,
                records=len(records),
                valid_bytes=file.size,
                reason=str(error),
            )
        else:
            file.has_rest = file.size < len(data)
        return records


def _group_by_origin(records: Iterable[StoredRecord]) -> Iterable[_Batch]:
    groups: dict[StreamOrigin, list[StoredRecord]] = {}
    for record in records:
        groups.setdefault(record.origin, []).append(record)
    for origin, group in groups.items():
        yield _Batch(
            origin,
            tuple(record.key for record in group),
            tuple(math.ceil(record.expires_at) for record in group),
        )


def _encode_batch(batch: _Batch) -> bytes:
    return encode_frame(_encoder.encode(batch))
