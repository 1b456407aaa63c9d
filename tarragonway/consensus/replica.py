"""One replica of the log as a pure state machine.

Inputs are ticks, messages, proposals and reads; outputs are collected and taken with
:meth:`Replica.take_output`. The module uses no clock, socket or disk. The owner of a
replica must process an output in this order: make its hard state, snapshot and entries
durable, then send its messages, then apply its committed entries.

References
----------
Ongaro, "Consensus: Bridging Theory and Practice", 2014: chapters 3, 4.1 (one change of
membership at a time), 6.4 (reads), 9.6 (pre-vote).
"""

import random

import msgspec

from tarragonway.consensus.departures import Departures
from tarragonway.consensus.log import RaftLog
from tarragonway.consensus.members import Membership
from tarragonway.consensus.membership_history import MembershipHistory
from tarragonway.consensus.messages import (
    AppendReply,
    AppendRequest,
    ElectNow,
    Entry,
    EntryKind,
    HardState,
    LeaveReply,
    LeaveRequest,
    LogTail,
    Message,
    Snapshot,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from tarragonway.consensus.model import Output, Parameters, ReadReady, Role
from tarragonway.consensus.progress import Progress, ProgressTable
from tarragonway.core.errors import InvariantError
from tarragonway.core.ids import MemberId

MAX_APPEND_ENTRIES = 512
MAX_APPEND_BYTES = 1_000_000
# A follower without a reply for longer than this is unresponsive and may be removed.
MAX_SILENT_ELECTION_TIMEOUTS = 6
# A voter without a reply for more heartbeat intervals than this is unreachable.
MAX_MISSED_HEARTBEATS = 3


class Replica:
    """One member of the group that replicates the log.

    Parameters
    ----------
    own_id : MemberId
        This member's incarnation.
    parameters : Parameters
        Timing in ticks.
    rng : random.Random
        Random numbers for the jitter of election timeouts.
    hard_state : HardState
        Last durable term and vote.
    snapshot : Snapshot
        Last durable snapshot.
    log : RaftLog
        Durable entries, which reach at least up to the snapshot.
    """

    def __init__(
        self,
        own_id: MemberId,
        parameters: Parameters,
        rng: random.Random,
        hard_state: HardState | None = None,
        snapshot: Snapshot | None = None,
        log: RaftLog | None = None,
    ) -> None:
        self.own_id = own_id
        self.role = Role.FOLLOWER
        self.leader: MemberId | None = None
        self.snapshot = snapshot or Snapshot()
        self._parameters = parameters
        self._random = rng
        self._hard_state = hard_state or HardState()
        self._log = log or RaftLog(self.snapshot.index, self.snapshot.term)
        self.commit = self.snapshot.index
        self._applied = self.commit
        self._memberships = MembershipHistory(
            self.snapshot.index, self.snapshot.membership
        )
        for entry in self._log.read_range(self.commit + 1, self._log.last_index):
            self._memberships.record(entry)
        self._first_unsynced = self._log.last_index + 1
        self._elapsed_ticks = 0
        self._reachable_voters = 0
        self._election_timeout_ticks = self._draw_election_timeout(
            parameters.first_ticks
        )
        self._votes: set[MemberId] = set()
        self._progress = ProgressTable(own_id)
        self._departures = Departures(2 * parameters.election_ticks)
        self._has_left = False
        self._transfer_wait_ticks = 0
        self._round = 0
        self._term_start_index = 0
        self._first_entry_term: int | None = None
        self._reads: list[tuple[int, int, int]] = []
        self._broadcast_due = False
        self._output = Output()

    # State

    @property
    def term(self) -> int:
        """Current term."""
        return self._hard_state.term

    @property
    def membership(self) -> Membership:
        """Latest membership in the log, committed or not."""
        return self._memberships.latest

    @property
    def has_uncommitted_membership(self) -> bool:
        """Whether the latest membership may still be replaced by a former one."""
        return self._memberships.latest_index > self.commit

    @property
    def membership_index(self) -> int:
        """Index of the entry that brought the latest membership; 0 if compacted."""
        return self._memberships.latest_index

    @property
    def votes(self) -> frozenset[MemberId]:
        """Voters that have granted their vote in this replica's latest election."""
        return frozenset(self._votes)

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        return self._log.last_index

    @property
    def is_ready_leader(self) -> bool:
        """Whether this replica is the leader and has committed an entry of its term."""
        return self.role is Role.LEADER and self.commit >= self._term_start_index

    @property
    def term_start_index(self) -> int:
        """Index of the first entry of this replica's latest leadership."""
        return self._term_start_index

    def get_match_index(self, member_id: MemberId) -> int:
        """Return the last index that a follower is known to store; 0 if unknown."""
        row = self._progress.get(member_id)
        return row.match if row else 0

    @property
    def is_first_ready_leader(self) -> bool:
        """Whether this leader is ready and no earlier leader of the group ever was.

        If an earlier leader had committed an entry, then the entry at index 1, which is
        never replaced after that, would have an earlier term.
        """
        first_entry_term = self._log.get_term(1) or self._first_entry_term
        return self.is_ready_leader and first_entry_term == self.term

    def get_silent_ticks(self, member_id: MemberId) -> int:
        """Return the ticks since a follower has replied; 0 if it is not a follower."""
        row = self._progress.get(member_id)
        return row.ticks_since_reply if row else 0

    def is_unresponsive(self, member_id: MemberId) -> bool:
        """Return whether a follower has not replied for several election timeouts."""
        limit = MAX_SILENT_ELECTION_TIMEOUTS * self._parameters.election_ticks
        return self.get_silent_ticks(member_id) > limit

    def count_reachable(self) -> int:
        """Return the number of voters that have replied lately, including this one."""
        return self._progress.count_reachable(
            self.membership, self.unreachable_after_ticks
        )

    @property
    def departing(self) -> set[MemberId]:
        """Members that have asked this leader to leave, as they are about to stop."""
        return self._departures.members

    @property
    def has_left(self) -> bool:
        """Whether the leader has confirmed that this member is no voter any more."""
        return self._has_left

    @property
    def seeks_admission(self) -> bool:
        """Whether this member should ask the others to admit it to the group.

        A voter that hears of no leader may have been removed while it was out of touch.
        Nobody sends it the entry that says so.
        """
        is_voter = self.own_id in self.membership.voter_ids
        return not self._has_left and (not is_voter or self.leader is None)

    @property
    def can_leave(self) -> bool:
        """Whether the group bears as many losses without this voter as with it."""
        membership = self.membership
        is_voter = self.own_id in membership.voter_ids
        return is_voter and membership.has_spare_voter

    @property
    def unreachable_after_ticks(self) -> int:
        """Ticks without a reply after which a voter counts as unreachable."""
        return MAX_MISSED_HEARTBEATS * self._parameters.heartbeat_ticks

    @property
    def can_stop_safely(self) -> bool:
        """Whether a majority of the voters remains reachable if this member stops.

        A follower relies on the number of reachable voters in its leader's last append
        request. A learner can always stop. A group of one or two voters loses its
        majority with any voter, so there the result is True as well.
        """
        membership = self.membership
        if self.own_id not in membership.voter_ids:
            return True
        if membership.size - 1 < membership.quorum:
            return True
        if self.role is Role.LEADER:
            reachable = self.count_reachable()
        else:
            reachable = self._reachable_voters if self._has_recent_leader() else 0
        return reachable - 1 >= membership.quorum

    # Inputs

    def tick(self) -> None:
        """Advance the time by one tick."""
        self._elapsed_ticks += 1
        if self.role is Role.LEADER:
            self._tick_leader()
        elif self._elapsed_ticks >= self._election_timeout_ticks:
            self._elapsed_ticks = 0
            self._election_timeout_ticks = self._draw_election_timeout()
            if self.own_id in self.membership.voter_ids:
                self._start_election(pre=True)

    def handle_message(self, source: MemberId, message: Message) -> None:
        """Handle one message from another member."""
        if message.term > self.term and not self._adopt_term(source, message):
            return
        match message:
            case VoteRequest():
                self._handle_vote_request(source, message)
            case VoteReply():
                self._handle_vote_reply(source, message)
            case AppendRequest():
                self._handle_append(source, message)
            case SnapshotRequest():
                self._handle_snapshot(source, message)
            case AppendReply():
                self._handle_append_reply(source, message)
            case ElectNow():
                self._handle_elect_now(message)
            case LeaveRequest():
                self._handle_leave_request(source)
            case LeaveReply():
                self._has_left = True

    def propose(self, payload: bytes) -> int | None:
        """Append a command; return its index, or None if not the leader."""
        if self.role is not Role.LEADER:
            return None
        return self._append_as_leader(EntryKind.COMMAND, payload)

    def propose_membership(self, membership: Membership) -> int | None:
        """Append a membership that differs in at most one voter; return its index.

        A single voter may propose any voters beside itself. Nobody else decides by the
        former membership, and it does not either once its log has the new one.

        Return None if this replica is not a ready leader, if the previous change is not
        committed yet, or if another voter has just been asked to take over, which would
        not know of the change.

        Raises
        ------
        InvariantError
            If more than one voter would change.
        """
        if not self.is_ready_leader or self.has_uncommitted_membership:
            return None
        if self._transfer_wait_ticks:
            return None
        changed = self.membership.voter_ids ^ membership.voter_ids
        is_single = self.membership.voter_ids == {self.own_id}
        is_kept = self.own_id in membership.voter_ids
        if len(changed) > 1 and not (is_single and is_kept):
            raise InvariantError(
                f"membership change affects {len(changed)} voters; "
                "only one voter may change at a time"
            )
        payload = msgspec.msgpack.encode(membership)
        return self._append_as_leader(EntryKind.MEMBERS, payload)

    def read(self, token: int) -> bool:
        """Request a linearizable read; return False unless this is a ready leader."""
        if not self.is_ready_leader:
            return False
        self._reads.append((token, self.commit, self._round + 1))
        self._broadcast_due = True
        return True

    def transfer_leadership(self) -> MemberId | None:
        """Ask the most up-to-date voter to take over leadership; return its id.

        A voter that does not answer is asked only if none does. Return None if this
        replica is not the leader, if there is no other voter, or if the best one does
        not store the latest membership yet: it would count other voters than the rest.
        """
        voters = self.membership.voter_ids - {self.own_id}
        if self.role is not Role.LEADER or not voters:
            return None
        target = self._progress.find_most_current(voters, self.unreachable_after_ticks)
        if self.get_match_index(target) < self._memberships.latest_index:
            return None
        self._transfer_wait_ticks = self._parameters.election_ticks
        self._send(target, ElectNow(self.term))
        return target

    def request_leave(self) -> None:
        """Ask the leader to remove this member, which is about to stop.

        The request may be lost, so it has to be repeated until :attr:`has_left`.
        """
        if self.leader is not None and self.leader != self.own_id:
            self._send(self.leader, LeaveRequest(self.term))

    def compact(self, index: int, state: bytes, keep: int = 0) -> Snapshot:
        """Replace the log up to ``index`` by a snapshot of the applied state.

        Parameters
        ----------
        index : int
            Last applied entry that ``state`` contains.
        state : bytes
            Encoded state machine.
        keep : int
            Number of entries up to ``index`` to keep for followers that lag slightly.

        Raises
        ------
        InvariantError
            If ``index`` is not applied yet or already compacted.
        """
        term = self._log.get_term(index)
        if index > self._applied or term is None:
            raise InvariantError(
                f"cannot compact to entry {index}: it is not applied or not in the log"
            )
        membership = self._memberships.compact(index)
        self._first_entry_term = self._log.get_term(1) or self._first_entry_term
        self.snapshot = Snapshot(index, term, membership, state)
        self._log.compact(index - keep)
        return self.snapshot

    def read_tail(self) -> LogTail:
        """Return the entries that must stay on disk in addition to the snapshot."""
        start = self._log.base_index
        entries = self._log.read_range(start + 1, self.last_index)
        return LogTail(start, self._log.base_term, tuple(entries))

    @property
    def hard_state(self) -> HardState:
        """Current term and vote."""
        return self._hard_state

    def take_output(self) -> Output:
        """Return the collected output and start an empty one."""
        if self._broadcast_due:
            self._broadcast()
        output = self._output
        if self._first_unsynced <= self.last_index:
            output.entries = self._log.read_range(self._first_unsynced, self.last_index)
            self._first_unsynced = self.last_index + 1
        if self._applied < self.commit:
            output.committed = self._log.read_range(self._applied + 1, self.commit)
            self._applied = self.commit
        self._output = Output()
        return output

    # Elections

    def _draw_election_timeout(self, ticks: int | None = None) -> int:
        ticks = ticks or self._parameters.election_ticks
        return ticks + self._random.randrange(ticks)

    def _set_hard_state(self, term: int, voted_for: MemberId | None) -> None:
        self._hard_state = HardState(term, voted_for)
        self._output.hard_state = self._hard_state

    def _adopt_term(self, source: MemberId, message: Message) -> bool:
        """Adopt the message's higher term; return False if it must be ignored.

        Pre-vote requests and granted pre-votes do not change the term. A vote request
        is ignored while messages of a leader arrive, except in a leadership transfer.
        """
        match message:
            case VoteRequest(pre=True):
                return True
            case VoteReply(pre=True, granted=True):
                return True
            case VoteRequest() if self._has_recent_leader() and not message.transfer:
                return False
        is_leader = isinstance(message, AppendRequest | SnapshotRequest)
        self._become_follower(message.term, source if is_leader else None)
        return True

    def _has_recent_leader(self) -> bool:
        if self.role is Role.LEADER:
            return True
        recent = self._elapsed_ticks < self._parameters.election_ticks
        return self.leader is not None and recent

    def _become_follower(self, term: int, leader: MemberId | None) -> None:
        if term > self.term:
            self._set_hard_state(term, None)
        self.role = Role.FOLLOWER
        self.leader = leader
        self._elapsed_ticks = 0
        self._election_timeout_ticks = self._draw_election_timeout()
        self._reads.clear()
        self._broadcast_due = False

    def _start_election(self, pre: bool, transfer: bool = False) -> None:
        self.leader = None
        self.role = Role.PRE_CANDIDATE if pre else Role.CANDIDATE
        if not pre:
            self._set_hard_state(self.term + 1, self.own_id)
        self._votes = {self.own_id}
        request = VoteRequest(
            self.term + 1 if pre else self.term,
            self._log.last_index,
            self._log.last_term,
            pre,
            transfer,
        )
        for member in self.membership.voters:
            if member.id != self.own_id:
                self._send(member.id, request)
        self._count_votes()

    def _handle_vote_request(self, source: MemberId, request: VoteRequest) -> None:
        if request.pre and self._has_recent_leader():
            return
        ours = (self._log.last_term, self._log.last_index)
        current = (request.last_term, request.last_index) >= ours
        if request.pre:
            granted = current and request.term > self.term
            term = request.term if granted else self.term
            self._send(source, VoteReply(term, granted, True))
            return
        free = self._hard_state.voted_for in (None, source)
        granted = current and free and request.term == self.term
        if granted:
            self._set_hard_state(self.term, source)
            self._elapsed_ticks = 0
        self._send(source, VoteReply(self.term, granted, False))

    def _handle_vote_reply(self, source: MemberId, reply: VoteReply) -> None:
        expected = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
        wanted_term = self.term + 1 if reply.pre else self.term
        if self.role is expected and reply.granted and reply.term == wanted_term:
            self._votes.add(source)
            self._count_votes()

    def _handle_elect_now(self, message: ElectNow) -> None:
        is_voter = self.own_id in self.membership.voter_ids
        if message.term == self.term and self.role is Role.FOLLOWER and is_voter:
            self._start_election(pre=False, transfer=True)

    def _count_votes(self) -> None:
        membership = self.membership
        if len(self._votes & membership.voter_ids) < membership.quorum:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(pre=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader()

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.own_id
        self._elapsed_ticks = 0
        self._departures.clear()
        self._transfer_wait_ticks = 0
        self._progress = ProgressTable(self.own_id)
        self._progress.update_members(self.membership, self.last_index + 1)
        self._term_start_index = self.last_index + 1
        self._append_as_leader(EntryKind.NOOP, b"")

    # Leader

    def _tick_leader(self) -> None:
        self._departures.tick()
        self._transfer_wait_ticks = max(0, self._transfer_wait_ticks - 1)
        for _, row in self._progress.rows():
            row.snapshot_wait_ticks = max(0, row.snapshot_wait_ticks - 1)
            row.ticks_since_reply += 1
        if self._elapsed_ticks % self._parameters.heartbeat_ticks == 0:
            self._broadcast_due = True
        if self._elapsed_ticks >= self._parameters.election_ticks:
            self._elapsed_ticks = 0
            if not self._progress.take_active_quorum(self.membership):
                self._become_follower(self.term, None)

    def _append_as_leader(self, kind: EntryKind, payload: bytes) -> int:
        entry = Entry(self.last_index + 1, self.term, kind, payload)
        self._log.append(entry)
        self._memberships.record(entry)
        if kind is EntryKind.MEMBERS:
            self._progress.update_members(self.membership, self.last_index + 1)
        self._broadcast_due = True
        self._advance_commit()
        return entry.index

    def _broadcast(self) -> None:
        self._broadcast_due = False
        if self.role is not Role.LEADER:
            return
        self._round += 1
        for member_id, row in self._progress.rows():
            self._send_append(member_id, row)
        self._complete_reads()

    def _send_append(self, member_id: MemberId, row: Progress) -> None:
        prev_index = row.next_index - 1
        prev_term = self._log.get_term(prev_index)
        if prev_term is None:
            self._send_snapshot(member_id, row)
            return
        entries = self._log.read(row.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES)
        if entries:
            # Assume delivery: if the message is lost, the follower rejects a later
            # one, and that moves the index back.
            row.next_index = entries[-1].index + 1
        request = AppendRequest(
            self.term,
            prev_index,
            prev_term,
            self.commit,
            self._round,
            entries,
            self.count_reachable(),
        )
        self._send(member_id, request)

    def _send_snapshot(self, member_id: MemberId, row: Progress) -> None:
        if row.snapshot_wait_ticks:
            return
        row.snapshot_wait_ticks = 4 * self._parameters.election_ticks
        self._send(member_id, SnapshotRequest(self.term, self._round, self.snapshot))

    def _handle_append_reply(self, source: MemberId, reply: AppendReply) -> None:
        row = self._progress.get(source)
        if self.role is not Role.LEADER or reply.term != self.term or row is None:
            return
        row.active = True
        row.ticks_since_reply = 0
        row.round = max(row.round, reply.round)
        if reply.success:
            if row.record_success(reply.match):
                self._advance_commit()
            if row.next_index <= self.last_index:
                self._send_append(source, row)
        elif row.record_rejection(reply.prev_index, reply.match):
            self._send_append(source, row)
        self._complete_reads()

    def _handle_leave_request(self, source: MemberId) -> None:
        if not self.is_ready_leader:
            return
        if source in self.membership.voter_ids:
            self._departures.record(source)
        elif not self.has_uncommitted_membership:
            self._send(source, LeaveReply(self.term))

    def _advance_commit(self) -> None:
        quorum_match = self._progress.compute_quorum_match(
            self.membership, self.last_index
        )
        if quorum_match <= self.commit:
            return
        # Entries of earlier terms are committed only together with an entry of the
        # current term, never by counting replicas alone.
        if self._log.get_term(quorum_match) == self.term:
            self.commit = quorum_match
            self._broadcast_due = True

    def _complete_reads(self) -> None:
        confirmed = self._progress.compute_quorum_round(self.membership, self._round)
        ready = [read for read in self._reads if read[2] <= confirmed]
        if ready:
            self._reads = [read for read in self._reads if read[2] > confirmed]
            self._output.reads += [ReadReady(token, at) for token, at, _ in ready]

    # Followers

    def _handle_append(self, source: MemberId, request: AppendRequest) -> None:
        if request.term < self.term:
            reply = AppendReply(self.term, False, 0, request.prev_index, 0)
            self._send(source, reply)
            return
        if self.role is Role.LEADER:
            raise InvariantError(
                f"two leaders in term {self.term}: {self.own_id} and {source}"
            )
        self._become_follower(request.term, source)
        self._reachable_voters = request.heard
        if self._log.get_term(request.prev_index) != request.prev_term:
            self._reject_append(source, request)
            return
        for entry in request.entries:
            self._append_from_leader(entry)
        match = request.prev_index + len(request.entries)
        self.commit = max(self.commit, min(request.commit, match))
        reply = AppendReply(self.term, True, match, request.prev_index, request.round)
        self._send(source, reply)

    def _reject_append(self, source: MemberId, request: AppendRequest) -> None:
        if request.prev_index < self._log.base_index:
            # Compacted entries are committed, so the leader's log agrees with them.
            hint = self._log.base_index
            success = True
        else:
            hint = min(request.prev_index - 1, self.last_index)
            hint = max(hint, self.commit)
            success = False
        reply = AppendReply(self.term, success, hint, request.prev_index, request.round)
        self._send(source, reply)

    def _append_from_leader(self, entry: Entry) -> None:
        known = self._log.get_term(entry.index)
        if known == entry.term or entry.index <= self._log.base_index:
            return
        if known is not None:
            if entry.index <= self.commit:
                raise InvariantError(
                    f"committed entry {entry.index} of term {known} would be replaced "
                    f"by an entry of term {entry.term}"
                )
            self._log.truncate(entry.index)
            self._first_unsynced = min(self._first_unsynced, entry.index)
            self._memberships.truncate(entry.index)
        self._log.append(entry)
        self._memberships.record(entry)

    def _handle_snapshot(self, source: MemberId, request: SnapshotRequest) -> None:
        if request.term < self.term:
            self._send(source, AppendReply(self.term, False, 0, 0, 0))
            return
        self._become_follower(request.term, source)
        snapshot = request.snapshot
        if snapshot.index > self.commit:
            self._install_snapshot(snapshot)
        reply = AppendReply(self.term, True, self.commit, 0, request.round)
        self._send(source, reply)

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        self._log.reset(snapshot.index, snapshot.term)
        self._memberships = MembershipHistory(0, snapshot.membership)
        self.snapshot = snapshot
        self.commit = snapshot.index
        self._applied = snapshot.index
        self._first_unsynced = snapshot.index + 1
        self._output.snapshot = snapshot

    # Helpers

    def _send(self, target: MemberId, message: Message) -> None:
        self._output.messages.append((target, message))
