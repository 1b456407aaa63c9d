from types import SimpleNamespace

import pytest

from tarragonway.core.counters import Counters
from tarragonway.endpoints.reader import MAX_PAGE_ATTEMPTS, ListReader, ListReadFailed
from tarragonway.http1.call import CallResponse


class Platform:
    """Platform with a list of three pages that rate limits some calls."""

    def __init__(self, refusals):
        self.refusals = list(refusals)
        self.calls = 0

    async def call(self, page, timeout_s):
        self.calls += 1
        if self.refusals and self.refusals.pop(0):
            return CallResponse(429, b"")
        return CallResponse(200, str(page or 0).encode())


def decode(body):
    number = int(body)
    following = str(number + 1) if number < 2 else None
    return SimpleNamespace(rows=[number], next=following, unusable=0)


def make_reader(platform):
    return ListReader(platform, lambda page: page, decode, Counters())


async def test_rate_limited_page_is_requested_again():
    platform = Platform([False, True, True, False])
    reader = make_reader(platform)
    assert await reader.read() == [0, 1, 2]
    assert (platform.calls, reader.pages) == (5, 3)


@pytest.mark.parametrize("first", [0, 1])
async def test_read_fails_after_the_last_page_attempt(first):
    platform = Platform([False] * first + [True] * 100)
    answer = await make_reader(platform).read()
    assert isinstance(answer, ListReadFailed) and answer.rate_limited
    assert platform.calls == first + MAX_PAGE_ATTEMPTS
