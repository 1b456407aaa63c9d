"""Admission of requests: routes, keys, drain, quarantine and quotas."""

import asyncio
import math
import random

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.hashes import compute_fingerprint
from tarragonway.core.ids import AccountId, Fingerprint, PartId
from tarragonway.exchange import CallerRequest
from tarragonway.gateway.attempt import Attempt, list_compared_parts
from tarragonway.gateway.error_responses import (
    DEFAULT_RETRY_AFTER_S,
    ErrorCause,
    send_error_response,
)
from tarragonway.gateway.part_guard import PartGuard, Probe, ProbeDenied
from tarragonway.gateway.quota import QuotaClient
from tarragonway.gateway.state import GatewayState
from tarragonway.http1 import Request, ResponseWriter
from tarragonway.routes.model import Account, Route
from tarragonway.routes.table import RouteTable, select_service

# Longest wait for the first configuration and endpoint list after the process starts.
START_TIMEOUT_S = 0.8
# Fraction of the route's latency objective that a request may wait for quota before
# it is refused.
QUOTA_WAIT_FRACTION = 1 / 8
# Timeout of a request whose caller states none; the route's own timeout applies too.
DEFAULT_TIMEOUT_S = 60.0
# Longer times until a deadline make no difference to the leader; operators may state
# timeouts that no message can carry.
MAX_TIME_LEFT_S = 3600.0

_log = structlog.get_logger()


class Admitted(msgspec.Struct, frozen=True):
    """Route and client account of a request that may be sent.

    ``probe`` is the right to send its held prompt parts, if it has any.
    """

    route: Route
    account: Account | None
    probe: Probe | None = None


class GatewayRefusal(msgspec.Struct, frozen=True):
    """Refusal of a request that the gateway answers without an endpoint.

    ``retry_after_s`` is sent to the caller unless it is None. ``account`` and ``units``
    describe the quota that was exceeded, ``held_parts`` are the prompt parts that must
    not be sent.
    """

    cause: ErrorCause
    retry_after_s: float | None = None
    account: Account | None = None
    units: float = 0.0
    held_parts: tuple[PartId, ...] = ()


