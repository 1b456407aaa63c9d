"""Traffic of rollouts at one gateway: which endpoints a request may be sent to.

Load pattern: a service's traffic moves to another software version, at first a small
share of it, over many gateways that have only a few requests a second each.
"""

import math
import random
from collections.abc import Iterable

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.hashes import rank_by_hash
from tarragonway.core.ids import ServiceName, SoftwareVersion
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.rollouts.messages import RolloutCounts, RolloutOrders, RolloutShare
from tarragonway.rollouts.model import Rollout
from tarragonway.rollouts.send_counts import RolloutSend, SendCounts, SendResult
from tarragonway.rollouts.service_rollout import ServiceRollout, apply_rollout

# Time after the report that the leader last replied to, for which its share holds.
# Reports are sent four times a second, so single lost replies do not matter.
SHARE_HOLD_S = 1.5
DEFAULT_RESUME_S = 2.5
# Unchanged counts are sent with every this many reports, so that they take less than
# 1 KB/s.
REPORTS_PER_COUNTS = 2

_log = structlog.get_logger()


class RoutedRequest(msgspec.Struct):
    """What the choice of a version needs to know of one request.

    ``tried`` are the endpoints that were chosen for it so far. The choice is made once:
    ``number`` is the rollout for which it was made, and ``wants_new`` tells its result.
    ``fell_back`` is set once the request could not be sent to the side that was chosen.
    """

    service: ServiceName
    route: str
    tried: set[str]
    number: int | None = None
    wants_new: bool = False
    fell_back: bool = False


class _Decision(msgspec.Struct, frozen=True):
    share: RolloutShare
    at: float


