import asyncio
import random

import pytest

from tarragonway.core.counters import Counters
from tarragonway.exchange import CallerRequest, Load, Prompt
from tarragonway.gateway.attempt import Attempt, Shed
from tarragonway.gateway.error_responses import ErrorCause
from tarragonway.gateway.final_errors import choose_error
from tarragonway.gateway.shedding import shed_request
from tarragonway.gateway.state import GatewayState
from tarragonway.overload import AdmittedRow
from tarragonway.routes import Account, Configuration, ConnectionLimits
from tarragonway.routes.model import Repeatability, Route
from tarragonway.routes.table import RouteTable

ROUTE = Route("r", "h", "/", Repeatability.SAFE, 9.0, 1.0, 2, 1, ())


def make_state(account):
    state = GatewayState()
    configuration = Configuration(1, (), (), ConnectionLimits(), (account,))
    state.table = RouteTable(configuration)
    return state


async def shed(state, account, *, last_event_id=None, running=12, work_s=0.3):
    """Return the outcome of a request to a service of which nothing is admitted."""

    now = asyncio.get_running_loop().time()
    rows = (AdmittedRow(account.id, 2, 2, 0),)
    state.shedder.set_admitted(1, {"s": rows}, now)
    for _ in range(4):
        state.shedder.record_load("s", Load(running, 0, 12), now)
    facts = CallerRequest("x", "h", "/", 5.0, "k", last_event_id, Prompt(1000, 10))
    attempt = Attempt(None, facts, None, ROUTE, account, "s", now + 5.0, set())
    counters = Counters()
    outcome = shed_request(state, attempt, work_s, counters)
    assert counters.snapshot() == ({"request.shed.r2.p2": 1} if outcome else {})
    return attempt, outcome


ACCOUNT = Account("a", ("k",), per_s=5.0, burst=5.0)


async def test_shed_request_is_answered_with_a_promise_and_a_wait():
    attempt, outcome = await shed(make_state(ACCOUNT), ACCOUNT)
    assert isinstance(outcome, Shed)
    cause, retry_after_s = choose_error(attempt, outcome)
    assert cause is ErrorCause.OVERLOADED
    assert 0 < retry_after_s <= 5.0 / 3


# Guards against streams that are cut for good because they are resumed in an overload.
async def test_resumed_stream_is_not_shed():
    assert (await shed(make_state(ACCOUNT), ACCOUNT, last_event_id="7"))[1] is None


async def test_nothing_is_shed_while_endpoints_have_free_slots():
    assert (await shed(make_state(ACCOUNT), ACCOUNT, running=5))[1] is None


# Guards against changes to deployments whose accounts have no quotas.
async def test_deployment_without_quotas_sheds_and_reports_nothing():
    account = Account("a", ("k",))
    state = make_state(account)
    assert (await shed(state, account))[1] is None
    assert state.shedder.list_offered(True, 1e9) is None


# Guards against requests without a known size, whose service has no engines.
async def test_request_without_work_is_not_shed():
    assert (await shed(make_state(ACCOUNT), ACCOUNT, work_s=0.0))[1] is None


@pytest.mark.parametrize("seed", range(3))
async def test_account_priority_takes_precedence(seed):
    account = Account("a", ("k",), priority=random.Random(seed).randrange(3, 9))
    state = make_state(Account("b", ("k2",), per_s=5.0))
    assert (await shed(state, account))[1] is None
    ((row,),) = [each.rows for each in state.shedder.list_offered(True, 0.0).values()]
    assert (row.rank, row.priority) == (account.priority, ROUTE.priority)
