"""The latest rollout of one service, as a gateway knows it: its excluded versions.

Load pattern: endpoints of a version that was retired or rolled back stay listed for
seconds, and idle ones look attractive to every measure of load.
"""

import msgspec

from tarragonway.core.ids import SoftwareVersion
from tarragonway.rollouts.model import Rollout, RolloutState

# Difference of the gateway's clock and the leader's that is taken for no delay.
CLOCK_TOLERANCE_S = 1.0


class ServiceRollout(msgspec.Struct):
    """Latest rollout of a service.

    ``excluded`` versions get no requests. Streams of those in ``resumable_until`` may
    go on until that time. ``accumulators`` holds the fraction of a request that each
    route owes to the new version.
    """

    rollout: Rollout
    excluded: frozenset[SoftwareVersion]
    resumable_until: dict[SoftwareVersion, float]
    accumulators: dict[str, float] = {}
    logged_share: float = 0.0
    ranked_keys: list[str] = []
    ranking: list[str] = []


def apply_rollout(
    rollout: Rollout,
    before: ServiceRollout | None,
    now: float,
    clock_s: float,
    resume_s: float,
) -> ServiceRollout:
    """Return what follows from the latest rollout; ``before`` itself if it is the same.

    Parameters
    ----------
    rollout : Rollout
        The rollout as a coordinator has sent it.
    before : ServiceRollout or None
        What was known of the service.
    now : float
        Time of the event loop's clock, in seconds.
    clock_s : float
        Wall-clock time in seconds.
    resume_s : float
        Time for which streams go on at a version that has been rolled back.
    """
    excluded = _compute_excluded(rollout, before)
    if (
        before is not None
        and before.rollout.number == rollout.number
        and before.rollout.state is rollout.state
    ):
        before.rollout, before.excluded = rollout, excluded
        return before
    until = dict(before.resumable_until) if before is not None else {}
    if rollout.state is RolloutState.ROLLED_BACK:
        # Streams of a rollout that ended while the gateway was disconnected, or before
        # it was started, do not get the whole time again.
        late_s = max(0.0, clock_s - rollout.ended_s - CLOCK_TOLERANCE_S)
        until[rollout.order.version] = now + resume_s - late_s
    return ServiceRollout(
        rollout,
        excluded,
        {name: end for name, end in until.items() if name in excluded},
    )


def _compute_excluded(
    rollout: Rollout, before: ServiceRollout | None
) -> frozenset[SoftwareVersion]:
    """Return the versions of a service that get no requests.

    A version stays excluded by earlier rollouts until an order names it. ``replaced``
    has a meaning only once the rollout is completed.
    """
    excluded = {*rollout.excluded, *(before.excluded if before is not None else ())}
    excluded.discard(rollout.order.version)
    match rollout.state:
        case RolloutState.COMPLETED:
            excluded.update(rollout.replaced)
            excluded.discard(rollout.order.version)
        case RolloutState.ROLLED_BACK:
            excluded.add(rollout.order.version)
    return frozenset(excluded)
