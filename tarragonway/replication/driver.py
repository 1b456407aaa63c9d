"""Task that runs a replica: passes it inputs, syncs its writes, applies its entries."""

import asyncio
import concurrent.futures
import itertools
import time
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
import structlog

from tarragonway.consensus import (
    DataFolder,
    Entry,
    EntryKind,
    Member,
    Message,
    Output,
    Packet,
    ReadReady,
    Replica,
    Role,
)
from tarragonway.core.counters import Counters
from tarragonway.core.ids import ClusterId, MemberId
from tarragonway.replication.join_requests import JoinRequests
from tarragonway.replication.membership_changes import (
    MIN_VOTERS,
    plan_membership_change,
)
from tarragonway.replication.membership_reports import MembershipLogger, list_ids
from tarragonway.replication.planned_stop import PlannedStop

KEPT_LOG_ENTRIES = 500
JOIN_REQUEST_RETENTION_S = 5.0
DISK_RETRY_DELAY_S = 0.2

_log = structlog.get_logger()


class NotLeader(msgspec.Struct, frozen=True):
    """Sentinel: the command may or may not be committed; retry it at the leader."""

    reason: str


class Machine(Protocol):
    """State machine to which the committed entries of the log are applied."""

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded one; empty bytes are the initial state."""
        ...

    def encode(self) -> bytes:
        """Return the whole state in encoded form."""
        ...

    def encode_command(self, command: Any, now_ms: int) -> bytes:
        """Return a command as the payload of an entry."""
        ...

    def apply_payload(self, payload: bytes) -> Any:
        """Apply a committed command and return its result."""
        ...


class DriverConfig(msgspec.Struct, frozen=True):
    """Identity, timing and limits of a log driver.

    ``tick_s`` is the duration of one tick in seconds, and ``declared`` the number of
    voters that the settings declare. A snapshot is written after ``snapshot_entries``
    applied entries; the log then keeps the last ``keep_entries`` entries for followers
    that lag slightly.
    """

    own: Member
    tick_s: float
    declared: int
    snapshot_entries: int
    keep_entries: int = KEPT_LOG_ENTRIES


class _PendingProposal(msgspec.Struct):
    term: int
    future: asyncio.Future


class LogDriver:
    """Runs one replica of the log and its state machine.

    Parameters
    ----------
    config : DriverConfig
        Identity and timing.
    cluster : ClusterId
        Id of the group; empty until the group has admitted this member.
    replica : Replica
        Recovered replica.
    folder : DataFolder
        Durable storage; written from one worker thread.
    machine : Machine
        State machine in its initial state.
    send : callable
        Sends a packet to the process of a member.
    counters : Counters
        Receives ``log.*`` counters.
    """

    def __init__(
        self,
        config: DriverConfig,
        cluster: ClusterId,
        replica: Replica,
        folder: DataFolder,
        machine: Any,
        send: Callable[[Packet], None],
        counters: Counters,
    ) -> None:
        self.machine = machine
        self.machine.restore(replica.snapshot.state)
        self.replica = replica
        self.applied = replica.snapshot.index
        self._restored_index = replica.last_index
        self._config = config
        self._cluster = cluster
        self._folder = folder
        self._send = send
        self._counters = counters
        self._disk_executor = concurrent.futures.ThreadPoolExecutor(1, "disk")
        self._inputs: list[Callable[[], None]] = []
        self._wake = asyncio.Event()
        self._proposals: dict[int, _PendingProposal] = {}
        self._reads: dict[int, asyncio.Future] = {}
        self._read_tokens = itertools.count(1)
        self._applied_waiters: list[tuple[int, asyncio.Future]] = []
        self._join_requests = JoinRequests(JOIN_REQUEST_RETENTION_S)
        self._role = replica.role
        self._membership_logger = MembershipLogger(replica)
        self._disk_refuses_since: float | None = None
        self.on_state_change: Callable[[], None] = lambda: None

    # Requests from other tasks

    @property
    def own_member(self) -> Member:
        """Member of the group that this process is."""
        return self._config.own

    @property
    def has_cluster(self) -> bool:
        """Whether this member has been admitted to a group."""
        return bool(self._cluster)

    def join_cluster(self, cluster: ClusterId) -> None:
        """Set the group that has admitted this member."""
        self._cluster = cluster

    @property
    def leader(self) -> MemberId | None:
        """Current leader as far as this replica has learned; None if unknown."""
        return self.replica.leader

    @property
    def has_applied_restored_log(self) -> bool:
        """Whether the entries that were stored before the start are applied.

        Until then, the state machine may lack changes that this process has
        acknowledged before. Entries that a new leader has removed do not count.
        """
        return self.applied >= min(self._restored_index, self.replica.last_index)

    @property
    def is_leader(self) -> bool:
        """Whether this replica may decide on its state machine's state as the leader.

        It has then applied all entries of former leaders, which may take long after
        their commit if its disk does not accept a write.
        """
        has_applied = self.applied >= self.replica.term_start_index
        return has_applied and self._accepts_commands

    @property
    def _accepts_commands(self) -> bool:
        """Whether this replica is a ready leader with enough voters for commands."""
        size = self.replica.membership.size
        enough = size >= min(MIN_VOTERS, self._config.declared)
        return self.replica.is_ready_leader and enough

    @property
    def disk_refusal_s(self) -> float:
        """Seconds for which the disk has been refusing a write; 0 if it does not."""
        if self._disk_refuses_since is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._disk_refuses_since

    def handle_packet(self, packet: Packet) -> None:
        """Queue a packet from another replica."""
        self._enqueue(lambda: self._handle_packet(packet))

    def record_join_request(self, member: Member) -> None:
        """Record that a declared member has asked to join."""
        self._join_requests.record(member, asyncio.get_running_loop().time())

    async def propose(self, command: Any) -> Any:
        """Append a command to the log; return its result once it is applied.

        Return :class:`NotLeader` if this replica is not, or no longer, the leader.
        Raise the encoder's error if the command has no encoding.
        """
        future = asyncio.get_running_loop().create_future()
        self._enqueue(lambda: self._propose(command, future))
        return await future

    async def confirm_read_index(self) -> int | NotLeader:
        """Return the log index for a linearizable read.

        The state at this index contains every command acknowledged before the call.
        """
        future = asyncio.get_running_loop().create_future()
        self._enqueue(lambda: self._read(future))
        return await future

    async def wait_applied(self, index: int) -> None:
        """Return once this replica has applied the entry at ``index``."""
        if self.applied >= index:
            return
        future = asyncio.get_running_loop().create_future()
        self._applied_waiters.append((index, future))
        await future

    async def step_down(self, limit_s: float) -> bool:
        """Prepare the group for the planned stop of this process.

        Returns
        -------
        bool
            Whether this process is not the leader any more.
        """
        stop = PlannedStop(self.replica, self._enqueue, self._config.tick_s)
        return await stop.run(limit_s)

    # Main loop

    async def run(self) -> None:
        """Run the replica until the task is cancelled."""
        ticker = asyncio.create_task(self._tick_forever())
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                inputs, self._inputs = self._inputs, []
                for action in inputs:
                    action()
                await self._handle_output()
        finally:
            ticker.cancel()
            self._disk_executor.shutdown(wait=True)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(self._config.tick_s)
            self._enqueue(self._tick)

    def _enqueue(self, action: Callable[[], None]) -> None:
        self._inputs.append(action)
        self._wake.set()

    def _tick(self) -> None:
        self.replica.tick()
        if self.replica.is_ready_leader:
            self._propose_membership_change()

    def _propose_membership_change(self) -> None:
        now = asyncio.get_running_loop().time()
        present = self._join_requests.list_present(now)
        change = plan_membership_change(self.replica, present, self._config.declared)
        if change is not None and self.replica.propose_membership(change) is not None:
            _log.info("membership change proposed", voters=list_ids(change.voters))

    def _handle_packet(self, packet: Packet) -> None:
        is_target = packet.target == self._config.own.id
        if is_target and packet.cluster == self._cluster:
            self.replica.handle_message(packet.source, packet.body)
        else:
            self._counters.increment("log.misdirected")

    def _propose(self, command: Any, future: asyncio.Future) -> None:
        if not self._accepts_commands:
            _set_result(future, NotLeader("not the leader, or the group is forming"))
            return
        try:
            payload = self.machine.encode_command(command, read_wall_clock_ms())
        except (OverflowError, TypeError, ValueError) as error:
            # The error concerns the one who proposed, not the task that runs the log.
            if not future.done():
                future.set_exception(error)
            return
        index = self.replica.propose(payload)
        assert index is not None
        self._proposals[index] = _PendingProposal(self.replica.term, future)

    def _read(self, future: asyncio.Future) -> None:
        token = next(self._read_tokens)
        if self._accepts_commands and self.replica.read(token):
            self._reads[token] = future
        else:
            _set_result(future, NotLeader("not the leader"))

    async def _handle_output(self) -> None:
        output = self.replica.take_output()
        if output.has_writes():
            loop = asyncio.get_running_loop()
            started = loop.time()
            await self._make_durable(output)
            self._counters.record_ms("log.sync", (loop.time() - started) * 1000)
            self._counters.increment("log.entries", len(output.entries))
        if output.snapshot is not None:
            self.machine.restore(output.snapshot.state)
            self.applied = output.snapshot.index
        for target, message in output.messages:
            self._send_message(target, message)
        for entry in output.committed:
            self._apply(entry)
        for read in output.reads:
            self._complete_read(read)
        self._record_role()
        self._membership_logger.log_change()
        if output.committed or output.snapshot is not None:
            self._wake_waiters()
            self.on_state_change()
            self._compact()

    async def _make_durable(self, output: Output) -> None:
        """Write and sync an output; retry until the disk accepts it.

        Nothing is sent or applied in the meantime, so that another replica can become
        the leader.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                await loop.run_in_executor(self._disk_executor, self._write, output)
                break
            except OSError as error:
                self._record_disk_refusal(error)
                await asyncio.sleep(DISK_RETRY_DELAY_S)
        if self._disk_refuses_since is not None:
            refused_s = round(self.disk_refusal_s, 2)
            _log.info("disk write succeeded after retries", refused_s=refused_s)
            self._disk_refuses_since = None

    def _record_disk_refusal(self, error: OSError) -> None:
        self._counters.increment("log.disk_refused")
        if self._role is Role.LEADER:
            self._counters.increment("log.disk_refused_leader")
        if self._disk_refuses_since is None:
            self._disk_refuses_since = asyncio.get_running_loop().time()
            _log.error(
                "disk write failed; retrying",
                error=str(error),
                role=self._role.value,
                term=self.replica.term,
            )

    def _write(self, output: Output) -> None:
        if output.snapshot is not None:
            self._folder.write_snapshot(
                output.snapshot, self.replica.hard_state, self.replica.read_tail()
            )
        else:
            self._folder.append(output.hard_state, output.entries)
            self._folder.sync()

    def _send_message(self, target: MemberId, message: Message) -> None:
        packet = Packet(self._cluster, self._config.own.id, target, message)
        self._send(packet)

    def _apply(self, entry: Entry) -> None:
        self.applied = entry.index
        waiting = self._proposals.pop(entry.index, None)
        result: Any = NotLeader("another leader's entry took the command's place")
        if entry.kind is EntryKind.COMMAND:
            applied = self.machine.apply_payload(entry.payload)
            if waiting is not None and waiting.term == entry.term:
                result = applied
        if waiting is not None:
            _set_result(waiting.future, result)

    def _complete_read(self, read: ReadReady) -> None:
        future = self._reads.pop(read.token, None)
        if future is not None:
            _set_result(future, read.index)

    def _wake_waiters(self) -> None:
        ready = [w for w in self._applied_waiters if w[0] <= self.applied]
        self._applied_waiters = [
            w for w in self._applied_waiters if w[0] > self.applied
        ]
        for _, future in ready:
            _set_result(future, None)

    def _record_role(self) -> None:
        if self.replica.role is self._role:
            return
        self._role = self.replica.role
        self._counters.increment(f"log.role.{self._role.value}")
        _log.info("role changed", role=self._role.value, term=self.replica.term)
        if self._role is not Role.LEADER:
            self._fail_pending()

    def _fail_pending(self) -> None:
        waiting = [item.future for item in self._proposals.values()]
        for future in [*waiting, *self._reads.values()]:
            _set_result(future, NotLeader("no longer the leader"))
        self._proposals.clear()
        self._reads.clear()

    def _compact(self) -> None:
        behind = self.applied - self.replica.snapshot.index
        if behind < self._config.snapshot_entries:
            return
        state = self.machine.encode()
        snapshot = self.replica.compact(self.applied, state, self._config.keep_entries)
        tail = self.replica.read_tail()
        self._disk_executor.submit(
            self._folder.write_snapshot, snapshot, self.replica.hard_state, tail
        ).add_done_callback(_log_failure)
        self._counters.increment("log.snapshots")


def read_wall_clock_ms() -> int:
    """Return the wall-clock time in milliseconds since 1970.

    The leader passes it to the state machine with each command, for the ends of leases
    and of retention periods.
    """
    return time.time_ns() // 1_000_000


def _set_result(future: asyncio.Future, result: Any) -> None:
    """Set a future's result unless its caller has cancelled it."""
    if not future.done():
        future.set_result(result)


def _log_failure(future: concurrent.futures.Future) -> None:
    error = future.exception()
    if error is not None:
        _log.error("snapshot write failed", error=str(error))
