import asyncio
import errno

import pytest

from tarragonway.consensus.files import FolderFiles
from tarragonway.coordinator import origin_store
from tarragonway.coordinator.origin_store import OriginStore
from tarragonway.core.clock import WallClock
from tarragonway.core.counters import Counters
from tarragonway.versions import StreamOrigin

OLD, NEW = StreamOrigin("s", "v1"), StreamOrigin("s", "v2")


class LimitedFiles(FolderFiles):
    """Files on a disk that takes no more bytes while ``is_full`` is set."""

    is_full = False

    def append(self, name, data):
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left on device")
        super().append(name, data)


class Process:
    """A store in a folder, which ends without a last write."""

    def __init__(self, folder):
        self.files = LimitedFiles(folder)
        self.clock = WallClock()
        self.counters = Counters()

    async def __aenter__(self):
        self.store = OriginStore(self.files, self.clock, self.counters)
        self.task = asyncio.create_task(self.store.run())
        return self

    async def __aexit__(self, *error):
        self.task.cancel()
        await asyncio.wait([self.task])
        self.files.close()

    async def wait_for(self, name, count):
        async with asyncio.timeout(5.0):
            while self.counters.snapshot().get(name, 0) < count:
                await asyncio.sleep(0.01)


@pytest.fixture(autouse=True)
def short_delay(monkeypatch):
    monkeypatch.setattr(origin_store, "DISK_RETRY_DELAY_S", 0.05)


# Guards against refusals of streams whose records only the killed processes had.
async def test_records_outlast_the_process(tmp_path):
    async with Process(tmp_path) as process:
        for key in range(1000):
            process.store.add(key, OLD if key % 2 else NEW, 15.0)
        await process.wait_for("origins.written", 1000)
    async with Process(tmp_path) as process:
        assert process.store.find(1) == (OLD,)
        assert process.store.find(998) == (NEW,)
        # A gateway sends its records again; they are on the disk already.
        size = (tmp_path / "origins-0").stat().st_size
        process.store.add(1, OLD, 15.0)
        process.store.add(5000, OLD, 1e30)
        await process.wait_for("origins.written", 1)
        assert (tmp_path / "origins-0").stat().st_size < size + 60
        assert process.counters.snapshot()["origins.restored"] == 1000


async def test_records_that_expired_during_an_outage_are_not_restored(tmp_path):
    async with Process(tmp_path) as process:
        process.store.add(1, OLD, 15.0)
        process.store.add(2, OLD, 300.0)
        await process.wait_for("origins.written", 2)
    later = Process(tmp_path)
    later.clock.correct(200.0)
    async with later:
        assert later.store.find(1) == ()
        assert later.store.find(2) == (OLD,)


# Guards against a full disk that ends the process, or after which nothing is written.
async def test_full_disk_delays_records_only(tmp_path, monkeypatch):
    monkeypatch.setattr(origin_store, "MAX_UNWRITTEN_RECORDS", 20)
    async with Process(tmp_path) as process:
        process.files.is_full = True
        for key in range(30):
            process.store.add(key, OLD, 15.0)
        await process.wait_for("origins.disk_refused", 2)
        assert process.store.find(29) == (OLD,)
        process.store.add(30, OLD, 15.0)
        process.files.is_full = False
        await process.wait_for("origins.written", 20)
        assert process.counters.snapshot()["origins.not_written"] >= 10
    async with Process(tmp_path) as process:
        assert process.counters.snapshot()["origins.restored"] == 20


# Guards against a damaged or unreadable file that keeps the process from its start.
async def test_unusable_files_do_not_prevent_the_start(tmp_path):
    (tmp_path / "origins-0").write_bytes(b"x" * 1000)
    (tmp_path / "origins-1").mkdir()
    async with Process(tmp_path) as process:
        process.store.add(1, OLD, 15.0)
        await process.wait_for("origins.written", 1)
    async with Process(tmp_path) as process:
        assert process.store.find(1) == (OLD,)
