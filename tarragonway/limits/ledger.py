"""The leader's ledger of shares, which keeps their sum within each plan's limit.

The ledger is not replicated, since a share expires with its lease: during its first
lease, a new leader renews the shares that entry processes hold and grants nothing more.
"""

from collections.abc import Callable

import msgspec

from tarragonway.core.ids import AccountId, ProcessName
from tarragonway.limits.messages import ShareGrant, ShareRequest

# The leader counts a lease longer by this factor, since the holder's clock may run
# slower.
MAX_CLOCK_DRIFT_FACTOR = 1.1


class Limit(msgspec.Struct, frozen=True):
    """Limits of one client account over all entry processes."""

    per_s: float
    concurrent: int


class _Share(msgspec.Struct, frozen=True):
    per_s: float
    concurrent: int
    demand: float
    running: int
    end: float


class ShareLedger:
    """Divides limits among entry processes by demand.

    A share consists of the holder's present demand and an equal part of the unused
    rest, so that a process that has been idle can serve a burst at once.

    Parameters
    ----------
    lease_s : float
        Length of a lease in seconds. The holder counts it from when it sent its call.
    entries : int
        Number of entry processes.
    started : float
        Time at which this process became the leader, on the clock of ``now``.

    Examples
    --------
    >>> ledger = ShareLedger(5.0, entries=2)
    >>> request = ShareRequest("a", 4.0, 0)
    >>> ledger.grant_shares("entry-1", (request,), lambda _: Limit(10.0, 4), 0.0)
    [ShareGrant(account='a', per_s=7.0, concurrent=2)]
    >>> ledger.grant_shares("entry-2", (request,), lambda _: Limit(10.0, 4), 0.0)
    [ShareGrant(account='a', per_s=3.0, concurrent=2)]
    """

    def __init__(
        self, lease_s: float, entries: int, started: float = float("-inf")
    ) -> None:
        self.lease_s = lease_s
        self.entries = entries
        self._started = started
        self._reported: set[ProcessName] = set()
        self._shares: dict[AccountId, dict[ProcessName, _Share]] = {}

    def grant_shares(
        self,
        entry: ProcessName,
        requests: tuple[ShareRequest, ...],
        get_limit: Callable[[AccountId], Limit | None],
        now: float,
        registered: frozenset[ProcessName] = frozenset(),
    ) -> list[ShareGrant]:
        """Grant or renew one entry process's shares.

        Until one lease has passed since the start, entry processes may hold shares that
        a former leader granted, so shares are only renewed. This ends sooner if all
        ``registered`` processes have sent a call since the start, because all shares
        are known then.

        Parameters
        ----------
        entry : ProcessName
            Entry process that sent the call.
        requests : tuple of ShareRequest
            Demand and present share of each client account.
        get_limit : callable
            Returns the limits of a client account, or None if it is unknown.
        now : float
            Time of a monotonic clock, in seconds.
        registered : frozenset of ProcessName
            Names of the entry processes that are registered in the replicated state.
        """
        self._reported.add(entry)
        grants = []
        for request in requests:
            limit = get_limit(request.account)
            if limit is not None:
                renew_only = self._is_recovering(now, registered)
                grants.append(self._grant(entry, request, limit, now, renew_only))
        return grants

    def _grant(
        self,
        entry: ProcessName,
        request: ShareRequest,
        limit: Limit,
        now: float,
        renew_only: bool,
    ) -> ShareGrant:
        shares = self._shares.setdefault(request.account, {})
        for name in [n for n, s in shares.items() if s.end <= now]:
            del shares[name]
        others = [share for name, share in shares.items() if name != entry]
        free_per_s = max(0.0, limit.per_s - sum(s.per_s for s in others))
        free_concurrent = max(0, limit.concurrent - sum(s.concurrent for s in others))
        if renew_only:
            wanted_per_s = request.held_per_s
            wanted_concurrent = request.held_concurrent
        else:
            demand = sum(share.demand for share in others)
            wanted_per_s = self._divide(limit.per_s, request.demand_per_s, demand)
            running = sum(share.running for share in others)
            places = self._divide(limit.concurrent, request.running, running)
            wanted_concurrent = max(1, int(places))
        grant = ShareGrant(
            request.account,
            min(wanted_per_s, free_per_s),
            # The share covers the running requests as far as other shares permit.
            min(max(wanted_concurrent, request.running), free_concurrent),
        )
        end = now + self.lease_s * MAX_CLOCK_DRIFT_FACTOR
        shares[entry] = _Share(
            grant.per_s, grant.concurrent, request.demand_per_s, request.running, end
        )
        return grant

    def _is_recovering(self, now: float, registered: frozenset[ProcessName]) -> bool:
        if now >= self._started + self.lease_s * MAX_CLOCK_DRIFT_FACTOR:
            return False
        return not registered <= self._reported

    def _divide(self, limit: float, own: float, others: float) -> float:
        """Return this process's demand plus an equal part of the unused rest.

        If the demands of all processes exceed the limit, return a part of the limit in
        proportion to this process's demand.
        """
        needed = own + others
        if needed <= limit:
            return own + (limit - needed) / self.entries
        return limit * own / needed
