"""Request limits of endpoints at a gateway, and the permits that it takes."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.gateway.leader_calls import LeaderCalls
from tarragonway.gateway.state import GatewayState
from tarragonway.limits.request_limits import (
    LeaderlessPermits,
    Permit,
    PermitDenied,
    UnreadableLimit,
    parse_limit,
)
from tarragonway.links.messages import LimitStated, PermitReply, PermitRequest

# Wait of a caller if the leader gives none.
DEFAULT_RETURN_S = 1.0
MAX_CANDIDATES = 32

_log = structlog.get_logger()


class _Statement(msgspec.Struct):
    per_s: float
    stated_at: float


class LimitGuard:
    """Keeps this gateway's sends to limited endpoints within the leader's permits.

    Parameters
    ----------
    state : GatewayState
        Source of the number of gateways.
    send : callable
        Sends a message to the leader; returns False if there is none.
    counters : Counters
        Receives ``limits.*`` counters.
    """

    def __init__(
        self,
        state: GatewayState,
        send: Callable[[PermitRequest | LimitStated], bool],
        counters: Counters,
    ) -> None:
        self._state = state
        self._send = send
        self._counters = counters
        self._own: dict[str, _Statement] = {}
        self._published: dict[str, float] = {}
        self._blocked_until: dict[str, float] = {}
        self._leaderless = LeaderlessPermits(random.Random())
        self._calls: LeaderCalls[PermitReply] = LeaderCalls()
        self.version = -1

    @property
    def limits(self) -> dict[str, float]:
        """Requests per second that limited endpoints take from all gateways."""
        own = {key: statement.per_s for key, statement in self._own.items()}
        return {**self._published, **own}

    @property
    def has_limits(self) -> bool:
        """Whether any endpoint is limited."""
        return bool(self._own or self._published)

    def find_limit(self, key: str) -> float | None:
        """Return the limit of an endpoint, or None."""
        own = self._own.get(key)
        return own.per_s if own is not None else self._published.get(key)

    def record_answer(
        self,
        endpoint: ListedEndpoint,
        texts: tuple[str, ...],
        sent_at: float,
        now: float,
    ) -> None:
        """Record what an answer states, and report changes to the leader.

        An unreadable statement changes nothing. An answer without one ends a limit that
        was stated before its request was sent, at ``sent_at``.
        """
        key = endpoint.key
        stated = parse_limit(texts)
        own, known = self._own.get(key), self.find_limit(key)
        if isinstance(stated, UnreadableLimit):
            self._counters.increment("limits.unreadable")
            _log.warning(
                "unreadable request limit of an endpoint; the known limit stays",
                endpoint=endpoint.platform_id,
                texts=[text[:40] for text in texts[:4]],
                known=known,
            )
            return
        if stated is not None:
            self._counters.increment("limits.stated")
        if stated == known:
            return
        if stated is None and own is None:
            # The leader decides whether the limit that it has published has ended.
            self._send(LimitStated(key, None, now - sent_at))
            return
        if stated is None and own is not None and own.stated_at >= sent_at:
            return
        _log.info(
            "request limit of an endpoint changed",
            endpoint=endpoint.platform_id,
            per_s=stated,
            before=known,
        )
        if stated is None:
            del self._own[key]
            self._send(LimitStated(key, None, now - sent_at))
        else:
            self._own[key] = _Statement(stated, now)
            self._send(LimitStated(key, stated))

    def set_published(
        self, version: int, limits: dict[str, float], asked_at: float
    ) -> None:
        """Replace the leader's limits.

        Own statements from before the leader was asked, at ``asked_at``, are included
        in them or have ended.
        """
        self.version = version
        self._published = limits
        self._own = {
            key: row for key, row in self._own.items() if row.stated_at >= asked_at
        }

    def list_statements(self, now: float) -> tuple[LimitStated, ...]:
        """Return all known limits, for a new leader."""
        own = {
            key: LimitStated(key, row.per_s, now - row.stated_at)
            for key, row in self._own.items()
        }
        published = {
            key: LimitStated(key, per_s) for key, per_s in self._published.items()
        }
        return tuple({**published, **own}.values())

    def retain(self, keys: Iterable[str]) -> None:
        """Remove the limits of endpoints that are not listed any more."""
        gone = {*self._own, *self._published, *self._blocked_until}.difference(keys)
        for key in gone:
            self._own.pop(key, None)
            self._published.pop(key, None)
            self._blocked_until.pop(key, None)

    def get_wait(self, key: str, now: float) -> float:
        """Return the seconds until the leader may grant a permit for the endpoint."""
        return max(0.0, self._blocked_until.get(key, now) - now)

    async def request_permit(self, keys: Sequence[str]) -> Permit | PermitDenied:
        """Take the permit to send one request to one of these endpoints.

        Endpoints without a limit need none. The first endpoints are preferred.
        """
        limits = {}
        for key in keys[:MAX_CANDIDATES]:
            per_s = self.find_limit(key)
            if per_s is None:
                return Permit(key)
            limits[key] = per_s
        _, reply = await self._calls.call(
            lambda sequence: self._send(PermitRequest(sequence, limits))
        )
        if reply is None:
            return self._take_leaderless(limits)
        if reply.endpoint:
            self._counters.increment("limits.permits")
            return Permit(reply.endpoint)
        self._counters.increment("limits.permits_denied")
        now = asyncio.get_running_loop().time()
        for key, wait_s in reply.waits_s.items():
            self._blocked_until[key] = now + wait_s
        return PermitDenied(reply.waits_s, reply.return_s)

    def handle_reply(self, reply: PermitReply) -> None:
        """Pass the leader's reply to the request that waits for it."""
        self._calls.handle_reply(reply)

    def _take_leaderless(self, limits: dict[str, float]) -> Permit | PermitDenied:
        self._counters.increment("limits.without_leader")
        now = asyncio.get_running_loop().time()
        for key, per_s in limits.items():
            if self._leaderless.take(key, per_s, self._state.gateways, now):
                return Permit(key)
        return PermitDenied({}, DEFAULT_RETURN_S)
