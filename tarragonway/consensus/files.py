"""Durable files in the data folder of a process."""

import fcntl
import os
import pathlib
from typing import Protocol

from tarragonway.core.errors import TarragonwayError


class DataFolderLockedError(TarragonwayError):
    """Raised if another process holds the lock of the data folder."""


class Files(Protocol):
    """File operations that the storage of the log requires."""

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file; the data is durable only after :meth:`sync`."""
        ...

    def sync(self, name: str) -> None:
        """Make all data appended to a file durable."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes durably."""
        ...

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file durably and atomically."""
        ...


class FolderFiles:
    """Files of one folder, which this process keeps locked until :meth:`close`.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the files; created if it does not exist.

    Raises
    ------
    DataFolderLockedError
        If another process holds the folder's lock.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._descriptors: dict[str, int] = {}
        self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise DataFolderLockedError(
                f"data folder {folder} is locked by another process; "
                "stop that process before starting this one"
            ) from error

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file; the data is durable only after :meth:`sync`."""
        descriptor = self._open(name)
        size = os.fstat(descriptor).st_size
        try:
            _write_all(descriptor, data)
        except OSError:
            # Part of the data may have been written. It is removed, because a later
            # append must not follow an incomplete frame.
            os.ftruncate(descriptor, size)
            raise

    def sync(self, name: str) -> None:
        """Make all data appended to a file durable."""
        os.fdatasync(self._open(name))

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes durably."""
        descriptor = self._open(name)
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file durably and atomically."""
        temporary = self._folder / f"{name}.new"
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        self._close(name)
        os.replace(temporary, self._folder / name)
        self._sync_folder()

    def clear(self) -> None:
        """Remove all files except the lock file durably."""
        for name in list(self._descriptors):
            self._close(name)
        for path in self._folder.iterdir():
            if path.name != "lock":
                path.unlink()
        self._sync_folder()

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._descriptors):
            self._close(name)
        os.close(self._lock)

    def _open(self, name: str) -> int:
        if name not in self._descriptors:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._descriptors[name] = os.open(self._folder / name, flags, 0o600)
            self._sync_folder()
        return self._descriptors[name]

    def _close(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
