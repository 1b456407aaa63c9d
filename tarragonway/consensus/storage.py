"""Durable storage of one replica: identity, log and snapshot."""

import msgspec

from tarragonway.consensus.files import Files
from tarragonway.consensus.frames import encode_frame, read_frames
from tarragonway.consensus.log import RaftLog
from tarragonway.consensus.messages import Entry, HardState, LogTail, Snapshot
from tarragonway.core.decoding import decode_stored
from tarragonway.core.errors import CorruptDataError, InvariantError
from tarragonway.core.ids import ClusterId, MemberId

IDENTITY_FILE = "identity"
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"

_encoder = msgspec.msgpack.Encoder()


class Identity(msgspec.Struct, frozen=True):
    """Member and cluster that a data folder belongs to.

    ``cluster`` is empty until the member has been admitted to a cluster.
    """

    member: MemberId
    cluster: ClusterId = ClusterId("")


class _Batch(msgspec.Struct, frozen=True, array_like=True):
    """Content of one synced write to the log file.

    If ``start`` is given, it is the index and term of the last compacted entry, and the
    entries before this batch are discarded.
    """

    start: tuple[int, int] | None = None
    hard_state: HardState | None = None
    entries: tuple[Entry, ...] = ()


class Recovered(msgspec.Struct):
    """Durable state that a data folder holds at the start of the process.

    ``cut_bytes`` is the size of the torn tail that was removed from the log file.
    """

    identity: Identity | None
    hard_state: HardState
    snapshot: Snapshot
    log: RaftLog
    cut_bytes: int = 0


class DataFolder:
    """Reads and writes a replica's durable state.

    Parameters
    ----------
    files : Files
        Files that hold the state.
    """

    def __init__(self, files: Files) -> None:
        self._files = files

    def recover(self) -> Recovered:
        """Read the durable state and remove a torn tail from the log file.

        What is read is made durable, as the process before may have ended between a
        write and its sync.

        Raises
        ------
        CorruptDataError
            If synced data is damaged. The folder must then be moved away, so that
            the process rejoins as a new member.
        """
        snapshot = self._read_snapshot()
        batches, valid_bytes, size = self._read_batches()
        if valid_bytes < size:
            self._files.truncate(LOG_FILE, valid_bytes)
        if valid_bytes:
            self._files.sync(LOG_FILE)
        hard_state, log = _replay(batches)
        if log.get_term(snapshot.index) != snapshot.term:
            # The process crashed after it had written a received snapshot and before
            # it replaced the log file. Later entries must not follow the former ones.
            log = RaftLog(snapshot.index, snapshot.term)
            self._replace_log(hard_state, LogTail(snapshot.index, snapshot.term))
        return Recovered(
            self._read_identity(), hard_state, snapshot, log, size - valid_bytes
        )

    def write_identity(self, identity: Identity) -> None:
        """Write the identity durably."""
        self._files.replace(IDENTITY_FILE, encode_frame(_encoder.encode(identity)))

    def append(self, hard_state: HardState | None, entries: list[Entry]) -> None:
        """Append hard state and entries to the log file without syncing it."""
        batch = _Batch(None, hard_state, tuple(entries))
        self._files.append(LOG_FILE, encode_frame(_encoder.encode(batch)))

    def sync(self) -> None:
        """Make all appended data durable."""
        self._files.sync(LOG_FILE)

    def write_snapshot(
        self, snapshot: Snapshot, hard_state: HardState, tail: LogTail
    ) -> None:
        """Write a snapshot durably, then replace the log file by ``tail``."""
        self._files.replace(SNAPSHOT_FILE, encode_frame(_encoder.encode(snapshot)))
        self._replace_log(hard_state, tail)

    def _replace_log(self, hard_state: HardState, tail: LogTail) -> None:
        start = (tail.start_index, tail.start_term)
        batch = _Batch(start, hard_state, tail.entries)
        self._files.replace(LOG_FILE, encode_frame(_encoder.encode(batch)))

    def _read_identity(self) -> Identity | None:
        data = self._files.read(IDENTITY_FILE)
        if data is None:
            return None
        return _decode_single(data, IDENTITY_FILE, Identity)

    def _read_snapshot(self) -> Snapshot:
        data = self._files.read(SNAPSHOT_FILE)
        if data is None:
            return Snapshot()
        return _decode_single(data, SNAPSHOT_FILE, Snapshot)

    def _read_batches(self) -> tuple[list[_Batch], int, int]:
        data = self._files.read(LOG_FILE) or b""
        frames = list(read_frames(data, LOG_FILE))
        batches = [_decode(frame.payload, LOG_FILE, _Batch) for frame in frames]
        valid_bytes = frames[-1].end if frames else 0
        return batches, valid_bytes, len(data)


def _decode_single(data: bytes, name: str, struct_type):  # type: ignore[no-untyped-def]
    frames = list(read_frames(data, name))
    if len(frames) != 1:
        raise CorruptDataError(
            f"{name}: expected one complete frame, found {len(frames)}"
        )
    return _decode(frames[0].payload, name, struct_type)


def _decode(payload: bytes, name: str, struct_type):  # type: ignore[no-untyped-def]
    decoder = msgspec.msgpack.Decoder(struct_type)
    return decode_stored(decoder, payload, f"{name}: a frame")


def _replay(batches: list[_Batch]) -> tuple[HardState, RaftLog]:
    hard_state = HardState()
    log = RaftLog()
    for batch in batches:
        if batch.start is not None:
            log = RaftLog(*batch.start)
        if batch.hard_state is not None:
            hard_state = batch.hard_state
        for entry in batch.entries:
            if entry.index <= log.base_index:
                raise InvariantError(
                    f"log file contains entry {entry.index}, which must not follow the "
                    f"compaction up to entry {log.base_index}"
                )
            if entry.index <= log.last_index:
                log.truncate(entry.index)
            log.append(entry)
    return hard_state, log
