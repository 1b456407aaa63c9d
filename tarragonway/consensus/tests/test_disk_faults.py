"""Storage of the log under failing writes, renames and syncs, and losses of power."""

import contextlib
import errno
import os
import pathlib
import tempfile
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.consensus import DataFolder, Entry, EntryKind, HardState, Snapshot
from tarragonway.consensus.files import FolderFiles
from tarragonway.consensus.messages import LogTail
from tarragonway.consensus.storage import LOG_FILE, SNAPSHOT_FILE
from tarragonway.consensus.tests.cluster import FakeDisk
from tarragonway.consensus.tests.faulty_os import (
    FAILING_CALLS,
    NO_FAULT,
    REFUSALS,
    FaultyOs,
)

TERM = 3
FILE_NAMES = {"lock", LOG_FILE, SNAPSHOT_FILE}


class Member:
    """Storage of one member, used as the log's driver does, and what it must hold."""

    def __init__(self, folder):
        self.folder = folder
        self.os = FaultyOs(folder)
        self.payloads = {}
        self.last = self.base = 0
        self.count = 0
        self.pending = None
        self.files = None
        with mock.patch("tarragonway.consensus.files.os", self.os):
            self.start()

    def start(self):
        while True:
            files = None
            try:
                files = FolderFiles(self.folder)
                found = DataFolder(files).recover()
                break
            except OSError:
                if files is not None:
                    files.close()
                self.clear_fault()
        self.files = files
        self.data = DataFolder(files)
        log = found.log
        assert max(found.snapshot.index, log.last_index) >= self.last
        for index in range(found.snapshot.index + 1, self.last + 1):
            entry = log.read_range(index, index)[0]
            assert entry.payload == self.payloads[index], "an entry has been replaced"
        self.base = found.snapshot.index
        self.last = max(self.base, log.last_index)
        for index in range(self.base + 1, self.last + 1):
            self.payloads[index] = log.read_range(index, index)[0].payload
        self.pending = None

    def close(self):
        if self.files is not None:
            self.files.close()
        self.files = None

    def clear_fault(self):
        self.os.fault = NO_FAULT

    def play(self, step):
        kind, fault, lasting, torn_bytes = step
        if fault is not None:
            self.os.fault = fault
        self.os.is_lasting = lasting
        with mock.patch("tarragonway.consensus.files.os", self.os):
            match kind:
                case "append" | "install":
                    self.write(kind)
                case "compact":
                    self.compact()
                case "kill" | "die":
                    if kind == "die":
                        self.append_unsynced()
                        # Not covered: the next process cannot sync what this one has
                        # left, and is started once more.
                        self.clear_fault()
                    self.close()
                    self.start()
                case "power":
                    self.close()
                    self.os.lose_power(torn_bytes)
                    self.start()
        self.clear_fault()
        used = {path.name for path in self.folder.iterdir() if path.stat().st_size}
        assert used <= FILE_NAMES

    def write(self, kind):
        """Try the output that is pending, as the driver does until it succeeds."""
        if self.pending is None:
            self.count += 1
            index = self.last + (5 if kind == "install" else 1)
            self.pending = kind, index, b"%d" % self.count
        kind, index, payload = self.pending
        try:
            if kind == "install":
                snapshot = Snapshot(index, TERM)
                self.data.write_snapshot(
                    snapshot, HardState(TERM), LogTail(index, TERM)
                )
            else:
                entry = Entry(index, TERM, EntryKind.COMMAND, payload)
                self.data.append(HardState(TERM), [entry])
                self.data.sync()
        except OSError:
            return
        self.pending = None
        self.last = index
        self.payloads[index] = payload
        if kind == "install":
            self.base = index

    def append_unsynced(self):
        if self.pending is not None:
            return
        entry = Entry(self.last + 1, TERM, EntryKind.COMMAND, b"unsynced")
        with contextlib.suppress(OSError):
            self.data.append(HardState(TERM), [entry])

    def compact(self):
        """Write a snapshot of all entries; a failure has no consequence."""
        if self.pending is not None or not self.last:
            return
        snapshot = Snapshot(self.last, TERM)
        try:
            self.data.write_snapshot(
                snapshot, HardState(TERM), LogTail(self.last, TERM)
            )
        except OSError:
            return
        self.base = self.last


faults = st.tuples(
    st.sampled_from(FAILING_CALLS),
    st.integers(0, 3),
    st.sampled_from(REFUSALS),
    st.integers(0, 60),
)
steps = st.tuples(
    st.sampled_from(["append", "append", "install", "compact", "kill", "die", "power"]),
    st.none() | faults,
    st.booleans(),
    st.integers(0, 200),
)


