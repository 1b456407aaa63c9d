"""Rollouts as a part of the replicated state, and the commands that change them."""

import msgspec

from tarragonway.core.ids import ServiceName, SoftwareVersion
from tarragonway.core.numbers import ClockTime
from tarragonway.rollouts.model import Rollout, RolloutOrder, RolloutState

# Accepted orders of a service that are retained for their repeats. An operator repeats
# an order for a few seconds, and a service has one rollout at a time.
MAX_ACCEPTED_ORDERS = 64
# Versions that no order names again are forgotten beyond this number.
MAX_EXCLUDED_VERSIONS = 32


class BeginRollout(msgspec.Struct, frozen=True, tag=True):
    """Begins a rollout, unless the order is a repeat or another one is in progress.

    ``begun_s`` is the proposer's wall-clock time. The same order counts as a repeat for
    ``repeat_s`` seconds.
    """

    order: RolloutOrder
    begun_s: ClockTime
    repeat_s: float


class EndRollout(msgspec.Struct, frozen=True, tag=True):
    """Ends the rollout with this number, unless it has ended already.

    ``ended_s`` is the proposer's wall-clock time; ``replaced`` are the versions that a
    completed rollout retires.
    """

    number: int
    state: RolloutState
    ended_s: ClockTime
    replaced: tuple[SoftwareVersion, ...] = ()


class RolloutAccepted(msgspec.Struct, frozen=True, tag=True):
    """The order is in the log; ``is_new`` is False for a repeat."""

    is_new: bool


class RolloutConflict(msgspec.Struct, frozen=True, tag=True):
    """Another order for the service is in progress: that for this version."""

    version: SoftwareVersion


class AcceptedOrder(msgspec.Struct, frozen=True, array_like=True):
    """An order that was accepted, and the wall-clock time of its command."""

    order: RolloutOrder
    begun_s: float


class RolloutStore(msgspec.Struct):
    """The latest rollout of each service.

    ``revision`` is the number of changes. ``accepted`` are the orders of each service
    whose repeats are recognized, since a repeat may arrive after a later order.

    Examples
    --------
    >>> store = RolloutStore()
    >>> order = RolloutOrder(ServiceName("s"), SoftwareVersion("v2"), 12.0)
    >>> store.apply(BeginRollout(order, 100.0, 10.0))
    RolloutAccepted(is_new=True)
    >>> store.apply(BeginRollout(order, 101.0, 10.0))
    RolloutAccepted(is_new=False)
    >>> other = msgspec.structs.replace(order, version=SoftwareVersion("v3"))
    >>> store.apply(BeginRollout(other, 102.0, 10.0))
    RolloutConflict(version='v2')
    """

    rollouts: dict[ServiceName, Rollout] = {}
    revision: int = 0
    accepted: dict[ServiceName, tuple[AcceptedOrder, ...]] = {}

    def apply(
        self, command: BeginRollout | EndRollout
    ) -> RolloutAccepted | RolloutConflict | None:
        """Apply a committed command; only its own time decides what is a repeat."""
        match command:
            case BeginRollout():
                return self._begin(command)
            case EndRollout():
                self._end(command)
                return None

    def _begin(self, command: BeginRollout) -> RolloutAccepted | RolloutConflict:
        order = command.order
        current = self.rollouts.get(order.service)
        # A proposer's clock may be behind that of the former leader.
        repeatable = tuple(
            accepted
            for accepted in self.accepted.get(order.service, ())
            if abs(command.begun_s - accepted.begun_s) <= command.repeat_s
        )
        if any(accepted.order == order for accepted in repeatable):
            return RolloutAccepted(False)
        if current is not None and current.is_in_progress:
            if current.order == order:
                return RolloutAccepted(False)
            return RolloutConflict(current.order.version)
        numbers = [rollout.number for rollout in self.rollouts.values()]
        self.rollouts[order.service] = Rollout(
            max(numbers, default=0) + 1,
            order,
            command.begun_s,
            excluded=_list_excluded(current, order.version),
        )
        accepted = (*repeatable, AcceptedOrder(order, command.begun_s))
        self.accepted[order.service] = accepted[-MAX_ACCEPTED_ORDERS:]
        self.revision += 1
        return RolloutAccepted(True)

    def _end(self, command: EndRollout) -> None:
        for service, rollout in self.rollouts.items():
            if rollout.number == command.number and rollout.is_in_progress:
                self.rollouts[service] = msgspec.structs.replace(
                    rollout,
                    state=command.state,
                    ended_s=command.ended_s,
                    replaced=command.replaced,
                )
                self.revision += 1
                return

    def is_known(self, order: RolloutOrder) -> bool:
        """Return whether an order was accepted, and may be repeated."""
        rollout = self.rollouts.get(order.service)
        accepted = self.accepted.get(order.service, ())
        return any(item.order == order for item in accepted) or (
            rollout is not None and rollout.order == order
        )


def list_unusable(rollout: Rollout) -> frozenset[SoftwareVersion]:
    """Return the versions that take no requests after a rollout or earlier ones."""
    versions = {*rollout.excluded}
    if rollout.state is RolloutState.COMPLETED:
        versions |= {*rollout.replaced}
    elif rollout.state is RolloutState.ROLLED_BACK:
        versions.add(rollout.order.version)
    return frozenset(versions)


def _list_excluded(
    former: Rollout | None, ordered: SoftwareVersion
) -> tuple[SoftwareVersion, ...]:
    """Return what a new order excludes: what the former one did, but its own version.

    The list of a service's latest rollout is all that gateways know of earlier ones.
    """
    if former is None:
        return ()
    added = sorted(list_unusable(former) - {*former.excluded})
    excluded = [*former.excluded, *added]
    return tuple(v for v in excluded if v != ordered)[-MAX_EXCLUDED_VERSIONS:]
