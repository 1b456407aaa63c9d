from types import SimpleNamespace

import pytest
import structlog

from tarragonway.core.counters import Counters
from tarragonway.endpoints.endpoint_list import RejectedEntry
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
    return SimpleNamespace(rows=[number], next=following, rejected=())


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


# Guards against an odd entry that fills the log, as the list is read all the time.
async def test_entry_that_is_left_out_is_logged_once():
    rejected = [RejectedEntry(f"e{n}" * 200, "is odd") for n in range(50)]

    def decode_odd(body):
        return SimpleNamespace(rows=[1], next=None, rejected=rejected)

    reader = ListReader(Platform([]), lambda page: page, decode_odd, Counters())
    with structlog.testing.capture_logs() as logs:
        sizes = []
        for _ in range(20):
            assert await reader.read() == [1]
            sizes.append(len(logs))
    assert sizes[0] < 10
    assert len(logs) <= 51 and sizes[-1] == sizes[-2]
    assert max(len(row.get("endpoint", "")) for row in logs) <= 120


# Guards against a list whose pages never end, which takes the rate of all readers.
async def test_list_whose_pages_repeat_is_not_read_on():
    def decode_again(body):
        return SimpleNamespace(rows=[1], next="1", rejected=())

    platform = Platform([])
    reader = ListReader(platform, lambda page: page, decode_again, Counters())
    assert isinstance(await reader.read(), ListReadFailed)
    assert platform.calls == 2


# Guards against one page that ends the list's reader, and with it the process.
@pytest.mark.parametrize("part", ["decode", "call"])
async def test_unexpected_error_is_a_failed_read(part):
    failures = [RuntimeError, RecursionError]

    def decode_or_raise(body):
        if part == "decode" and failures:
            raise failures.pop()
        return decode(body)

    def call_or_raise(page):
        if part == "call" and failures:
            raise failures.pop()
        return page

    reader = ListReader(Platform([]), call_or_raise, decode_or_raise, Counters())
    with structlog.testing.capture_logs() as logs:
        for _ in range(2):
            assert isinstance(await reader.read(), ListReadFailed)
        assert await reader.read() == [0, 1, 2]
    assert sum("exc_info" in row for row in logs) == 1
