"""Replication of accepted requests between entry processes."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.ids import Incarnation, OwnerEpoch, ProcessName, RequestId
from tarragonway.requests.live import LiveRequest
from tarragonway.requests.messages import (
    AckPart,
    CopyAck,
    CopyProgress,
    CopyRecord,
    CopyStale,
    Heartbeat,
    ProgressPart,
)
from tarragonway.requests.model import RequestRecord, RequestState
from tarragonway.requests.partners import Partners
from tarragonway.requests.request_ids import list_holders

FLUSH_INTERVAL_S = 0.004
RESEND_INTERVAL_S = 0.25
HEARTBEAT_INTERVAL_S = 0.5
COPY_TIMEOUT_S = 1.0
RESULT_RETENTION_S = 900.0

_log = structlog.get_logger()


class _Copy(msgspec.Struct):
    record: RequestRecord
    tokens: list[str]
    heard_at: float
    state: RequestState = RequestState.RUNNING
    error: str = ""

    def make_record(self) -> RequestRecord:
        return msgspec.structs.replace(
            self.record, tokens=tuple(self.tokens), state=self.state, error=self.error
        )


class CopyManager:
    """Sends copies of owned requests to peers, and holds copies for other owners.

    An owner sends each request to two peers, and its tokens as they are generated. A
    holder adopts the request if its owner sends nothing for too long.

    Parameters
    ----------
    own : ProcessName
        This process.
    incarnation : Incarnation
        Identifier of this start of the process.
    partners : Partners
        Selects the peers for new copies.
    silence_s : float
        Time in seconds without a heartbeat or progress after which an owner counts as
        lost.
    send : callable
        Sends a message to an entry process.
    adopt : callable
        Called with the record of a request whose owner is lost.
    is_fresh : callable
        Returns whether control has confirmed this process's view recently. Only then
        may tokens be released without a copy if there is no live peer.
    counters : Counters
        Receives ``copies.*`` counters.
    """

    def __init__(
        self,
        own: ProcessName,
        incarnation: Incarnation,
        partners: Partners,
        silence_s: float,
        send: Callable[[ProcessName, object], object],
        adopt: Callable[[RequestRecord], Awaitable[None]],
        is_fresh: Callable[[], bool],
        counters: Counters,
    ) -> None:
        self.stopping = False
        self._handed_over = False
        self._own = own
        self._incarnation = incarnation
        self._partners = partners
        self._silence_s = silence_s
        self._send = send
        self._adopt = adopt
        self._is_fresh = is_fresh
        self._counters = counters
        self._owned: dict[RequestId, LiveRequest] = {}
        self._sent_counts: dict[RequestId, dict[ProcessName, int]] = {}
        self._unflushed: set[RequestId] = set()
        self._copies: dict[RequestId, _Copy] = {}
        self._owner_contacts: dict[ProcessName, tuple[Incarnation, float]] = {}
        self._adopting: set[RequestId] = set()
        self._flush_requested = asyncio.Event()

    # Owned requests

    async def replicate(self, live: LiveRequest) -> bool:
        """Send a request to up to two peers, and wait until all have acknowledged it.

        Returns
        -------
        bool
            Whether at least one peer has acknowledged it within
            :data:`COPY_TIMEOUT_S`.
        """
        self._owned[live.record.id] = live
        self._sent_counts[live.record.id] = {}
        loop = asyncio.get_running_loop()
        deadline = loop.time() + COPY_TIMEOUT_S
        while loop.time() < deadline:
            wanted = self._assign_peers(live)
            if wanted and all(name in live.acknowledged for name in wanted):
                return True
            changed = asyncio.ensure_future(live.wait_change())
            await asyncio.wait([changed], timeout=COPY_TIMEOUT_S / 4)
            changed.cancel()
        self._counters.increment("copies.incomplete")
        return bool(live.acknowledged)

    def schedule_progress(self, live: LiveRequest) -> None:
        """Schedule the sending of a request's new tokens or end to its peers."""
        if live.record.id in self._owned:
            self._unflushed.add(live.record.id)
            self._flush_requested.set()

    def handle_ack(self, sender: ProcessName, ack: CopyAck) -> None:
        """Record what a peer holds, and release it to callers."""
        for part in ack.parts:
            live = self._owned.get(part.request)
            if live is None or part.epoch != live.record.epoch:
                continue
            if part.position < 0:
                self._send_record(live, sender)
                continue
            live.acknowledged[sender] = part.position
            self._sent_counts[part.request][sender] = max(
                part.position, self._sent_counts[part.request].get(sender, 0)
            )
            live.release(part.position, part.finished)

    def handle_stale(self, stale: CopyStale) -> None:
        """Stop a request that a later owner has taken over."""
        live = self._owned.get(stale.request)
        if live is not None and stale.epoch > live.record.epoch:
            self.give_up(stale.request)
            self._counters.increment("copies.superseded")

    def give_up(self, request: RequestId) -> None:
        """Abandon a request that another process owns now."""
        live = self._owned.pop(request, None)
        self._sent_counts.pop(request, None)
        if live is not None:
            live.abandon()

    def find_live(self, request: RequestId) -> LiveRequest | None:
        """Return a request that this process owns."""
        return self._owned.get(request)

    def find_finished(self, request: RequestId) -> RequestRecord | None:
        """Return the record of a finished request that this process holds a copy of."""
        copy = self._copies.get(request)
        if copy is None or copy.state is RequestState.RUNNING:
            return None
        return copy.make_record()

    def count_running(self) -> int:
        """Return how many owned requests still run."""
        return len(self.list_running())

    def list_running(self) -> list[LiveRequest]:
        """Return the owned requests that still run."""
        running = RequestState.RUNNING
        return [live for live in self._owned.values() if live.state is running]

    def send_final(self, live: LiveRequest, kv: str) -> None:
        """Send the final record of a request that this process will not finish.

        Parameters
        ----------
        live : LiveRequest
            The request.
        kv : str
            Reference to its exported KV cache, or empty.
        """
        record = msgspec.structs.replace(live.make_record(), kv=kv)
        for name in self._sent_counts.get(live.record.id, {}):
            self._send(name, CopyRecord(record))

    def announce_stop(self) -> None:
        """Ask all holders to adopt this process's requests immediately."""
        self._handed_over = True
        for name in self._list_heartbeat_targets():
            self._send(name, Heartbeat(Incarnation(""), True))

    # Copies held for other owners

    def handle_record(self, sender: ProcessName, message: CopyRecord) -> None:
        """Store a copy of a request and acknowledge it."""
        record = message.record
        known = self._copies.get(record.id)
        if self._refuse_stale(sender, record.id, record.epoch):
            return
        now = asyncio.get_running_loop().time()
        tokens = list(record.tokens)
        if known is not None and known.record.epoch == record.epoch:
            tokens = max(known.tokens, tokens, key=len)
        copy = _Copy(record, tokens, now, record.state, record.error)
        self._copies[record.id] = copy
        self._counters.increment("copies.held")
        self._acknowledge(sender, [record.id])

    def handle_progress(self, sender: ProcessName, message: CopyProgress) -> None:
        """Extend copies by new tokens and acknowledge them."""
        to_acknowledge = []
        for part in message.parts:
            if self._refuse_stale(sender, part.request, part.epoch):
                continue
            copy = self._copies.get(part.request)
            if copy is not None and copy.record.epoch == part.epoch:
                self._extend(copy, part)
            to_acknowledge.append(part.request)
        self._acknowledge(sender, to_acknowledge, [p.epoch for p in message.parts])

    def handle_heartbeat(
        self, sender: ProcessName, heartbeat_message: Heartbeat
    ) -> None:
        """Record an owner's heartbeat and echo it, or record a partner's echo."""
        if heartbeat_message.echo:
            self._partners.record_echo(sender, heartbeat_message.stopping)
            return
        now = asyncio.get_running_loop().time()
        if not heartbeat_message.incarnation:
            # The owner stops and hands its requests over. It counts as lost at once,
            # without a timeout.
            self._owner_contacts[sender] = (Incarnation(""), float("-inf"))
            self._flush_requested.set()
            return
        self._owner_contacts[sender] = (heartbeat_message.incarnation, now)
        self._send(sender, Heartbeat(self._incarnation, self.stopping, True))

    # Tasks

    async def run(self) -> None:
        """Send progress and heartbeats, and adopt lost requests, until cancelled."""
        await asyncio.gather(
            self._flush_forever(),
            self._send_heartbeats_forever(),
            self._reconcile_forever(),
        )

    async def _flush_forever(self) -> None:
        while True:
            await self._flush_requested.wait()
            self._flush_requested.clear()
            self.flush()
            await asyncio.sleep(FLUSH_INTERVAL_S)

    def flush(self) -> None:
        """Send each peer the tokens that have not been sent to it yet."""
        requests, self._unflushed = self._unflushed, set()
        batches: dict[ProcessName, list[ProgressPart]] = {}
        for request in requests:
            live = self._owned.get(request)
            if live is None:
                continue
            for name, position in self._sent_counts[request].items():
                batches.setdefault(name, []).append(_make_part(live, position))
                self._sent_counts[request][name] = len(live.tokens)
        for name, parts in batches.items():
            self._send(name, CopyProgress(tuple(parts)))
            self._counters.increment("copies.progress_messages")

    async def _send_heartbeats_forever(self) -> None:
        while True:
            self.send_heartbeats()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self._partners.replace_lost()

    async def _reconcile_forever(self) -> None:
        while True:
            await asyncio.sleep(RESEND_INTERVAL_S)
            self.reconcile_owned()
            self.adopt_lost()
            self._prune()

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all partners and holders."""
        if self._handed_over:
            return
        for name in self._list_heartbeat_targets():
            self._send(name, Heartbeat(self._incarnation, self.stopping))

    def _list_heartbeat_targets(self) -> list[ProcessName]:
        """Return the partners and all other holders of running requests."""
        holders = {
            name
            for live in self.list_running()
            for name in self._sent_counts.get(live.record.id, {})
        }
        return [*self._partners.chosen, *sorted(holders - {*self._partners.chosen})]

    def reconcile_owned(self) -> None:
        """Resend lost messages of all owned requests, and replace lost peers."""
        for live in list(self._owned.values()):
            self._reconcile_live(live)

    def _reconcile_live(self, live: LiveRequest) -> None:
        """Resend a request's lost messages, and replace its lost peers."""
        if live.is_over:
            return
        sent = self._sent_counts[live.record.id]
        lost = [name for name in sent if not self._partners.is_live(name)]
        for name in lost:
            del sent[name]
            live.acknowledged.pop(name, None)
        wanted = self._assign_peers(live)
        if not wanted and self._is_fresh():
            # No live peer is left to hold a copy, and control has recorded no other
            # owner.
            over = live.state is not RequestState.RUNNING
            live.release(len(live.tokens), over)
            self._counters.increment("copies.uncopied")
            return
        behind = [n for n in sent if live.acknowledged.get(n, 0) < len(live.tokens)]
        for name in behind:
            sent[name] = live.acknowledged.get(name, 0)
        over = live.state is not RequestState.RUNNING
        if behind or (over and not live.finish_acknowledged):
            self._unflushed.add(live.record.id)
            self._flush_requested.set()

    def adopt_lost(self) -> None:
        """Adopt the requests of lost owners.

        The holders wait for different times, in the order of the request's id, so that
        usually only the first one adopts. They do not wait for an owner that has handed
        its requests over.
        """
        now = asyncio.get_running_loop().time()
        for request, copy in list(self._copies.items()):
            if copy.state is not RequestState.RUNNING or request in self._adopting:
                continue
            silence = now - self._find_last_contact(copy)
            if silence > self._silence_s * (1 + self._rank_as_successor(copy.record)):
                self._adopting.add(request)
                task = asyncio.create_task(self._adopt_copy(request, copy))
                task.add_done_callback(_log_failure)

    def _find_last_contact(self, copy: _Copy) -> float:
        """Return the time of the owner's last heartbeat or progress."""
        _, heartbeat_at = self._owner_contacts.get(
            copy.record.owner, (None, copy.heard_at)
        )
        if heartbeat_at == float("-inf"):
            return heartbeat_at
        return max(heartbeat_at, copy.heard_at)

    async def _adopt_copy(self, request: RequestId, copy: _Copy) -> None:
        try:
            await self._adopt(copy.make_record())
        finally:
            self._adopting.discard(request)

    def _rank_as_successor(self, record: RequestRecord) -> int:
        """Return this process's position among the holders that may adopt."""
        successors = [n for n in list_holders(record.id) if n != record.owner]
        return (
            successors.index(self._own) if self._own in successors else len(successors)
        )

    def _prune(self) -> None:
        now = asyncio.get_running_loop().time()
        for request, live in list(self._owned.items()):
            if live.is_over and now - live.finished_at > RESULT_RETENTION_S:
                del self._owned[request]
                self._sent_counts.pop(request, None)
        for request, copy in list(self._copies.items()):
            over = copy.state is not RequestState.RUNNING
            if over and now - copy.heard_at > RESULT_RETENTION_S:
                del self._copies[request]

    # Helpers

    def discard_copy(self, request: RequestId) -> None:
        """Discard a copy of a request that this process owns now."""
        self._copies.pop(request, None)

    def update_owner(
        self, request: RequestId, epoch: OwnerEpoch, owner: ProcessName
    ) -> None:
        """Apply a request's owner and owner epoch, as recorded by control."""
        live = self._owned.get(request)
        if live is not None and owner != self._own and epoch > live.record.epoch:
            self.give_up(request)
            self._counters.increment("copies.superseded")
        copy = self._copies.get(request)
        if copy is not None and epoch > copy.record.epoch:
            copy.record = msgspec.structs.replace(copy.record, owner=owner, epoch=epoch)
            copy.heard_at = asyncio.get_running_loop().time()

    def _assign_peers(self, live: LiveRequest) -> list[ProcessName]:
        """Send the record to more peers until it has two; return all its peers."""
        sent = self._sent_counts.get(live.record.id)
        if sent is None:
            return []
        for name in self._partners.select():
            if len(sent) < 2 and name not in sent:
                self._send_record(live, name)
        return list(sent)

    def _send_record(self, live: LiveRequest, name: ProcessName) -> None:
        self._sent_counts[live.record.id][name] = len(live.tokens)
        self._send(name, CopyRecord(live.make_record()))

    def _refuse_stale(
        self, sender: ProcessName, request: RequestId, epoch: OwnerEpoch
    ) -> bool:
        """Return whether an owner epoch is outdated; if so, notify the sender."""
        copy = self._copies.get(request)
        live = self._owned.get(request)
        if live is not None and live.record.epoch > epoch:
            self._send(sender, CopyStale(request, live.record.epoch, self._own))
            return True
        if copy is not None and copy.record.epoch > epoch:
            owner = copy.record.owner
            self._send(sender, CopyStale(request, copy.record.epoch, owner))
            return True
        return False

    def _extend(self, copy: _Copy, part: ProgressPart) -> None:
        copy.heard_at = asyncio.get_running_loop().time()
        held_count = len(copy.tokens)
        if part.start <= held_count:
            copy.tokens += part.tokens[held_count - part.start :]
        complete = part.start + len(part.tokens) <= len(copy.tokens)
        if part.finished and complete:
            failed = bool(part.error)
            copy.state = RequestState.FAILED if failed else RequestState.DONE
            copy.error = part.error

    def _acknowledge(
        self,
        sender: ProcessName,
        requests: list[RequestId],
        epochs: list[OwnerEpoch] | None = None,
    ) -> None:
        parts = []
        for position, request in enumerate(requests):
            copy = self._copies.get(request)
            if copy is None:
                epoch = epochs[position] if epochs else OwnerEpoch(0)
                parts.append(AckPart(request, epoch, -1))
                continue
            over = copy.state is not RequestState.RUNNING
            parts.append(AckPart(request, copy.record.epoch, len(copy.tokens), over))
        if parts:
            self._send(sender, CopyAck(tuple(parts)))


def _make_part(live: LiveRequest, position: int) -> ProgressPart:
    return ProgressPart(
        live.record.id,
        live.record.epoch,
        position,
        tuple(live.tokens[position:]),
        live.state is not RequestState.RUNNING,
        live.error,
    )


def _log_failure(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.error("adoption failed", error=repr(task.exception()))