def play(history):
    with tempfile.TemporaryDirectory(prefix="disk") as folder:
        member = Member(pathlib.Path(folder))
        try:
            for step in [*history, ("append", None, False, 0)]:
                member.play(step)
            # There is room again, so what is pending succeeds at the first try.
            assert member.pending is None
            member.play(("power", None, False, 0))
        finally:
            member.close()
            member.os.release()


# Guards against a failed write, rename or sync after which something acknowledged is
# lost at a loss of power, the log cannot be read, or a file remains on the full disk.
@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.lists(steps, max_size=12))
def test_nothing_acknowledged_is_lost_by_failing_disk_calls(history):
    play(history)


@pytest.mark.parametrize(
    "history",
    [
        # A failed sync whose bytes are never stored, then the same batch again.
        [("append", ("fdatasync", 0, REFUSALS[2], 0), False, 0)],
        # Part of a frame that cannot be removed at once.
        [
            ("append", None, False, 0),
            ("append", ("write ftruncate", 0, REFUSALS[0], 9), True, 0),
        ],
        # A renamed log whose folder is not synced.
        [
            ("append", None, False, 0),
            ("compact", ("fsync", 3, REFUSALS[2], 0), False, 0),
            ("append", ("fsync", 0, REFUSALS[2], 0), False, 0),
            ("append", None, False, 0),
            ("power", None, False, 0),
        ],
        # A process that ends before it syncs; the next one reads the page cache.
        [
            ("append", ("fdatasync", 0, REFUSALS[2], 0), False, 0),
            ("die", None, False, 0),
            ("power", None, False, 0),
        ],
    ],
)
def test_known_histories_lose_nothing(history):
    play(history)


# Guards against a file that a process leaves behind as it ends during a replacement.
def test_start_empties_the_files_of_unfinished_replacements(tmp_path):
    path = tmp_path / f"{LOG_FILE}.new"
    path.write_bytes(b"part")
    FolderFiles(tmp_path).close()
    assert path.read_bytes() == b""


class InterruptedOs(FaultyOs):
    """Another thread runs right before a file is created."""

    interrupt = None

    def open(self, path, flags, mode=0o777):
        interrupt, self.interrupt = self.interrupt, None
        if interrupt is not None:
            interrupt()
        return super().open(path, flags, mode)


# Guards against a synced file without a name after a loss of power, because another
# thread synced the folder right before the file was created.
def test_new_file_is_durable_while_another_thread_syncs_its_own(tmp_path):
    machine = InterruptedOs(tmp_path)
    with mock.patch("tarragonway.consensus.files.os", machine):
        files = FolderFiles(tmp_path)

        def write(name):
            files.append(name, b"data")
            files.sync(name)

        write(LOG_FILE)
        machine.interrupt = lambda: write(LOG_FILE)
        write("origins-0")
        machine.lose_power(0)
        assert files.read("origins-0") == b"data"
        files.close()


# Guards against a log that no start can read, once entries follow a snapshot that was
# received before a crash.
def test_log_can_be_read_after_a_crash_during_a_received_snapshot():
    disk = FakeDisk()
    folder = DataFolder(disk)
    folder.append(HardState(1), [Entry(1, 1, EntryKind.COMMAND, b"a")])
    folder.sync()
    folder._files.replace(SNAPSHOT_FILE, encode_snapshot(Snapshot(9, 2)))
    for index in (10, 11):
        folder = DataFolder(disk)
        assert folder.recover().log.last_index == index - 1
        folder.append(HardState(2), [Entry(index, 2, EntryKind.COMMAND, b"b")])
        folder.sync()
    assert DataFolder(disk).recover().log.last_index == 11


def encode_snapshot(snapshot):
    disk = FakeDisk()
    DataFolder(disk).write_snapshot(snapshot, HardState(), LogTail(snapshot.index))
    return disk.durable[SNAPSHOT_FILE]


# Guards against a start that fails for want of a descriptor, and then for good, as the
# process waits for its own lock.
def test_folder_can_be_opened_again_after_it_could_not_be_listed(tmp_path):
    refusal = OSError(errno.ENFILE, os.strerror(errno.ENFILE))
    with (
        mock.patch.object(pathlib.Path, "glob", side_effect=refusal),
        pytest.raises(OSError, match="open files"),
    ):
        FolderFiles(tmp_path)
    FolderFiles(tmp_path).close()
