"""Messages about rollouts between gateways and coordinators."""

from typing import Annotated

import msgspec
from msgspec import Meta

from tarragonway.core.numbers import Amount, Count
from tarragonway.rollouts.model import Rollout

Share = Annotated[float, Meta(ge=0, le=1)]
LogSum = Annotated[float, Meta(ge=-1e15, le=1e15)]


class RolloutOrders(msgspec.Struct, frozen=True, tag=True):
    """The latest rollout of each service, as the log holds it.

    Every coordinator sends it to each gateway that connects, and on each change.
    ``revision`` grows with each change.
    """

    revision: Count
    rollouts: tuple[Rollout, ...]


class RolloutShare(msgspec.Struct, frozen=True, array_like=True):
    """The leader's present decision on one rollout.

    ``share`` is the fraction of each route's new requests that goes to the new version,
    and ``endpoint_fraction`` the fraction of its endpoints that take them. An answer on
    a route counts as slow after ``slow_ms`` milliseconds; routes that are missing have
    no such time yet. ``route_shares`` holds the routes whose share is larger, since
    they have few requests.
    """

    number: Count
    share: Share
    endpoint_fraction: Share = 1.0
    slow_ms: dict[str, Amount] = {}
    route_shares: dict[str, Share] = {}


class VersionCounts(msgspec.Struct, frozen=True, array_like=True):
    """A gateway's requests on one route to one side of a rollout, cumulative.

    ``answers`` counts the requests that have ended, of which ``failures`` failed and
    ``slow`` others were slow. ``log_ms`` is the sum of the natural logarithms of the
    times in milliseconds until the first event of a stream or the whole answer, over
    all answers that are no failures.
    """

    sent: Count = 0
    answers: Count = 0
    failures: Count = 0
    slow: Count = 0
    log_ms: LogSum = 0.0


class RouteCounts(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one route: the versions before the rollout, and the new one."""

    old: VersionCounts
    new: VersionCounts


class RolloutCounts(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway has counted since it has known of a rollout.

    ``routes`` holds the counts by the name of the route. ``old_in_flight`` is the
    number of requests that the gateway now has at endpoints of other versions, and
    ``share`` the share that it uses.
    """

    number: Count
    routes: dict[str, RouteCounts]
    old_in_flight: Count
    share: Share