class RolloutTraffic:
    """Rollouts that a gateway knows, its share of each, and its counts.

    Times are those of the event loop's clock, in seconds.

    Parameters
    ----------
    resume_s : float
        Time for which streams go on at a version that has been rolled back.
    counters : Counters
        Receives ``rollout.*`` counters.
    source : random.Random
        Draws the route's first position between two requests to the new version, so
        that gateways do not send theirs at the same time.
    """

    def __init__(
        self,
        resume_s: float = DEFAULT_RESUME_S,
        counters: Counters | None = None,
        source: random.Random | None = None,
    ) -> None:
        self._resume_s = resume_s
        self._counters = counters or Counters()
        self._random = source or random.Random()
        self._revision = -1
        self._services: dict[ServiceName, ServiceRollout] = {}
        self._decisions: dict[int, _Decision] = {}
        self._counts = SendCounts(self._counters)
        self._reported: tuple[tuple[int, float, bool], ...] = ()

    # Orders and shares

    def set_orders(self, orders: RolloutOrders, now: float, clock_s: float) -> bool:
        """Replace the rollouts; return False if this or a newer revision is known.

        Parameters
        ----------
        orders : RolloutOrders
            Rollouts as a coordinator has sent them.
        now : float
            Time of the event loop's clock.
        clock_s : float
            Wall-clock time in seconds.
        """
        if orders.revision <= self._revision:
            return False
        self._revision = orders.revision
        latest: dict[ServiceName, Rollout] = {}
        for rollout in sorted(orders.rollouts, key=lambda rollout: rollout.number):
            latest[rollout.order.service] = rollout
        services = {}
        for service, rollout in latest.items():
            before = self._services.get(service)
            entry = apply_rollout(rollout, before, now, clock_s, self._resume_s)
            services[service] = entry
            if entry is not before:
                self._log_change(entry, before)
        self._services = services
        self._counts.retain({e.rollout.number for e in self._list_in_progress()})
        return True

    def set_shares(self, shares: Iterable[RolloutShare], sent_at: float) -> None:
        """Record the leader's shares from its reply to a report.

        Their age counts from when the report was sent, so that a reply that waited in a
        buffer does not count as fresh.

        Parameters
        ----------
        shares : iterable of RolloutShare
            Shares in the reply.
        sent_at : float
            Time at which the report was sent.
        """
        for share in shares:
            known = self._decisions.get(share.number)
            if known is None or known.at <= sent_at:
                self._decisions[share.number] = _Decision(share, sent_at)
        if self._decisions:
            numbers = {entry.rollout.number for entry in self._list_in_progress()}
            self._decisions = {
                number: decision
                for number, decision in self._decisions.items()
                if number in numbers or sent_at - decision.at < SHARE_HOLD_S
            }

    def log_shares(self, now: float) -> None:
        """Log each share that has changed since the last call."""
        for entry in self._list_in_progress():
            share = self._get_share(entry, now)
            if share == entry.logged_share:
                continue
            decision = self._decisions[entry.rollout.number]
            _log.info(
                "share of a rollout changed",
                service=entry.rollout.order.service,
                version=entry.rollout.order.version,
                number=entry.rollout.number,
                share=share,
                before=entry.logged_share,
                endpoint_fraction=decision.share.endpoint_fraction,
                reply_age_s=round(now - decision.at, 2),
            )
            entry.logged_share = share

    # Decisions

    def restricts(self, service: ServiceName) -> bool:
        """Return whether a rollout may keep some endpoints from requests."""
        return service in self._services

    def is_in_progress(self, service: ServiceName) -> bool:
        """Return whether a rollout of the service is in progress."""
        entry = self._services.get(service)
        return entry is not None and entry.rollout.is_in_progress

    def list_allowed(
        self,
        rows: Iterable[ListedEndpoint],
        request: RoutedRequest,
        resumed: SoftwareVersion | None,
        now: float,
    ) -> list[ListedEndpoint]:
        """Return the endpoints of the request's service that it may be sent to.

        The other side takes a request only if no endpoint of the chosen one is listed
        that it has not tried. Old endpoints that are merely full do not send callers to
        a version that has not been shown to be good.

        Parameters
        ----------
        rows : iterable of ListedEndpoint
            Listed endpoints.
        request : RoutedRequest
            The request.
        resumed : SoftwareVersion or None
            Version that began the stream, if the request goes on with one.
        now : float
            Time of the event loop's clock.
        """
        entry = self._services[request.service]
        if resumed is not None and self.may_resume(request.service, resumed, now):
            return [row for row in rows if row.service == request.service]
        usable = [
            row
            for row in rows
            if row.service == request.service and row.version not in entry.excluded
        ]
        if resumed is not None or not entry.rollout.is_in_progress:
            return usable
        version = entry.rollout.order.version
        old = [row for row in usable if row.version != version]
        new = [row for row in usable if row.version == version and not row.leaving]
        if not new:
            return old
        share = self._get_route_share(entry, request.route, now)
        if self._choose_new(entry, request, share):
            return self._select_canaries(entry, new)
        if any(not row.leaving and row.key not in request.tried for row in old):
            return old
        self._record_fallback(request)
        return new

    def give_up_new(self, request: RoutedRequest | None, now: float) -> bool:
        """Send a request that the new version cannot take to others, if allowed.

        Returns
        -------
        bool
            Whether it may. At a share of 1, others must get no requests.
        """
        if request is None or not request.wants_new:
            return False
        entry = self._services.get(request.service)
        if entry is None or self._get_share(entry, now) >= 1:
            return False
        request.wants_new = False
        self._record_fallback(request)
        return True

    def may_resume(
        self, service: ServiceName, version: SoftwareVersion, now: float
    ) -> bool:
        """Return whether a stream that this version began may go on there."""
        entry = self._services.get(service)
        if entry is None or version not in entry.excluded:
            return True
        return now < entry.resumable_until.get(version, -math.inf)

    # Counts

    def start_send(self, endpoint: ListedEndpoint, route: str) -> RolloutSend:
        """Record that a request is about to be sent, and return its record."""
        entry = self._services.get(endpoint.service)
        in_progress = entry is not None and entry.rollout.is_in_progress
        rollout = entry.rollout if entry is not None and in_progress else None
        return self._counts.start(endpoint, route, rollout)

    def record_sent(self, send: RolloutSend) -> None:
        """Record that a request has been written to its endpoint."""
        self._counts.record_sent(send)

    def end_send(
        self, send: RolloutSend, result: SendResult, taken_ms: float, is_active: bool
    ) -> None:
        """Record the end of a send (see :meth:`SendCounts.end`)."""
        decision = None if send.number is None else self._decisions.get(send.number)
        slow_ms = decision.share.slow_ms if decision is not None else {}
        self._counts.end(send, result, taken_ms, slow_ms, is_active)

    def make_report(
        self, rows: Iterable[ListedEndpoint], sequence: int, is_full: bool, now: float
    ) -> tuple[RolloutCounts, ...]:
        """Return the counts that the next report contains.

        Most of the time every second report contains them. What the leader waits for to
        complete a rollout is reported at once: another share, and whether requests to
        old endpoints have ended at a share of 1.

        Parameters
        ----------
        rows : iterable of ListedEndpoint
            Listed endpoints.
        sequence : int
            Number of the report.
        is_full : bool
            Whether the leader may lack all earlier reports.
        now : float
            Time of the event loop's clock.
        """
        entries = self._list_in_progress()
        if not entries:
            return ()
        listed = list(rows)
        shares = [self._compute_used_share(entry, listed, now) for entry in entries]
        in_flight = [self._counts.count_old_in_flight(e.rollout) for e in entries]
        state = tuple(
            (entry.rollout.number, share, share >= 1 and not count)
            for entry, share, count in zip(entries, shares, in_flight, strict=True)
        )
        is_due = is_full or sequence % REPORTS_PER_COUNTS == 0
        if not is_due and state == self._reported:
            return ()
        self._reported = state
        return tuple(
            RolloutCounts(number, self._counts.make_routes(number), count, share)
            for (number, share, _), count in zip(state, in_flight, strict=True)
        )

    def make_dump(self, now: float) -> dict[str, object]:
        """Return the known rollouts for the state dump, by service."""
        return {
            service: {
                "rollout": entry.rollout,
                "share": self._get_share(entry, now),
                "excluded": sorted(entry.excluded),
                "old_in_flight": self._counts.count_old_in_flight(entry.rollout),
                "routes": self._counts.make_routes(entry.rollout.number),
            }
            for service, entry in self._services.items()
        }

    # Details

    def _list_in_progress(self) -> list[ServiceRollout]:
        return [e for e in self._services.values() if e.rollout.is_in_progress]

    def _log_change(self, entry: ServiceRollout, before: ServiceRollout | None) -> None:
        rollout = entry.rollout
        has_ended = before is not None and before.rollout.number == rollout.number
        sent_old, sent_new = self._counts.count_sent(rollout.number)
        _log.info(
            "rollout has ended" if has_ended else "rollout is known",
            service=rollout.order.service,
            version=rollout.order.version,
            number=rollout.number,
            state=rollout.state.value,
            deadline_s=rollout.order.deadline_s,
            excluded=sorted(entry.excluded),
            sent_old=sent_old,
            sent_new=sent_new,
            old_in_flight=self._counts.count_old_in_flight(rollout),
            revision=self._revision,
        )

    def _get_share(self, entry: ServiceRollout, now: float) -> float:
        """Return the leader's share, or 0 once its last reply is too old."""
        decision = self._decisions.get(entry.rollout.number)
        if decision is None or now - decision.at >= SHARE_HOLD_S:
            return 0.0
        return decision.share.share

    def _get_route_share(self, entry: ServiceRollout, route: str, now: float) -> float:
        """Return the share of a route, which may be larger for a rarely used one."""
        share = self._get_share(entry, now)
        if not 0 < share < 1:
            return share
        route_shares = self._decisions[entry.rollout.number].share.route_shares
        return max(share, route_shares.get(route, 0.0))

    def _compute_used_share(
        self, entry: ServiceRollout, rows: list[ListedEndpoint], now: float
    ) -> float:
        """Return the share in use; 0 while the old version serves for the new one."""
        share, order = self._get_share(entry, now), entry.rollout.order
        is_listed = share < 1 or any(
            row.service == order.service
            and row.version == order.version
            and not row.leaving
            for row in rows
        )
        return share if is_listed else 0.0

    def _choose_new(
        self, entry: ServiceRollout, request: RoutedRequest, share: float
    ) -> bool:
        """Return whether the request goes to the new version.

        The choice is stratified: of any consecutive requests of a route, the number of
        those that go there differs by less than 1 from the share.
        """
        if share >= 1:
            return True
        if share <= 0 or request.tried:
            request.wants_new = False
            return False
        if request.number != entry.rollout.number:
            owed = entry.accumulators.get(request.route)
            owed = (self._random.random() if owed is None else owed) + share
            request.number, request.wants_new = entry.rollout.number, owed >= 1
            entry.accumulators[request.route] = owed - request.wants_new
        return request.wants_new

    def _select_canaries(
        self, entry: ServiceRollout, new: list[ListedEndpoint]
    ) -> list[ListedEndpoint]:
        """Return the new version's endpoints that take the share.

        All gateways choose the same ones, so that each gets the load of an old one.
        """
        rollout = entry.rollout
        fraction = self._decisions[rollout.number].share.endpoint_fraction
        count = max(1, math.ceil(fraction * len(new) - 1e-9))
        if count >= len(new):
            return new
        keys = [row.key for row in new]
        if keys != entry.ranked_keys:
            subject = f"{rollout.order.service}\0{rollout.order.version}"
            entry.ranked_keys, entry.ranking = keys, rank_by_hash(subject, keys)
        chosen = entry.ranking[:count]
        return [row for row in new if row.key in chosen]

    def _record_fallback(self, request: RoutedRequest) -> None:
        if not request.fell_back:
            request.fell_back = True
            self._counters.increment("rollout.fallback")
