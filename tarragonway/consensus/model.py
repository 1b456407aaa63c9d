"""Role, timing and output of a replica."""

import enum

import msgspec

from tarragonway.consensus.messages import Entry, HardState, Message, Snapshot
from tarragonway.core.ids import MemberId


class Role(enum.Enum):
    """Role of a replica in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Parameters(msgspec.Struct, frozen=True):
    """Timing in ticks.

    A replica starts an election after ``election_ticks`` to ``2 * election_ticks - 1``
    ticks without a leader. For the first election after a start, ``election_ticks`` is
    replaced by ``first_ticks`` if it is given. It may be lower, because pre-votes keep
    an early election from disturbing a leader that other voters can reach.
    """

    election_ticks: int = 10
    heartbeat_ticks: int = 2
    first_ticks: int | None = None


class ReadReady(msgspec.Struct, frozen=True):
    """Linearizable read that may be served once ``index`` is applied."""

    token: int
    index: int


class Output(msgspec.Struct):
    """Work for the owner of a replica, to be done in the order of the fields."""

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = []
    messages: list[tuple[MemberId, Message]] = []
    committed: list[Entry] = []
    reads: list[ReadReady] = []

    def has_writes(self) -> bool:
        """Return whether something must be made durable."""
        return bool(self.hard_state or self.snapshot or self.entries)
