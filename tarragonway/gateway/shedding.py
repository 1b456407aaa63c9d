"""Load shedding in the path of a request."""

import asyncio

from tarragonway.core.counters import Counters
from tarragonway.gateway.attempt import Attempt, Shed
from tarragonway.gateway.state import GatewayState
from tarragonway.overload.messages import MAX_RANK
from tarragonway.overload.shedder import make_key
from tarragonway.routes.model import Account, Route


def compute_rank(route: Route, account: Account | None) -> int:
    """Return the priority that is sent to endpoints: the account's, else the route's.

    Examples
    --------
    >>> from tarragonway.routes.model import Repeatability
    >>> route = Route("r", "h", "/", Repeatability.SAFE, 1.0, 1.0, 3, 1, ())
    >>> compute_rank(route, None), compute_rank(route, Account("a", (), priority=20))
    (3, 9)
    """
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return max(0, min(MAX_RANK, priority))


def shed_request(
    state: GatewayState, attempt: Attempt, work_s: float, counters: Counters
) -> Shed | None:
    """Record the request's load, and return whether it is refused.

    Requests that resume a stream are never refused: its first part has been served.
    """
    table, account = state.table, attempt.account
    if table is None or not table.configuration.has_quotas or account is None:
        return None
    if work_s <= 0 or attempt.origin is not None or attempt.facts.resumes_stream:
        return None
    now = asyncio.get_running_loop().time()
    rank = compute_rank(attempt.route, account)
    key = make_key(rank, attempt.route.priority, account.id)
    state.shedder.record_offered(attempt.service, key, work_s, now)
    return_s = state.shedder.decide(
        attempt.service, key, max(0.0, attempt.deadline - now), now
    )
    if return_s <= 0:
        return None
    counters.increment(f"request.shed.r{key.rank}.p{key.priority}")
    return Shed(return_s)
