"""Durable storage under torn and damaged files."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.consensus import DataFolder, Entry, EntryKind, HardState, Snapshot
from tarragonway.consensus.files import DataFolderLockedError, FolderFiles
from tarragonway.consensus.messages import LogTail
from tarragonway.consensus.storage import LOG_FILE
from tarragonway.consensus.tests.cluster import CrashError, FakeDisk
from tarragonway.core.errors import CorruptDataError


def make_entry(index, term=1):
    return Entry(index, term, EntryKind.COMMAND, b"payload-%d" % index)


def write_log(disk, count):
    folder = DataFolder(disk)
    ends = []
    for index in range(1, count + 1):
        folder.append(HardState(1), [make_entry(index)])
        folder.sync()
        ends.append(len(disk.durable[LOG_FILE]))
    return ends


@settings(derandomize=True, deadline=None)
@given(cut=st.integers(1, 400))
def test_torn_tail_is_cut_and_synced_batches_stay(cut):
    disk = FakeDisk()
    ends = write_log(disk, 6)
    size = min(cut, ends[-1])
    disk.durable[LOG_FILE] = disk.durable[LOG_FILE][:size]
    found = DataFolder(disk).recover()
    assert found.log.last_index == sum(end <= size for end in ends)
    assert len(disk.durable[LOG_FILE]) == max([e for e in ends if e <= size] + [0])


def test_zero_filled_tail_is_cut():
    disk = FakeDisk()
    write_log(disk, 3)
    disk.durable[LOG_FILE] += bytes(100)
    assert DataFolder(disk).recover().log.last_index == 3


@settings(derandomize=True, deadline=None)
@given(position=st.integers(0, 10_000), flip=st.integers(1, 255))
def test_damaged_synced_data_is_never_returned(position, flip):
    disk = FakeDisk()
    write_log(disk, 4)
    data = bytearray(disk.durable[LOG_FILE])
    data[position % len(data)] ^= flip
    disk.durable[LOG_FILE] = bytes(data)
    try:
        found = DataFolder(disk).recover()
    except CorruptDataError:
        return
    # Only a damaged length field can look like a torn tail; the entries before it
    # must be intact.
    entries = found.log.read_range(1, found.log.last_index)
    assert entries == [make_entry(i) for i in range(1, len(entries) + 1)]


def test_crash_between_received_snapshot_and_log_reset():
    disk = FakeDisk()
    write_log(disk, 4)
    folder = DataFolder(disk)
    disk.calls_until_crash = 1
    with pytest.raises(CrashError):
        folder.write_snapshot(Snapshot(9, 2), HardState(2), LogTail(9, 2))
    disk.calls_until_crash = None
    found = DataFolder(disk).recover()
    assert found.snapshot.index == 9
    assert (found.log.base_index, found.log.last_index) == (9, 9)


def test_folder_serves_one_process_only(tmp_path):
    files = FolderFiles(tmp_path)
    with pytest.raises(DataFolderLockedError):
        FolderFiles(tmp_path)
    files.close()
    FolderFiles(tmp_path).close()


def test_real_folder_keeps_what_was_written(tmp_path):
    files = FolderFiles(tmp_path)
    folder = DataFolder(files)
    folder.append(HardState(3), [make_entry(1, 3)])
    folder.sync()
    folder.write_snapshot(Snapshot(1, 3), HardState(3), LogTail(1, 3))
    folder.append(None, [make_entry(2, 3)])
    folder.sync()
    files.close()
    found = DataFolder(FolderFiles(tmp_path)).recover()
    assert found.hard_state == HardState(3)
    assert found.log.last_index == 2
