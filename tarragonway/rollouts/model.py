"""Orders of rollouts and their states."""

import enum
from typing import Annotated

import msgspec
from msgspec import Meta

from tarragonway.core.ids import ServiceName, SoftwareVersion
from tarragonway.core.numbers import ClockTime, Count

# Longest deadline of a rollout, in seconds.
MAX_DEADLINE_S = 1e9


class RolloutState(enum.Enum):
    """State of a rollout, in the words that operators read."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutOrder(msgspec.Struct, frozen=True, array_like=True):
    """An operator's order to move a service's traffic to a software version.

    ``deadline_s`` is the time in seconds within which the rollout must end.
    """

    service: ServiceName
    version: SoftwareVersion
    deadline_s: Annotated[float, Meta(gt=0, le=MAX_DEADLINE_S)]


class Rollout(msgspec.Struct, frozen=True, array_like=True):
    """A rollout, as the replicated log holds it.

    ``number`` grows with each order. ``begun_s`` and ``ended_s`` are wall-clock times
    in seconds; ``ended_s`` is 0 while the rollout is in progress. ``replaced`` are the
    versions that a completed rollout has retired. ``barred`` are those that earlier
    rollouts of the service have retired or rolled back, and that no order has named
    since; the log holds only the latest rollout of each service.
    """

    number: Count
    order: RolloutOrder
    begun_s: ClockTime
    state: RolloutState = RolloutState.IN_PROGRESS
    ended_s: ClockTime = 0.0
    replaced: tuple[SoftwareVersion, ...] = ()
    barred: tuple[SoftwareVersion, ...] = ()

    @property
    def is_in_progress(self) -> bool:
        """Whether the rollout has not ended."""
        return self.state is RolloutState.IN_PROGRESS
