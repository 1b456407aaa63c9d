"""Polls the platform's list of instances and its reclaim notices."""

import asyncio
import re
import urllib.parse
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.decoding import UndecodableError, decode_json, drop_deep_values
from tarragonway.core.http_status import reject_invalid_status
from tarragonway.core.ids import EndpointId
from tarragonway.endpoints.model import (
    Endpoint,
    EndpointState,
    MarkLeaving,
    ObserveEndpoints,
)

REQUEST_TIMEOUT_S = 2.0
# An address, or a name of labels that DNS can hold.
_HOST = re.compile(
    r"[0-9a-f:.]{2,45}|(?=.{1,253}$)[0-9a-z_-]{1,63}(\.[0-9a-z_-]{1,63})*"
)

_log = structlog.get_logger()


class ReclaimNotices(msgspec.Struct, frozen=True):
    """Reclaim notices: endpoints that the platform has announced that it will stop."""

    leaving: tuple[EndpointId, ...]


class EndpointList(msgspec.Struct, frozen=True):
    """Full endpoint list of the platform."""

    instances: tuple[Endpoint, ...]


class _Entries(msgspec.Struct, frozen=True):
    instances: tuple[msgspec.Raw, ...]


_notices_decoder = msgspec.json.Decoder(ReclaimNotices)
_entries_decoder = msgspec.json.Decoder(_Entries)
_endpoint_decoder = msgspec.json.Decoder(Endpoint)


def decode_list(body: bytes) -> tuple[EndpointList, int]:
    """Return the endpoints of a list that can be used, and the number of others.

    Raises
    ------
    UndecodableError
        If the body is no list of entries.

    Examples
    --------
    >>> decode_list(b'{"instances": [{"id": "e1"}]}')
    (EndpointList(instances=()), 1)
    """
    entries = decode_json(_entries_decoder, drop_deep_values(body)).instances
    endpoints = [row for entry in entries if (row := _decode_entry(entry)) is not None]
    return EndpointList(tuple(endpoints)), len(entries) - len(endpoints)


def _decode_entry(entry: msgspec.Raw) -> Endpoint | None:
    try:
        endpoint = decode_json(_endpoint_decoder, entry)
    except UndecodableError:
        return None
    return endpoint if _is_usable_url(endpoint.url) else None


def _is_usable_url(url: str) -> bool:
    """Return whether a URL names an HTTP server that can be called."""
    try:
        parts = urllib.parse.urlsplit(url)
        port = parts.port
    except ValueError:
        return False
    host = _HOST.fullmatch(parts.hostname or "")
    return parts.scheme in ("http", "https") and host is not None and port != 0


def compute_changes(
    known: dict[EndpointId, Endpoint], endpoint_list: EndpointList
) -> ObserveEndpoints | None:
    """Return the command from ``known`` to ``endpoint_list``, None if they agree.

    A leaving endpoint that the list reports as active is no change, since leaving is
    final.

    Examples
    --------
    >>> compute_changes({}, EndpointList(())) is None
    True
    """
    seen = [e for e in endpoint_list.instances if _is_change(known.get(e.id), e)]
    listed = {endpoint.id for endpoint in endpoint_list.instances}
    removed = tuple(sorted(set(known) - listed))
    if not seen and not removed:
        return None
    return ObserveEndpoints(tuple(seen), removed)


def _is_change(row: Endpoint | None, listed: Endpoint) -> bool:
    if row is None or msgspec.structs.replace(listed, state=row.state) != row:
        return True
    return listed.state is EndpointState.LEAVING and row.state is not listed.state


class PlatformWatcher:
    """Polls the cloud API as leader, and appends changes to the replicated log.

    Parameters
    ----------
    url : str
        Base address of the cloud API.
    poll_s : float
        Seconds between polls.
    is_leader : callable
        Returns whether this process leads.
    known : callable
        Returns the endpoints on record.
    marked : callable
        Returns the ids that are marked as leaving.
    propose : callable
        Appends a command to the replicated log.
    counters : Counters
        Receives ``platform.*`` counters.
    """

    def __init__(
        self,
        url: str,
        poll_s: float,
        is_leader: Callable[[], bool],
        known: Callable[[], dict[EndpointId, Endpoint]],
        marked: Callable[[], dict[EndpointId, int]],
        propose: Callable[[ObserveEndpoints | MarkLeaving], Awaitable[object]],
        counters: Counters,
    ) -> None:
        self._url = url
        self._poll_s = poll_s
        self._is_leader = is_leader
        self._known = known
        self._marked = marked
        self._propose = propose
        self._counters = counters
        self._unusable = 0

    async def run(self) -> None:
        """Poll until the task is cancelled."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(
            timeout=timeout, raise_for_status=reject_invalid_status
        ) as session:
            while True:
                if self._is_leader():
                    await self._poll(session)
                await asyncio.sleep(self._poll_s)

    def _record_unusable(self, count: int) -> None:
        """Count unusable entries; log their number when it changes."""
        self._counters.increment("platform.unusable_entries", count)
        if count != self._unusable:
            _log.warning("entries of the endpoint list cannot be used", count=count)
        self._unusable = count

    async def _poll(self, session: aiohttp.ClientSession) -> None:
        try:
            # Notices are read first, since they show a reclaim earlier than the list.
            async with session.get(f"{self._url}/notices") as response:
                response.raise_for_status()
                notices = decode_json(_notices_decoder, await response.read())
            async with session.get(f"{self._url}/instances") as response:
                response.raise_for_status()
                endpoint_list, unusable = decode_list(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, UndecodableError):
            self._counters.increment("platform.failed_polls")
            return
        self._record_unusable(unusable)
        self._counters.increment("platform.polls")
        marked = self._marked()
        unmarked = tuple(e for e in notices.leaving if e not in marked)
        if unmarked:
            _log.info("endpoints are leaving after reclaim notices", endpoints=unmarked)
            await self._propose(MarkLeaving(unmarked, "notice"))
        change = compute_changes(self._known(), endpoint_list)
        if change is not None:
            await self._propose(change)
