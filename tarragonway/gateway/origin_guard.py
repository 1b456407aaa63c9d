"""Origins of streams at a gateway: which version may go on with a resumed stream."""

import asyncio
import functools
import itertools
import math
from collections.abc import Callable, Collection

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.hashes import compute_stream_key, rank_by_hash
from tarragonway.core.ids import AccountId, AttemptId, ProcessName, StreamKey
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.gateway.state import GatewayState
from tarragonway.gateway.version_confirmation import VersionConfirmer
from tarragonway.links.messages import (
    OriginReply,
    OriginRequest,
    StreamsBegan,
    VersionsInService,
    VersionsReply,
    VersionsRequest,
)
from tarragonway.routes.model import Route
from tarragonway.versions import (
    MAX_LIFETIME_S,
    OriginRecords,
    ServiceVersions,
    StreamOrigin,
    UnknownOrigin,
    UnknownOriginReason,
    decide_origin,
    list_beginnable,
    needs_record,
)

# Coordinators that hold each gateway's records, so that two may be lost.
RECORD_HOLDERS = 3
MAX_OWN_RECORDS = 50_000
# Keys in one message to a coordinator.
MAX_KEYS = 4096
# Shortest time between two messages with new records, and the rate of such messages of
# all gateways together, to each of their coordinators.
MIN_FLUSH_INTERVAL_S = 0.02
FLUSHES_PER_S = 1600.0
LOOKUP_TIMEOUT_S = 0.25
# Time until a caller may return whose stream is not known although all coordinators
# have answered: a record may still be on its way to them.
MIN_RETURN_S = 0.25
# The same if some coordinators have not answered.
UNANSWERED_RETURN_S = 1.0
# Reasons that no later record can remove.
FINAL_REASONS = frozenset(
    {UnknownOriginReason.CONTRADICTORY_RECORDS, UnknownOriginReason.OTHER_ROUTE}
)

_log = structlog.get_logger()


class OriginNotFound(msgspec.Struct, frozen=True):
    """The stream's version is not known.

    A retry may succeed after ``return_s`` seconds; None if it cannot.
    """

    reason: UnknownOriginReason
    return_s: float | None


class _Lookup(msgspec.Struct):
    waits_for: set[str]
    origins: set[StreamOrigin]
    done: asyncio.Event


