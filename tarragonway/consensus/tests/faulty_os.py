"""Operating system whose calls on files fail, and whose machine loses power."""

import errno
import os

REFUSALS = (errno.ENOSPC, errno.EFBIG, errno.EIO, errno.EDQUOT)
FAILING_CALLS = (
    "open",
    "write",
    "fsync",
    "fdatasync",
    "ftruncate",
    "replace",
    "write ftruncate",
)
NO_FAULT = ("", 0, 0, 0)


class FaultyOs:
    """Stands for the module ``os`` in :mod:`tarragonway.consensus.files`.

    Files are those of a real folder. For each file, the bytes that would be left after
    a loss of power are known. A failed sync marks the unsynced bytes as written, so
    that later syncs succeed without writing them, as Linux does.

    Parameters
    ----------
    folder : pathlib.Path
        The folder of the files.
    """

    def __init__(self, folder):
        self._folder = folder
        self._stored = {}
        self._unsynced = {}
        self._names = {}
        self._descriptors = {}
        # Open descriptors of all files, so that no inode number is used again.
        self._held = []
        # Names of calls, number of these that succeed before one fails, error number,
        # and bytes that are written before the failure.
        self.fault = NO_FAULT
        self.is_lasting = False

    def __getattr__(self, name):
        return getattr(os, name)

    def _fail(self, call):
        names, left, error, _ = self.fault
        if call not in names.split():
            return
        if left:
            self.fault = (names, left - 1, *self.fault[2:])
            return
        if not self.is_lasting:
            self.fault = NO_FAULT
        raise OSError(error, os.strerror(error))

    def open(self, path, flags, mode=0o777):
        if flags & os.O_CREAT:
            self._fail("open")
        descriptor = os.open(path, flags, mode)
        inode = os.fstat(descriptor).st_ino
        self._descriptors[descriptor] = inode
        self._unsynced.setdefault(inode, [])
        if inode not in self._stored:
            self._held.append(os.open(path, os.O_RDONLY))
            self._stored[inode] = b""
        return descriptor

    def close(self, descriptor):
        self._descriptors.pop(descriptor, None)
        os.close(descriptor)

    def write(self, descriptor, data):
        start = os.fstat(descriptor).st_size
        partial = self.fault[3]
        try:
            self._fail("write")
        except OSError:
            written = os.write(descriptor, bytes(data)[:partial]) if partial else 0
            self._mark(descriptor, start, written)
            raise
        written = os.write(descriptor, data)
        self._mark(descriptor, start, written)
        return written

    def _mark(self, descriptor, start, size):
        if size:
            self._unsynced[self._descriptors[descriptor]].append((start, start + size))

    def ftruncate(self, descriptor, size):
        self._fail("ftruncate")
        os.ftruncate(descriptor, size)
        inode = self._descriptors[descriptor]
        self._unsynced[inode] = [
            (start, min(end, size))
            for start, end in self._unsynced[inode]
            if start < size
        ]

    def fsync(self, descriptor):
        self._sync(descriptor, "fsync")

    def fdatasync(self, descriptor):
        self._sync(descriptor, "fdatasync")

    def _sync(self, descriptor, call):
        inode = self._descriptors[descriptor]
        if os.path.samestat(os.fstat(descriptor), os.stat(self._folder)):
            self._fail(call)
            self._names = {p.name: p.stat().st_ino for p in self._folder.iterdir()}
            return
        try:
            self._fail(call)
        except OSError:
            self._unsynced[inode] = []
            raise
        self._stored[inode] = self._read_image(inode, descriptor, None)
        self._unsynced[inode] = []

    def _read_image(self, inode, descriptor, torn_bytes):
        """Return a file's stored bytes with (the first of) its unsynced bytes."""
        size = os.fstat(descriptor).st_size
        with open(f"/dev/fd/{descriptor}", "rb") as file:
            content = file.read()
        image = bytearray(self._stored[inode][:size])
        for start, end in self._unsynced[inode]:
            if torn_bytes is not None:
                end = min(end, start + torn_bytes)
                torn_bytes -= end - start
            image.extend(bytes(max(0, end - len(image))))
            image[start:end] = content[start:end]
        if torn_bytes is None:
            image.extend(bytes(max(0, size - len(image))))
        return bytes(image)

    def replace(self, source, target):
        self._fail("replace")
        os.replace(source, target)

    def release(self):
        """Close the descriptors that this object holds."""
        for descriptor in self._held:
            os.close(descriptor)
        self._held = []

    def lose_power(self, torn_bytes):
        """Leave only what was stored, and the first unsynced bytes of each file."""
        images = {}
        for path in self._folder.iterdir():
            descriptor = os.open(path, os.O_RDONLY)
            inode = os.fstat(descriptor).st_ino
            if inode in self._stored:
                self._stored[inode] = self._read_image(inode, descriptor, torn_bytes)
            os.close(descriptor)
        for name, inode in self._names.items():
            if inode in self._stored:
                images[name] = self._stored[inode]
        for path in list(self._folder.iterdir()):
            path.unlink()
        self.release()
        self._stored, self._unsynced, self._names = {}, {}, {}
        for name, image in images.items():
            (self._folder / name).write_bytes(image)
            self._held.append(os.open(self._folder / name, os.O_RDONLY))
            inode = (self._folder / name).stat().st_ino
            self._stored[inode], self._unsynced[inode] = image, []
            self._names[name] = inode
