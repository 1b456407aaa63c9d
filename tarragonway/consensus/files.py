"""Durable files in the data folder of a process."""

import contextlib
import fcntl
import os
import pathlib
from typing import Protocol

import msgspec

from tarragonway.core.errors import TarragonwayError

TEMPORARY_SUFFIX = ".new"


class DataFolderLockedError(TarragonwayError):
    """Raised if another process holds the lock of the data folder."""


class Files(Protocol):
    """File operations that the storage of the log requires.

    Each may raise OSError, such as on a full disk, and can then be called again.
    """

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file; the data is durable only after :meth:`sync`."""
        ...

    def sync(self, name: str) -> None:
        """Make all data appended to a file durable.

        If this fails, what has been appended since the last successful call is removed
        and must be appended again.
        """
        ...

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes durably."""
        ...

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file durably and atomically."""
        ...


class _OpenFile(msgspec.Struct):
    """File that is open for appending.

    ``valid_bytes`` is the size up to which the file is used, ``synced_bytes`` the size
    that is durable. Bytes beyond ``valid_bytes`` are to be removed if ``is_torn``.
    """

    descriptor: int
    valid_bytes: int
    synced_bytes: int
    is_torn: bool = False

    def cut(self) -> None:
        """Remove what a failed append or sync has left behind."""
        if self.is_torn:
            os.ftruncate(self.descriptor, self.valid_bytes)
            self.is_torn = False

    def mark_torn(self, valid_bytes: int) -> None:
        """Remove the bytes from ``valid_bytes`` on, now or before the next append."""
        self.valid_bytes = valid_bytes
        self.is_torn = True
        with contextlib.suppress(OSError):
            self.cut()


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
        self._open_files: dict[str, _OpenFile] = {}
        # Identify the latest change of the files' names and the latest durable one.
        # Two threads may write different files.
        self._names_version = object()
        self._synced_names_version: object | None = None
        self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise DataFolderLockedError(
                f"data folder {folder} is locked by another process; "
                "stop that process before starting this one"
            ) from error
        try:
            unfinished = list(folder.glob(f"*{TEMPORARY_SUFFIX}"))
        except OSError:
            # The start may be tried again, and takes the lock again.
            os.close(self._lock)
            raise
        for path in unfinished:
            _release_room(path)

    def read(self, name: str) -> bytes | None:
        """Return a file's content, or None if there is no such file."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file; the data is durable only after :meth:`sync`."""
        file = self._open(name)
        file.cut()
        try:
            _write_all(file.descriptor, data)
        except OSError:
            # A later append must not follow part of a frame.
            file.mark_torn(file.valid_bytes)
            raise
        file.valid_bytes += len(data)

    def sync(self, name: str) -> None:
        """Make all data appended to a file durable, or remove it from the file."""
        file = self._open(name)
        try:
            file.cut()
            os.fdatasync(file.descriptor)
            if self._synced_names_version is not self._names_version:
                self._sync_folder()
        except OSError:
            # A later sync may succeed without writing the data of the failed one.
            file.mark_torn(file.synced_bytes)
            raise
        file.synced_bytes = file.valid_bytes

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes durably."""
        file = self._open(name)
        os.ftruncate(file.descriptor, size)
        file.valid_bytes = min(file.valid_bytes, size)
        os.fsync(file.descriptor)
        file.synced_bytes = file.valid_bytes

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file durably and atomically."""
        temporary = self._folder / f"{name}{TEMPORARY_SUFFIX}"
        try:
            descriptor = os.open(
                temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600
            )
            try:
                _write_all(descriptor, data)
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
            os.replace(temporary, self._folder / name)
        except OSError:
            _release_room(temporary)
            raise
        self._close(name)
        self._names_version = object()
        self._sync_folder()

    def clear(self, kept: str) -> None:
        """Remove all files except the lock file and the file ``kept`` durably."""
        for name in list(self._open_files):
            self._close(name)
        for path in self._folder.iterdir():
            if path.name not in ("lock", kept):
                path.unlink()
        self._sync_folder()

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._open_files):
            self._close(name)
        os.close(self._lock)

    def _open(self, name: str) -> _OpenFile:
        if name not in self._open_files:
            path = self._folder / name
            is_new = not path.exists()
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            descriptor = os.open(path, flags, 0o600)
            if is_new:
                # Only now, as another thread may have synced the folder in between.
                self._names_version = object()
            size = os.fstat(descriptor).st_size
            self._open_files[name] = _OpenFile(descriptor, size, size)
        return self._open_files[name]

    def _close(self, name: str) -> None:
        file = self._open_files.pop(name, None)
        if file is not None:
            os.close(file.descriptor)

    def _sync_folder(self) -> None:
        version = self._names_version
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        self._synced_names_version = version


def _release_room(path: pathlib.Path) -> None:
    """Empty the file of an unfinished replacement, as the disk may be full."""
    with contextlib.suppress(OSError):
        os.truncate(path, 0)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