class OriginGuard:
    """Records the origins of this gateway's streams, and looks up those of others.

    A record is sent when a stream's first event is relayed, and nothing waits for it. A
    stream whose record is lost is refused when a caller resumes it, unless the leader
    confirms that only one version can have begun it; so a lost record costs a retry,
    and never joins versions. That holds because gateways begin streams at versions
    which the leaders' history lacks only as :func:`list_beginnable` allows.

    Parameters
    ----------
    name : ProcessName
        Name of this gateway, by which it chooses the holders of its records.
    state : GatewayState
        Source of the listed endpoints and of the number of gateways.
    list_peers : callable
        Returns the addresses of the coordinators that are connected.
    send : callable
        Sends a message to a coordinator; returns False if it is not connected.
    send_to_leader : callable
        Sends a message to the leader; returns False if none is known or connected.
    counters : Counters
        Receives ``origins.*`` counters.
    """

    def __init__(
        self,
        name: ProcessName,
        state: GatewayState,
        list_peers: Callable[[], list[str]],
        send: Callable[[str, StreamsBegan | OriginRequest], bool],
        send_to_leader: Callable[[VersionsRequest], bool],
        counters: Counters,
    ) -> None:
        self._name = name
        self._state = state
        self._list_peers = list_peers
        self._send = send
        self._confirmer = VersionConfirmer(send_to_leader, counters)
        self._counters = counters
        self._records = OriginRecords(MAX_OWN_RECORDS)
        self._unsent: list[tuple[StreamKey, StreamOrigin, float]] = []
        self._sequence = itertools.count(1)
        self._lookups: dict[int, _Lookup] = {}
        self._revision = 0
        self._history: ServiceVersions | None = None

    @property
    def history(self) -> ServiceVersions | None:
        """Versions whose streams can still be resumed, None if not known."""
        return self._history

    def list_beginnable(
        self, rows: list[ListedEndpoint], account: AccountId, attempt: AttemptId
    ) -> list[ListedEndpoint]:
        """Return those of a service's endpoints at which a resumable stream may begin.

        Parameters
        ----------
        rows : list of ListedEndpoint
            Endpoints that may be sent the request, at least one.
        account, attempt : AccountId, AttemptId
            Client account and attempt, by which its caller can take the stream up.
        """
        listed = self._state.endpoints.rows.values()
        same_service = [row for row in listed if row.service == rows[0].service]
        key = compute_stream_key(account, attempt) if attempt else None
        return list_beginnable(rows, same_service, self._history or {}, key)

    def handle(
        self, peer: str, message: OriginReply | VersionsInService | VersionsReply
    ) -> None:
        """Handle a coordinator's message."""
        match message:
            case OriginReply():
                self._handle_reply(peer, message)
            case VersionsReply():
                self._confirmer.handle_reply(message)
            case VersionsInService():
                self._set_history(message)

    def _set_history(self, message: VersionsInService) -> None:
        if message.revision <= self._revision:
            return
        self._revision, self._history = message.revision, message.versions
        _log.info(
            "software versions in service changed",
            versions=message.versions,
            revision=message.revision,
        )

    # Records

    def record_began(
        self,
        account: AccountId,
        attempt: AttemptId,
        origin: StreamOrigin,
        lifetime_s: float,
    ) -> None:
        """Record what began the stream of an attempt, before its first event leaves.

        A stream of an attempt without an id cannot be named, so it is not recorded.
        """
        if not attempt:
            return
        loop = asyncio.get_running_loop()
        key = compute_stream_key(account, attempt)
        lifetime_s = min(max(0.0, lifetime_s), MAX_LIFETIME_S)
        if not self._records.add(key, origin, lifetime_s, loop.time()):
            self._counters.increment("origins.dropped")
            return
        if not self._unsent:
            loop.call_later(self.flush_interval_s, self.flush)
        self._unsent.append((key, origin, lifetime_s))

    @property
    def flush_interval_s(self) -> float:
        """Time between two messages with new records, in seconds."""
        return max(MIN_FLUSH_INTERVAL_S, self._state.gateways / FLUSHES_PER_S)

    def flush(self) -> None:
        """Send the new records to the coordinators that hold them."""
        unsent, self._unsent = self._unsent, []
        for peer in self._choose_holders():
            self._send_records(peer, unsent)

    def send_all(self, peer: str) -> None:
        """Send all records to a coordinator that may have lost them."""
        now = asyncio.get_running_loop().time()
        if peer in self._choose_holders():
            self._send_records(peer, list(self._records.list_live(now)))

    def _choose_holders(self) -> list[str]:
        return rank_by_hash(self._name, self._list_peers())[:RECORD_HOLDERS]

    def _send_records(
        self, peer: str, records: list[tuple[StreamKey, StreamOrigin, float]]
    ) -> None:
        by_origin: dict[StreamOrigin, list[tuple[StreamKey, int]]] = {}
        for key, origin, lifetime_s in records:
            row = (key, math.ceil(lifetime_s))
            by_origin.setdefault(origin, []).append(row)
        for origin, rows in by_origin.items():
            for start in range(0, len(rows), MAX_KEYS):
                keys, lifetimes_s = zip(*rows[start : start + MAX_KEYS], strict=True)
                self._send(peer, StreamsBegan(origin, keys, lifetimes_s))

    # Look-ups

    async def find(
        self, account: AccountId, attempt: AttemptId | None, route: Route
    ) -> StreamOrigin | OriginNotFound:
        """Return what began the stream that a caller resumes.

        Parameters
        ----------
        account : AccountId
            Client account of the caller; streams of other accounts are not found.
        attempt : AttemptId or None
            The attempt that brought the stream's first event, if the caller names it.
        route : Route
            Route of the caller's request.
        """
        records: Collection[StreamOrigin] = ()
        unanswered: Collection[str] = ()
        is_recorded_only = False
        if attempt is not None:
            now = asyncio.get_running_loop().time()
            key = compute_stream_key(account, attempt)
            is_recorded_only = needs_record(key)
            records = self._records.find(key, now)
            if not records:
                records, unanswered = await self._ask_coordinators(key)
        services = {share.service for share in route.shares if share.weight > 0}
        rows = self._state.endpoints.rows.values()
        listed = {row.version for row in rows if row.service in services}
        decide = functools.partial(
            decide_origin,
            records,
            services,
            listed=listed,
            is_recorded_only=is_recorded_only,
        )
        decision = decide(self._history)
        is_confirmed = None
        if not records and _needs_confirmation(decision):
            history = await self._confirmer.confirm()
            is_confirmed = history is not None
            decision = decide(history)
        is_known = isinstance(decision, StreamOrigin)
        self._counters.increment("origins.known" if is_known else "origins.unknown")
        _log.info(
            "origin of a resumed stream looked up",
            resumed_attempt=attempt,
            decision=repr(decision),
            records=len(records),
            unanswered=sorted(unanswered),
            history={name: (self._history or {}).get(name) for name in services},
            history_revision=self._revision,
            is_confirmed=is_confirmed,
            listed=sorted(listed),
        )
        if isinstance(decision, StreamOrigin):
            return decision
        return OriginNotFound(
            decision.reason,
            self._estimate_return(
                decision.reason, bool(unanswered) or is_confirmed is False
            ),
        )

    def _handle_reply(self, peer: str, reply: OriginReply) -> None:
        lookup = self._lookups.get(reply.sequence)
        if lookup is None:
            return
        lookup.origins.update(reply.origins)
        lookup.waits_for.discard(peer)
        if lookup.origins or not lookup.waits_for:
            lookup.done.set()

    async def _ask_coordinators(
        self, key: StreamKey
    ) -> tuple[set[StreamOrigin], set[str]]:
        """Return the recorded origins, and the coordinators that did not answer."""
        sequence = next(self._sequence)
        peers = self._list_peers()
        request = OriginRequest(sequence, key)
        asked = {peer for peer in peers if self._send(peer, request)}
        lookup = _Lookup(asked, set(), asyncio.Event())
        if not asked:
            return set(), set(peers)
        self._lookups[sequence] = lookup
        try:
            async with asyncio.timeout(LOOKUP_TIMEOUT_S):
                await lookup.done.wait()
        except TimeoutError:
            self._counters.increment("origins.unanswered")
        finally:
            del self._lookups[sequence]
        return lookup.origins, lookup.waits_for

    def _estimate_return(
        self, reason: UnknownOriginReason, is_unanswered: bool
    ) -> float | None:
        if reason in FINAL_REASONS:
            return None
        if is_unanswered:
            return UNANSWERED_RETURN_S
        return max(MIN_RETURN_S, 2 * self.flush_interval_s)


def _needs_confirmation(decision: StreamOrigin | UnknownOrigin) -> bool:
    """Return whether a decision without a record depends on the history's age.

    Other gateways may have begun streams at versions that were added since this gateway
    heard of the history. Several versions stay several.
    """
    match decision:
        case UnknownOrigin(reason):
            return reason is UnknownOriginReason.HISTORY_UNKNOWN
        case _:
            return True
