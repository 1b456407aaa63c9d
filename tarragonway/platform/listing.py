"""Calls and pages of the platform's endpoint list."""

import hashlib
import json
import re
from typing import Any
from urllib.parse import urlencode

import msgspec

from tarragonway.core.ids import ServiceName, SoftwareVersion, ZoneName
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import MAX_REQUESTS
from tarragonway.http1.call import Call
from tarragonway.platform import names

# Longer texts that name a version are shortened; different ones stay different.
MAX_VERSION_LENGTH = 64
# Longer announced times count as this one.
MAX_DURATION_S = 86_400.0

# Whether an endpoint in this state is leaving.
_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


class Page(msgspec.Struct, frozen=True):
    """One page of the list.

    ``next`` is the token of the next page, None on the last. ``unusable`` counts
    entries that were left out because they can't be decoded.
    """

    rows: tuple[ListedEndpoint, ...]
    next: str | None
    unusable: int


class PageError(msgspec.Struct, frozen=True):
    """Sentinel: the page can't be decoded."""

    reason: str


class _Page(msgspec.Struct):
    # The platform uses "instances" for endpoints here.
    instances: list[msgspec.Raw]
    next: str | None = None


class _Entry(msgspec.Struct):
    id: str
    service: str
    address: str
    zone: str
    state: str
    slots: int = 0
    cold_left_ms: float = 0.0
    # Time of the replica's start, which distinguishes incarnations with the same id.
    born: int = 0
    spot: bool = False
    leaves_ms: float | None = None
    # Version of the replica's software; those of its weights are in the field "models".
    version: str = ""


# Parts of a page in the platform's format, to find the entries of a broken one.
_LIST_START = re.compile(r'"instances"\s*:\s*\[')
_LIST_END = re.compile(r'\]\s*,\s*"next"\s*:\s*(?P<next>null|"[^"\\]*")\s*\}\s*$')
_ENTRY_SEPARATOR = re.compile(r",\s*\{")
_scanner = json.JSONDecoder()
_page_decoder = msgspec.json.Decoder(_Page)
_entry_decoder = msgspec.json.Decoder(_Entry)


def make_list_call(page: str | None) -> Call:
    """Return the call that reads the page with this token, None for the first."""
    query = "" if page is None else "?" + urlencode({"page_token": page})
    return Call("GET", names.LIST_PATH + query)


def decode_page(body: bytes) -> Page | PageError:
    """Return the usable entries of a page, or a sentinel with the reason."""
    try:
        page = _page_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        salvaged = _salvage_page(body)
        if salvaged is None:
            return PageError(str(error))
        page = salvaged
    rows = [_decode_entry(raw) for raw in page.instances]
    usable = tuple(row for row in rows if row is not None)
    return Page(usable, page.next, len(rows) - len(usable))


def _salvage_page(body: bytes) -> _Page | None:
    """Return the readable entries of a page that is not JSON as a whole.

    An entry may hold bytes that break the page's JSON; the others still hold. Return
    None if the page's end, which names the next page, cannot be read.
    """
    text = body.decode("utf-8", "surrogateescape")
    start = _LIST_START.search(text)
    end = _LIST_END.search(text)
    if start is None or end is None:
        return None
    entries, unreadable, position = [], 0, start.end()
    while (position := text.find("{", position, end.start())) >= 0:
        try:
            _, after = _scanner.raw_decode(text, position)
        except ValueError:
            # Counts the entry once, by its first brace that begins no object.
            unreadable += 1
            after = _find_next_entry(text, position)
        else:
            raw = text[position:after].encode("utf-8", "surrogateescape")
            entries.append(msgspec.Raw(raw))
        position = after
    token = _scanner.decode(end["next"])
    unusable = [msgspec.Raw(b"null")] * max(1, unreadable)
    return _Page([*entries, *unusable], token)


def _find_next_entry(text: str, position: int) -> int:
    """Return where the entry after an unreadable one may begin."""
    separator = _ENTRY_SEPARATOR.search(text, position + 1)
    return separator.end() - 1 if separator is not None else len(text)


def _decode_entry(raw: Any) -> ListedEndpoint | None:
    try:
        entry = _entry_decoder.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    leaving = _IS_LEAVING_BY_STATE.get(entry.state)
    host, _, port = entry.address.rpartition(":")
    if leaving is None or not host or not port.isdigit():
        return None
    return ListedEndpoint(
        f"{entry.id}@{entry.born}",
        entry.id,
        ServiceName(entry.service),
        entry.address,
        ZoneName(entry.zone),
        max(0, min(entry.slots, MAX_REQUESTS)),
        leaving or entry.leaves_ms is not None,
        entry.spot,
        -1.0 if entry.leaves_ms is None else _round_to_seconds(entry.leaves_ms),
        _round_to_seconds(entry.cold_left_ms),
        _shorten_version(entry.version),
    )


def _round_to_seconds(duration_ms: float) -> float:
    return float(round(min(max(0.0, duration_ms / 1000), MAX_DURATION_S)))


def _shorten_version(version: str) -> SoftwareVersion:
    if len(version) <= MAX_VERSION_LENGTH:
        return SoftwareVersion(version)
    digest = hashlib.blake2b(version.encode(), digest_size=8).hexdigest()
    return SoftwareVersion(f"{version[: MAX_VERSION_LENGTH - 17]}~{digest}")
