"""Task that makes records of streams durable, and their recovery at the start."""

import asyncio
import concurrent.futures

import structlog

from tarragonway.consensus.files import Files
from tarragonway.core.clock import WallClock
from tarragonway.core.counters import Counters
from tarragonway.core.ids import StreamKey
from tarragonway.versions import MAX_LIFETIME_S, OriginRecords, StreamOrigin
from tarragonway.versions.record_files import RecordFiles, StoredRecord

# Records that wait for the disk; further ones are kept in memory only.
MAX_UNWRITTEN_RECORDS = 50_000
# Shortest and longest pause between two writes, and the length of a pause by that of
# the write before it, which leaves most of a slow disk's time to the log.
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.5
PAUSE_FACTOR = 4.0
DISK_RETRY_DELAY_S = 0.5

_log = structlog.get_logger()


class OriginStore:
    """Keeps records of streams in memory, and writes them to the disk soon after.

    Those that were written before the start of the process are read when the store is
    created, for which an event loop must be running.

    Nothing waits for the disk. While it refuses writes, new records last only as long
    as the process does, and a stream whose record is lost is refused when its caller
    resumes it.

    Parameters
    ----------
    files : Files
        Files of the data folder; written from one worker thread.
    clock : WallClock
        Time by which records expire across restarts.
    counters : Counters
        Receives ``origins.*`` counters.
    """

    def __init__(self, files: Files, clock: WallClock, counters: Counters) -> None:
        self._files = RecordFiles(files)
        self._clock = clock
        self._counters = counters
        self._records = OriginRecords()
        self._unwritten: list[StoredRecord] = []
        self._wake = asyncio.Event()
        self._is_refused = False
        self._restore()

    def _restore(self) -> None:
        now, wall_now = asyncio.get_running_loop().time(), self._clock.now()
        found = self._files.recover(wall_now)
        for record in found:
            lifetime_s = record.expires_at - wall_now
            self._records.add(record.key, record.origin, lifetime_s, now)
        self._counters.increment("origins.restored", len(found))
        _log.info(
            "records of streams restored", records=len(found), bytes=self._files.size
        )

    def add(self, key: StreamKey, origin: StreamOrigin, lifetime_s: float) -> None:
        """Add a record that can be resumed for ``lifetime_s`` seconds."""
        now = asyncio.get_running_loop().time()
        lifetime_s = min(max(0.0, lifetime_s), MAX_LIFETIME_S)
        # Gateways send their records again to a coordinator that connects.
        is_new = origin not in self._records.find(key, now)
        if not self._records.add(key, origin, lifetime_s, now):
            self._counters.increment("origins.dropped")
        elif is_new and len(self._unwritten) < MAX_UNWRITTEN_RECORDS:
            expires_at = self._clock.now() + lifetime_s
            self._unwritten.append(StoredRecord(key, origin, expires_at))
            self._wake.set()
        elif is_new:
            self._counters.increment("origins.not_written")

    def find(self, key: StreamKey) -> tuple[StreamOrigin, ...]:
        """Return the stream's origin; several ones if the records contradict."""
        return self._records.find(key, asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Write new records until cancelled."""
        loop = asyncio.get_running_loop()
        with concurrent.futures.ThreadPoolExecutor(1, "origins") as executor:
            while True:
                await self._wake.wait()
                self._wake.clear()
                batch, self._unwritten = self._unwritten, []
                started = loop.time()
                try:
                    await loop.run_in_executor(
                        executor, self._files.write, batch, self._clock.now()
                    )
                except OSError as error:
                    self._handle_refusal(batch, error)
                    await asyncio.sleep(DISK_RETRY_DELAY_S)
                    continue
                self._handle_success(len(batch))
                duration_s = loop.time() - started
                self._counters.record_ms("origins.sync", duration_s * 1000)
                pause_s = max(MIN_PAUSE_S, PAUSE_FACTOR * duration_s)
                await asyncio.sleep(min(pause_s, MAX_PAUSE_S))

    def _handle_refusal(self, batch: list[StoredRecord], error: OSError) -> None:
        """Keep a refused batch for the next try, as far as there is room."""
        self._counters.increment("origins.disk_refused")
        if not self._is_refused:
            _log.error(
                "records of streams are not durable, as the disk refuses them",
                records=len(batch),
                error=str(error),
            )
        self._is_refused = True
        waiting = batch + self._unwritten
        lost = len(waiting) - MAX_UNWRITTEN_RECORDS
        if lost > 0:
            self._counters.increment("origins.not_written", lost)
        self._unwritten = waiting[-MAX_UNWRITTEN_RECORDS:]
        self._wake.set()

    def _handle_success(self, records: int) -> None:
        self._counters.increment("origins.written", records)
        if self._is_refused:
            _log.info("records of streams are durable again", records=records)
        self._is_refused = False
