import asyncio
import errno
from types import SimpleNamespace

import pytest

from tarragonway.process.runner import _start


def make_build(errors):
    """Return a builder whose processes fail to start with these errors in turn."""

    async def start():
        if errors:
            raise errors.pop(0)

    async def close():
        pass

    return lambda: SimpleNamespace(start=start, close=close)


# Guards against a process that ends at its start since a disk has no room, whichever
# error says so, or since the system is short of memory or descriptors.
@pytest.mark.parametrize(
    "name", ["ENOSPC", "EDQUOT", "EFBIG", "EIO", "ENOMEM", "ENOBUFS", "ENFILE"]
)
async def test_start_is_tried_again_after_a_passing_error(name, monkeypatch):
    monkeypatch.setattr("tarragonway.process.runner.START_RETRY_INTERVAL_S", 0.0)
    errors = [OSError(getattr(errno, name), name) for _ in range(2)]
    assert await _start(make_build(errors), asyncio.Queue()) is not None
    assert not errors


# Guards against a start that is tried again for a minute though its error stays.
async def test_start_ends_at_once_after_a_lasting_error():
    with pytest.raises(PermissionError):
        await _start(make_build([PermissionError(errno.EACCES, "no")]), asyncio.Queue())
