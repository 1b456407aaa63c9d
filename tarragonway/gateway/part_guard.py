"""Held prompt parts at a gateway, and the probes that it requests from the leader."""

import asyncio
from collections.abc import Callable, Collection, Sequence

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.ids import PartId
from tarragonway.gateway.leader_calls import LeaderCalls
from tarragonway.links.messages import (
    HeldParts,
    PartsContinued,
    PartsEnded,
    ProbeEnded,
    ProbeReply,
    ProbeRequest,
)
from tarragonway.quarantine import PartTimes

# Delay until a caller may return while no leader can grant a probe.
LEADERLESS_WAIT_S = 1.0
# A denial is repeated to later requests for at most this time.
MAX_DENIAL_S = 5.0
MAX_DENIALS = 1024

PartMessage = ProbeRequest | ProbeEnded | PartsContinued | PartsEnded

_log = structlog.get_logger()


class Probe(msgspec.Struct, frozen=True):
    """Right to send one request with held parts."""

    sequence: int


class ProbeDenied(msgspec.Struct, frozen=True):
    """No request with these parts may be sent now.

    A retry may succeed after ``wait_s`` seconds; None if it will not while requests
    with these parts keep coming.
    """

    wait_s: float | None


class PartGuard:
    """Keeps requests with held parts from endpoints, except for granted probes.

    Parameters
    ----------
    send : callable
        Sends a message to the leader; returns False if there is none.
    counters : Counters
        Receives ``quarantine.*`` counters.
    """

    def __init__(
        self,
        send: Callable[[PartMessage], bool],
        counters: Counters,
    ) -> None:
        self._send = send
        self._counters = counters
        self._revision = -1
        self._held: frozenset[PartId] = frozenset()
        self._calls: LeaderCalls[ProbeReply] = LeaderCalls()
        self._denied_until: dict[frozenset[PartId], float] = {}
        self.continued = PartTimes()
        self.ended = PartTimes()

    @property
    def is_informed(self) -> bool:
        """Whether a coordinator has sent the held parts."""
        return self._revision >= 0

    @property
    def held(self) -> frozenset[PartId]:
        """Parts that may only be sent by a probe."""
        return self._held

    def set_held(self, message: HeldParts) -> bool:
        """Replace the held parts; return False if this or a newer revision is known."""
        if message.revision <= self._revision:
            return False
        held = frozenset(message.parts)
        if held != self._held:
            _log.info(
                "held prompt parts changed",
                added=sorted(held - self._held),
                released=sorted(self._held - held),
                revision=message.revision,
            )
        self._revision, self._held = message.revision, held
        self._denied_until.clear()
        return True

    def has_held(self, parts: Sequence[PartId]) -> bool:
        """Return whether one of the parts is held."""
        return bool(self._held) and not self._held.isdisjoint(parts)

    async def request_probe(self, parts: Sequence[PartId]) -> Probe | ProbeDenied:
        """Ask the leader to send one request with held parts."""
        held = self._held.intersection(parts)
        now = asyncio.get_running_loop().time()
        denied_until = self._denied_until.get(held, 0.0)
        if now < denied_until:
            return ProbeDenied(denied_until - now)
        sequence, reply = await self._calls.call(
            lambda sequence: self._send(ProbeRequest(sequence, tuple(sorted(held))))
        )
        if reply is None:
            # The leader may have granted the probe too late.
            self._send(ProbeEnded(sequence))
            return ProbeDenied(LEADERLESS_WAIT_S)
        if reply.wait_s == 0:
            self._counters.increment("quarantine.probes")
            return Probe(reply.sequence)
        if len(self._denied_until) >= MAX_DENIALS:
            self._denied_until.clear()
        wait_s = MAX_DENIAL_S if reply.wait_s is None else reply.wait_s
        self._denied_until[held] = now + min(wait_s, MAX_DENIAL_S)
        return ProbeDenied(reply.wait_s)

    def record_continued(
        self, parts: Sequence[PartId], now: float, lasted_s: float
    ) -> None:
        """Record that an answer goes on, and report it at once for held parts."""
        self.continued.record(parts, now, lasted_s)
        if self.has_held(parts):
            ages_s = dict.fromkeys(self._held.intersection(parts), 0.0)
            self._send(PartsContinued(ages_s))

    def record_ended(self, parts: Sequence[PartId], now: float) -> None:
        """Record that an answer has ended, and report it at once for held parts."""
        self.ended.record(parts, now, 0.0)
        if self.has_held(parts):
            ages_s = dict.fromkeys(self._held.intersection(parts), 0.0)
            self._send(PartsEnded(ages_s))

    def watch(self, parts: Collection[PartId]) -> None:
        """Replace the parts whose answers are reported to the leader."""
        self.continued.watch(parts)
        self.ended.watch(parts)

    def report_again(self) -> None:
        """Report what answers have shown once more, to a new leader."""
        self.continued.report_again()
        self.ended.report_again()

    def end_probe(self, probe: Probe) -> None:
        """Report that a probe ended without a whole answer and without a crash."""
        self._send(ProbeEnded(probe.sequence))

    def handle_reply(self, reply: ProbeReply) -> None:
        """Pass the leader's reply to the request that waits for it."""
        self._calls.handle_reply(reply)