class Admission:
    """Decides whether a request may be sent, and answers refused requests.

    Parameters
    ----------
    state : GatewayState
        Configuration in force, quarantined content and drain state.
    guard : PartGuard
        Keeps requests with held prompt parts from endpoints.
    quota : QuotaClient
        Admits requests within the quotas of client accounts.
    counters : Counters
        Receives ``request.refused.*`` counters.
    """

    def __init__(
        self,
        state: GatewayState,
        guard: PartGuard,
        quota: QuotaClient,
        counters: Counters,
    ) -> None:
        self._state = state
        self._guard = guard
        self._quota = quota
        self._counters = counters
        self._random = random.Random()

    def refund_quota(self, attempt: Attempt) -> None:
        """Return the quota units of a request that did not run to its account."""
        if attempt.account is not None and not attempt.refunded:
            attempt.refunded = True
            units = count_units(attempt.account, attempt.facts)
            self._quota.refund(attempt.account, units)

    async def admit(
        self, request: Request, facts: CallerRequest, writer: ResponseWriter
    ) -> Attempt | None:
        """Return the admitted attempt, or answer with a refusal and return None."""
        await self._state.wait_complete(START_TIMEOUT_S)
        decision = self._check_request(request, facts)
        if isinstance(decision, Admitted):
            decision = await self._check_parts(decision, facts)
        if isinstance(decision, Admitted):
            decision = await self._take_quota(decision, request, facts)
        if isinstance(decision, GatewayRefusal):
            await self._refuse(writer, facts, decision)
            return None
        route = decision.route
        deadline = compute_deadline(route, request, facts)
        service = select_service(route, self._random)
        return Attempt(
            request,
            facts,
            writer,
            route,
            decision.account,
            service,
            deadline,
            set(),
            probe=decision.probe,
        )

    def _check_request(
        self, request: Request, facts: CallerRequest
    ) -> Admitted | GatewayRefusal:
        """Check a request against everything except its quota."""
        table = self._state.table
        if table is None:
            return GatewayRefusal(ErrorCause.NO_CONFIGURATION, DEFAULT_RETRY_AFTER_S)
        route = table.find_route(facts.host, facts.path)
        if route is None:
            return GatewayRefusal(ErrorCause.NO_ROUTE)
        account = self._find_account(table, route, facts)
        if account is None and table.has_accounts and not route.public:
            return GatewayRefusal(ErrorCause.UNKNOWN_KEY)
        if self._arrived_after_intake(request):
            return GatewayRefusal(ErrorCause.STOPPING, DEFAULT_RETRY_AFTER_S)
        if not self._state.knows_held_parts:
            return GatewayRefusal(ErrorCause.QUARANTINE_UNKNOWN, DEFAULT_RETRY_AFTER_S)
        if self._is_quarantined(request, account):
            return GatewayRefusal(ErrorCause.QUARANTINED)
        return Admitted(route, account)

    async def _check_parts(
        self, admitted: Admitted, facts: CallerRequest
    ) -> Admitted | GatewayRefusal:
        """Check the prompt against held parts, which need a probe."""
        parts = list_compared_parts(facts)
        if not parts:
            return admitted
        if not self._guard.has_held(parts):
            return admitted
        match await self._guard.request_probe(parts):
            case ProbeDenied(wait_s):
                held = tuple(sorted(self._guard.held.intersection(parts)))
                return GatewayRefusal(ErrorCause.QUARANTINED, wait_s, held_parts=held)
            case Probe() as probe:
                return msgspec.structs.replace(admitted, probe=probe)

    def _find_account(
        self, table: RouteTable, route: Route, facts: CallerRequest
    ) -> Account | None:
        if not table.has_accounts or facts.api_key is None:
            return None
        return table.find_account(facts.api_key)

    def _arrived_after_intake(self, request: Request) -> bool:
        ends_at = self._state.intake_ends_at
        return ends_at is not None and request.arrived_s >= ends_at

    def _is_quarantined(self, request: Request, account: Account | None) -> bool:
        state = self._state
        if not state.quarantined and not state.held_contents:
            return False
        fingerprint = make_fingerprint(request, account)
        return fingerprint in state.quarantined or fingerprint in state.held_contents

    async def _take_quota(
        self, admitted: Admitted, request: Request, facts: CallerRequest
    ) -> Admitted | GatewayRefusal:
        account = admitted.account
        if account is None:
            return admitted
        units = count_units(account, facts)
        max_wait_s = admitted.route.latency_objective_s * QUOTA_WAIT_FRACTION
        deadline = compute_deadline(admitted.route, request, facts)
        time_left_s = deadline - asyncio.get_running_loop().time()
        time_left_s = max(0.0, min(MAX_TIME_LEFT_S, time_left_s))
        priority = admitted.route.priority
        wait_s = math.inf
        try:
            wait_s = await self._quota.admit(
                account, units, max_wait_s, priority, time_left_s
            )
        finally:
            if wait_s > 0 and admitted.probe is not None:
                self._guard.end_probe(admitted.probe)
        if wait_s <= 0:
            return admitted
        return GatewayRefusal(ErrorCause.QUOTA, wait_s, account, units)

    async def _refuse(
        self,
        writer: ResponseWriter,
        facts: CallerRequest,
        refusal: GatewayRefusal,
    ) -> None:
        cause = refusal.cause
        self._counters.increment(f"request.refused.{cause.reason}")
        _log.info(
            "request refused",
            attempt=facts.attempt,
            path=facts.path,
            cause=cause.reason,
            retry_after_s=refusal.retry_after_s,
            account=refusal.account.id if refusal.account else "",
            quota_per_s=refusal.account.per_s if refusal.account else 0,
            units=refusal.units,
            held_parts=refusal.held_parts,
            revision=self._state.revision,
        )
        await send_error_response(writer, cause, refusal.retry_after_s)


def compute_deadline(route: Route, request: Request, facts: CallerRequest) -> float:
    """Return when a request's answer is due, on the clock of the event loop."""
    timeout_s = facts.timeout_s or DEFAULT_TIMEOUT_S
    return request.arrived_s + min(timeout_s, route.timeout_s)


def count_units(account: Account, facts: CallerRequest) -> float:
    """Return the units that a request counts against its client account's quota.

    Returns
    -------
    float
        Tokens if the account's quota is in tokens, else 1. A request without a known
        size counts the account's ``default_units``.
    """
    if not account.counts_tokens:
        return 1.0
    if facts.prompt is None:
        return account.default_units
    return float(facts.prompt.tokens)


def make_fingerprint(request: Request, account: Account | None) -> Fingerprint:
    """Return the fingerprint that identifies a request's content in quarantine.

    It covers the client account, the method, the target and the body.
    """
    owner = account.id if account else AccountId("")
    head = f"{request.method} {request.target}\n".encode()
    return compute_fingerprint(owner, head + request.body)
