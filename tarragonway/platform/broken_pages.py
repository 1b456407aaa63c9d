"""Search for the entries of a list page that is not JSON as a whole."""

import re

import msgspec

from tarragonway.core.decoding import MAX_DEPTH, UndecodableError, decode_json

# Longer pages that are not JSON are refused as a whole, to bound the time of a search.
MAX_BROKEN_PAGE_BYTES = 1024 * 1024
# A search that is this deep in nested values begins anew at the next entry.
_MAX_SCAN_DEPTH = 2 * MAX_DEPTH

_STRING = rb'"(?>[^"\\]*(?:\\.[^"\\]*)*)"'
_LIST = rb'"instances"\s*:\s*\['
_NEXT = rb'"next"\s*:\s*(?P<next>null|' + _STRING + rb")"
# Beginning and end of a page, with the token of the next page in either of them.
_START = re.compile(rb"\s*\{\s*(?:" + _NEXT + rb"\s*,\s*)?" + _LIST, re.DOTALL)
_START_ANYWHERE = re.compile(_LIST)
_END_WITH_NEXT = re.compile(rb"\]\s*,\s*" + _NEXT + rb"\s*\}\s*\Z", re.DOTALL)
_END = re.compile(rb"\]\s*\}\s*\Z")
_ENTRY_SEPARATOR = re.compile(rb',\s*(?=\{\s*")')
_SPACE = re.compile(rb"\s*")

_KEY = re.compile(rb"\s*" + _STRING + rb"\s*:", re.DOTALL)
_VALUE = re.compile(
    rb"\s*(?:(?P<opening>[\[{])|" + _STRING + rb"|[-+.0-9A-Za-z]+)", re.DOTALL
)
_CLOSING = re.compile(rb"\s*([\]}])")
_COMMA = re.compile(rb"\s*,")
_CLOSING_BY_OPENING = {b"{": b"}", b"[": b"]"}
_OPENING_BRACE = ord("{")

_token_decoder = msgspec.json.Decoder(str | None)


class FoundEntries(msgspec.Struct, frozen=True):
    """What a page that is not JSON contains.

    ``entries`` are its complete objects, ``broken`` counts places where others were
    skipped, and ``next`` is the token of the next page, None on the last.
    """

    entries: tuple[bytes, ...]
    broken: int
    next: str | None


def find_entries(text: bytes) -> FoundEntries | None:
    """Return the complete entries of a page, and the token of the next one.

    An entry may hold any bytes; the others still hold. The time is linear in the length
    of the text, and nested values need no stack.

    Returns
    -------
    FoundEntries or None
        None if the text does not say whether another page follows, or is longer than
        :data:`MAX_BROKEN_PAGE_BYTES`.

    Examples
    --------
    >>> find_entries(b'{"instances":[{"id":"a",{"id":"b"}],"next":"p"}')
    FoundEntries(entries=(b'{"id":"b"}',), broken=1, next='p')
    """
    if len(text) > MAX_BROKEN_PAGE_BYTES:
        return None
    start, end, token = _find_list(text)
    if token is None:
        return None
    try:
        following = decode_json(_token_decoder, token)
    except UndecodableError:
        return None
    entries, broken = _split_entries(text, start, end)
    return FoundEntries(tuple(entries), broken, following)


def _find_list(text: bytes) -> tuple[int, int, bytes | None]:
    """Return the bounds of the list and the encoded token, None if there is none."""
    start = _START.match(text)
    if start is not None and start["next"] is not None:
        end = _END.search(text)
        return start.end(), end.start() if end else 0, start["next"] if end else None
    start = start or _START_ANYWHERE.search(text)
    end = _END_WITH_NEXT.search(text)
    if start is None or end is None or end.start() < start.end():
        return 0, 0, None
    return start.end(), end.start(), end["next"]


def _split_entries(text: bytes, start: int, end: int) -> tuple[list[bytes], int]:
    """Return the complete objects of a list, and the number of broken ones."""
    entries: list[bytes] = []
    broken = 0
    known: dict[int, int | None] = {}
    position = _skip_space(text, start)
    while position < end:
        after = None
        if text[position] == _OPENING_BRACE:
            if position not in known:
                _scan_value(text, position, end, known)
            after = known.get(position)
        if after is not None and _is_element_end(text, after, end):
            entries.append(text[position:after])
            following = _COMMA.match(text, after, end)
            position = end if following is None else following.end()
            position = _skip_space(text, position)
            continue
        broken += 1
        separator = _ENTRY_SEPARATOR.search(text, position, end)
        position = end if separator is None else separator.end()
    return entries, broken


def _is_element_end(text: bytes, position: int, end: int) -> bool:
    """Return whether an element of the list may end at the position."""
    position = _skip_space(text, position)
    return position >= end or text[position : position + 1] == b","


def _skip_space(text: bytes, position: int) -> int:
    space = _SPACE.match(text, position)
    return space.end() if space is not None else position


def _scan_value(
    text: bytes, position: int, end: int, known: dict[int, int | None]
) -> None:
    """Record where a value and the values inside it end, None for unusable ones.

    What is found for a value inside another one holds for a search that starts there,
    so that no search is repeated. The total time is therefore linear.
    """
    openings: list[int] = []
    next_value: int | None = position
    while next_value is not None:
        value = _VALUE.match(text, next_value, end)
        if value is None:
            return
        is_opening = value["opening"] is not None
        if is_opening:
            openings.append(value.end() - 1)
            known[value.end() - 1] = None
            if len(openings) > _MAX_SCAN_DEPTH:
                # Only the outer values are known to be nested too deep.
                for opening in openings[-MAX_DEPTH:]:
                    del known[opening]
                return
        after = _close_containers(text, value.end(), end, openings, known)
        if after is None or not openings:
            return
        is_first = is_opening and after == value.end()
        next_value = _find_next_value(text, after, end, openings[-1], is_first)


def _close_containers(
    text: bytes,
    position: int,
    end: int,
    openings: list[int],
    known: dict[int, int | None],
) -> int | None:
    """Return the position after closing brackets, None if one closes another kind."""
    while openings and (closing := _CLOSING.match(text, position, end)):
        opening = openings.pop()
        if _CLOSING_BY_OPENING[text[opening : opening + 1]] != closing[1]:
            return None
        position = closing.end()
        known[opening] = position
    return position


def _find_next_value(
    text: bytes, position: int, end: int, opening: int, is_first: bool
) -> int | None:
    """Return where the next value of a container begins, None if there is none."""
    if not is_first:
        comma = _COMMA.match(text, position, end)
        if comma is None:
            return None
        position = comma.end()
    if text[opening] != _OPENING_BRACE:
        return position
    key = _KEY.match(text, position, end)
    return None if key is None else key.end()
