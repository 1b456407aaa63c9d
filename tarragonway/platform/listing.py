"""Calls and pages of the platform's endpoint list."""

import hashlib
import re
from typing import Annotated
from urllib.parse import urlencode

import msgspec
from msgspec import Meta

from tarragonway.core.addresses import EndpointAddress
from tarragonway.core.decoding import UndecodableError, decode_json
from tarragonway.core.ids import ServiceName, SoftwareVersion, ZoneName
from tarragonway.endpoints.endpoint_list import (
    MAX_DURATION_S,
    MAX_VERSION_LENGTH,
    InvalidEndpointError,
    ListedEndpoint,
    RejectedEntry,
)
from tarragonway.exchange import MAX_REQUESTS
from tarragonway.http1.call import Call
from tarragonway.platform import names
from tarragonway.platform.broken_pages import find_entries

MAX_TOKEN_LENGTH = 4096
# Times since 1970 are below this.
MAX_TIME_MS = 2**53

# Whether an endpoint in this state is leaving.
_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


class Page(msgspec.Struct, frozen=True):
    """One page of the list.

    ``next`` is the token of the next page, None on the last. ``rejected`` are the
    entries that were left out because they can't be used.
    """

    rows: tuple[ListedEndpoint, ...]
    next: str | None
    rejected: tuple[RejectedEntry, ...]

    @property
    def unusable(self) -> int:
        """Number of entries that were left out."""
        return len(self.rejected)


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
    born: Annotated[int, Meta(ge=0, le=MAX_TIME_MS)] = 0
    spot: bool = False
    leaves_ms: float | None = None
    # Version of the replica's software; those of its weights are in the field "models".
    version: str = ""


_ID = re.compile(rb'"id"\s*:\s*"([^"\\]{1,64})"')
_page_decoder = msgspec.json.Decoder(_Page)
_entry_decoder = msgspec.json.Decoder(_Entry)


def make_list_call(page: str | None) -> Call:
    """Return the call that reads the page with this token, None for the first."""
    query = "" if page is None else "?" + urlencode({"page_token": page})
    return Call("GET", names.LIST_PATH + query)


def decode_page(body: bytes) -> Page | PageError:
    """Return the usable entries of a page, or a sentinel with the reason.

    An entry may hold any bytes; it then names no endpoint, and the others still hold.
    """
    entries: list[bytes]
    broken: tuple[RejectedEntry, ...] = ()
    try:
        page = decode_json(_page_decoder, body)
        entries, token = [bytes(raw) for raw in page.instances], page.next
    except UndecodableError as error:
        found = find_entries(body)
        if found is None:
            return PageError(str(error))
        entries, token = list(found.entries), found.next
        broken = (RejectedEntry("", "is no JSON"),) * found.broken
    if token is not None and len(token) > MAX_TOKEN_LENGTH:
        return PageError(f"the next page's token has {len(token)} characters")
    decoded = [_decode_entry(text) for text in entries]
    return Page(
        tuple(row for row in decoded if isinstance(row, ListedEndpoint)),
        token,
        (*broken, *(row for row in decoded if isinstance(row, RejectedEntry))),
    )


def _decode_entry(text: bytes) -> ListedEndpoint | RejectedEntry:
    try:
        entry = decode_json(_entry_decoder, text)
    except UndecodableError as error:
        return RejectedEntry(_find_id(text), str(error))
    leaving = _IS_LEAVING_BY_STATE.get(entry.state)
    if leaving is None:
        return RejectedEntry(_find_id(text), f"state: {entry.state!r} is unknown")
    try:
        return ListedEndpoint(
            f"{entry.id}@{entry.born}",
            entry.id,
            ServiceName(entry.service),
            EndpointAddress(entry.address),
            ZoneName(entry.zone),
            max(0, min(entry.slots, MAX_REQUESTS)),
            leaving or entry.leaves_ms is not None,
            entry.spot,
            -1.0 if entry.leaves_ms is None else _round_to_seconds(entry.leaves_ms),
            _round_to_seconds(entry.cold_left_ms),
            _shorten_version(entry.version),
        )
    except InvalidEndpointError as error:
        return RejectedEntry(_find_id(text), str(error))


def _find_id(text: bytes) -> str:
    """Return what looks like the id of an entry that cannot be decoded, or ""."""
    found = _ID.search(text)
    return found[1].decode(errors="replace") if found is not None else ""


def _round_to_seconds(duration_ms: float) -> float:
    return float(round(min(max(0.0, duration_ms / 1000), MAX_DURATION_S)))


def _shorten_version(version: str) -> SoftwareVersion:
    """Return a text that names a version, such that different ones stay different."""
    if len(version) <= MAX_VERSION_LENGTH:
        return SoftwareVersion(version)
    digest = hashlib.blake2b(version.encode(), digest_size=8).hexdigest()
    return SoftwareVersion(f"{version[: MAX_VERSION_LENGTH - 17]}~{digest}")
