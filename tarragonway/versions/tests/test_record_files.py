from unittest import mock

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.consensus.frames import encode_frame
from tarragonway.consensus.tests.cluster import CrashError, FakeDisk
from tarragonway.versions import StreamOrigin, record_files
from tarragonway.versions.record_files import FILE_NAMES, RecordFiles, StoredRecord

# A batch with a number of records and their lifetimes in seconds; the passing of time;
# a crash inside one of the next disk calls, of which some unsynced bytes stay; a
# damaged byte.
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("write"), st.integers(1, 6), st.integers(1, 600)),
        st.tuples(st.just("wait"), st.floats(0.1, 300.0)),
        st.tuples(st.just("crash"), st.integers(0, 2), st.integers(0, 100)),
        st.tuples(st.just("damage"), st.sampled_from(FILE_NAMES), st.integers(0, 9999)),
    ),
    max_size=40,
)


class History:
    """Files, what they must hold, and what they may hold."""

    def __init__(self):
        self.disk = FakeDisk()
        self.now = 1e9
        self.acknowledged = {}
        self.attempted = {}
        self.is_damaged = False
        self.files = RecordFiles(self.disk)

    def play(self, step):
        match step:
            case ("write", count, lifetime_s):
                self.write(count, lifetime_s)
            case ("wait", duration_s):
                self.now += duration_s
            case ("crash", calls, torn_bytes):
                self.disk.calls_until_crash = calls
                try:
                    self.write(2, 60)
                except CrashError:
                    self.disk.crash(torn_bytes)
                self.disk.calls_until_crash = None
                self.recover()
            case ("damage", name, position) if self.disk.durable.get(name):
                data = bytearray(self.disk.durable[name])
                data[position % len(data)] ^= 1
                self.disk.durable[name] = bytes(data)
                self.is_damaged = True
                self.recover()

    def write(self, count, lifetime_s):
        first = len(self.attempted)
        batch = [
            StoredRecord(2**64 - key, StreamOrigin("s", f"v{key % 3}"), expires_at)
            for key in range(first + 1, first + count + 1)
            for expires_at in [self.now + lifetime_s]
        ]
        self.attempted |= {record.key: record for record in batch}
        self.files.write(batch, self.now)
        self.acknowledged |= {record.key: record for record in batch}

    def recover(self):
        self.files = RecordFiles(self.disk)
        found = {record.key: record for record in self.files.recover(self.now)}
        for key, record in found.items():
            assert record.origin == self.attempted[key].origin
            assert record.expires_at > self.now
        live = {k for k, r in self.acknowledged.items() if r.expires_at > self.now}
        assert self.is_damaged or live <= set(found)
        self.acknowledged = {key: self.attempted[key] for key in found}


@settings(deadline=None)
@given(STEPS)
# Guards against written records that a loss of power, a torn write or the turn of the
# files removes, and against records that were never written.
def test_written_records_outlast_losses_of_power(steps):
    with mock.patch.object(record_files, "MIN_FILE_BYTES", 300):
        history = History()
        for step in steps:
            history.play(step)
        history.recover()


# Guards against files that fill the disk of the log.
def test_size_of_the_files_is_bounded():
    bounds = {"MIN_FILE_BYTES": 300, "MAX_FILE_BYTES": 3000}
    with mock.patch.multiple(record_files, **bounds):
        history = History()
        for _ in range(500):
            history.write(5, 600)
            assert history.files.size <= 2 * 3000
        sizes = [len(history.disk.durable[name]) for name in FILE_NAMES]
        assert sum(sizes) == history.files.size


EMPTY_BATCH = msgspec.msgpack.encode((("s", "v1"), (), ()))
DEEP_BATCH = b"\x94" + EMPTY_BATCH[1:] + b"\x91" * 5000 + b"\x90"


# Guards against a start that ends at a frame that this release does not write.
@pytest.mark.parametrize(
    "payload", [b"\xc0", DEEP_BATCH, EMPTY_BATCH], ids=["nil", "deep", "empty"]
)
def test_odd_payload_leaves_the_records_before_it(payload):
    disk, record = FakeDisk(), StoredRecord(1, StreamOrigin("s", "v1"), 60.0)
    RecordFiles(disk).write([record], 0.0)
    disk.append(FILE_NAMES[0], encode_frame(payload))
    disk.sync(FILE_NAMES[0])
    assert RecordFiles(disk).recover(0.0) == [record]
