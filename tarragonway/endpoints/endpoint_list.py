"""Rows of the platform's endpoint list, and a process's copy of the list."""

import re
from collections.abc import Iterable

import msgspec

from tarragonway.core.addresses import (
    AddressError,
    EndpointAddress,
    check_endpoint_address,
)
from tarragonway.core.clock import read_monotonic
from tarragonway.core.errors import TarragonwayError
from tarragonway.core.ids import ServiceName, SoftwareVersion, ZoneName
from tarragonway.exchange import MAX_REQUESTS

MAX_LEAVING_MARKS = 4096
MAX_NAME_LENGTH = 256
MAX_VERSION_LENGTH = 64
MAX_DURATION_S = 86_400.0

# Ids are sent as header values, so that spaces and control characters are no part.
_ID = re.compile(r"[!-~]{1,128}")


class InvalidEndpointError(TarragonwayError, ValueError):
    """What should describe an endpoint names none that can be called."""


class ListedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of an endpoint in the platform's list.

    ``key`` identifies the incarnation; ``platform_id`` is the platform's id, which a
    restarted endpoint may have again. ``leaves_s`` is the announced time in seconds
    until a reclaimed endpoint is stopped, negative if unknown. ``cold_s`` is the rest
    of its cold start in seconds. ``version`` is the version of its software, "" if the
    list does not state one.

    Raises
    ------
    InvalidEndpointError
        If a value is outside of its bounds, also when decoding.

    Examples
    --------
    >>> ListedEndpoint("e.1", "e", "s", "10.0.0.9:70000", "a", 4, False)
    Traceback (most recent call last):
    ...
    tarragonway.endpoints.endpoint_list.InvalidEndpointError: address: \
'10.0.0.9:70000' is not IP:port
    """

    key: str
    platform_id: str
    service: ServiceName
    address: EndpointAddress
    zone: ZoneName
    slots: int
    leaving: bool
    reclaimable: bool = False
    leaves_s: float = -1.0
    cold_s: float = 0.0
    version: SoftwareVersion = SoftwareVersion("")

    def __post_init__(self) -> None:
        """Check all values."""
        try:
            check_endpoint_address(self.address)
        except AddressError as error:
            raise InvalidEndpointError(f"address: {error}") from error
        checks = {
            "id": _ID.fullmatch(self.platform_id) is not None,
            "key": _is_name(self.key),
            "service": _is_name(self.service),
            "zone": _is_name(self.zone),
            "version": len(self.version) <= MAX_VERSION_LENGTH,
            "slots": 0 <= self.slots <= MAX_REQUESTS,
            "leaves_s": -1.0 <= self.leaves_s <= MAX_DURATION_S,
            "cold_s": 0.0 <= self.cold_s <= MAX_DURATION_S,
        }
        for name, is_valid in checks.items():
            if not is_valid:
                raise InvalidEndpointError(f"{name}: is outside of its bounds")


def _is_name(text: str) -> bool:
    return 0 < len(text) <= MAX_NAME_LENGTH and text.isprintable()


class RejectedEntry(msgspec.Struct, frozen=True):
    """An entry of the platform's list that names no endpoint to use.

    ``id`` is "" if it cannot be read.
    """

    id: str
    reason: str


class EndpointView:
    """The latest endpoint list, in which a leaving endpoint never becomes active again.

    An endpoint may also say itself that it leaves (:meth:`mark_leaving`), before the
    list shows it; ``self_announced`` holds the keys of those.

    ``leaving_since`` holds the times of :func:`read_monotonic`, in seconds, at which
    listed endpoints were first seen as leaving. It lacks those that were never seen
    active.

    Examples
    --------
    >>> row = ListedEndpoint("e.1", "e", "s", "127.0.0.1:1", "a", 4, False)
    >>> view = EndpointView()
    >>> _ = view.apply_full_list([msgspec.structs.replace(row, leaving=True)])
    >>> _ = view.apply_full_list([row])
    >>> view.rows["e.1"].leaving
    True
    """

    def __init__(self) -> None:
        self.rows: dict[str, ListedEndpoint] = {}
        self.leaving_since: dict[str, float] = {}
        self.self_announced: dict[str, None] = {}
        self._leaving: dict[str, None] = {}

    def apply_full_list(
        self, rows: Iterable[ListedEndpoint]
    ) -> tuple[list[ListedEndpoint], list[str]]:
        """Apply a full list; return changed rows and the keys of removed endpoints.

        Of rows with the same key, the first one holds.
        """
        by_key: dict[str, ListedEndpoint] = {}
        for row in rows:
            by_key.setdefault(row.key, row)
        marked_rows = [self._mark(row) for row in by_key.values()]
        changed = [row for row in marked_rows if self.rows.get(row.key) != row]
        listed = {row.key for row in marked_rows}
        removed = [key for key in self.rows if key not in listed]
        for key in removed:
            self.leaving_since.pop(key, None)
        self.rows = {row.key: row for row in marked_rows}
        return changed, removed

    def apply_delta(
        self, rows: Iterable[ListedEndpoint], removed: Iterable[str]
    ) -> None:
        """Apply a delta: changed rows and the keys of removed endpoints."""
        for row in rows:
            marked = self._mark(row)
            self.rows[marked.key] = marked
        for key in removed:
            self.rows.pop(key, None)
            self.leaving_since.pop(key, None)

    def mark_leaving(self, key: str) -> bool:
        """Mark an endpoint that leaves by its own account; return whether it is new."""
        if key in self._leaving:
            return False
        self.self_announced[key] = None
        while len(self.self_announced) > MAX_LEAVING_MARKS:
            del self.self_announced[next(iter(self.self_announced))]
        self._add_mark(key)
        row = self.rows.get(key)
        if row is not None:
            self.rows[key] = self._mark(msgspec.structs.replace(row, leaving=True))
        return True

    def _add_mark(self, key: str) -> None:
        self._leaving[key] = None
        while len(self._leaving) > MAX_LEAVING_MARKS:
            del self._leaving[next(iter(self._leaving))]

    def _mark(self, row: ListedEndpoint) -> ListedEndpoint:
        if row.leaving:
            known = self.rows.get(row.key)
            if known is not None and not known.leaving:
                self.leaving_since[row.key] = read_monotonic()
            self._add_mark(row.key)
            return row
        if row.key in self._leaving:
            return msgspec.structs.replace(row, leaving=True)
        return row
