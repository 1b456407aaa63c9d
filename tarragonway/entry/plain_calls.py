"""HTTP handlers of callers' calls to plain services."""

import asyncio
import secrets

from aiohttp import web

from tarragonway.claims import (
    Answer,
    BodyMismatch,
    ClaimCall,
    ClaimGranted,
    ClaimHeld,
    ClaimRecord,
    ClaimState,
    QueryCall,
    ResolveCall,
)
from tarragonway.control.client import ControlClient
from tarragonway.core.counters import Counters
from tarragonway.core.hashes import compute_fingerprint
from tarragonway.core.ids import (
    AccountId,
    AttemptId,
    CallKey,
    EndpointId,
    Incarnation,
    ProcessName,
    ServiceName,
)
from tarragonway.core.outcomes import Outcome, Refusal, RefusalReason
from tarragonway.endpoints import Endpoint
from tarragonway.entry.answers import (
    describe_record,
    make_answer_response,
    make_in_progress_response,
    make_not_run_response,
    make_record_response,
)
from tarragonway.entry.dispatch import Demand, Dispatcher
from tarragonway.entry.problems import make_problem_response, make_unknown_response
from tarragonway.entry.request_checks import RequestChecker
from tarragonway.entry.sender import (
    CallSender,
    MaybeExecuted,
    NotExecuted,
    PlainCall,
    SendResult,
)
from tarragonway.limits import ShareHolder
from tarragonway.lists import ServiceKind
from tarragonway.process.admin import make_json_response
from tarragonway.retries import RetryBudget
from tarragonway.settings.model import Limits, Timing

CLAIM_TIMEOUT_S = 2.5
RESOLVE_TIMEOUT_S = 60.0
# A claim's lease exceeds the call's timeout by this margin, because the call may be
# sent some seconds after its claim.
LEASE_MARGIN_MS = 10_000
CLAIM_POLL_DELAY_S = 0.1
MAX_CLAIM_POLL_DELAY_S = 1.0
MAX_KEY_LENGTH = 200

_FORWARDED_HEADERS = ("Accept", "Content-Type", "Accept-Language", "If-None-Match")
_RETRIED_STATUSES = frozenset({502, 503, 504})


class PlainCallHandler:
    """Handlers of ``/services/{service}/...`` and ``GET /v1/calls/{key}``.

    Parameters
    ----------
    own : ProcessName
        This process.
    incarnation : Incarnation
        Identifier of this start of the process.
    checker, shares, dispatcher, control
        Parts of the entry process.
    timing : Timing
        Settings for timeouts.
    limits : Limits
        Settings for sizes.
    counters : Counters
        Receives ``plain.*`` counters.
    """

    def __init__(
        self,
        own: ProcessName,
        incarnation: Incarnation,
        checker: RequestChecker,
        shares: ShareHolder,
        dispatcher: Dispatcher,
        control: ControlClient,
        timing: Timing,
        limits: Limits,
        counters: Counters,
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._checker = checker
        self._shares = shares
        self._dispatcher = dispatcher
        self._control = control
        self._timing = timing
        self._limits = limits
        self._counters = counters
        self._retry_budget = RetryBudget()
        self._sender = CallSender(timing.call_timeout_s)
        self._tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Cancel the background tasks."""
        for task in self._tasks:
            task.cancel()

    async def wait_idle(self) -> None:
        """Wait until no call runs and all results are recorded."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handle a call to a plain service."""
        call = await self._read_call(request)
        if isinstance(call, Refusal):
            return make_problem_response(call)
        key = request.headers.get("Idempotency-Key", "")
        repeatable = call.service.is_idempotent(call.method, call.path)
        if not repeatable:
            refusal = _check_key(key)
            if refusal is not None:
                return make_problem_response(refusal)
        refusal = await self._shares.admit(call.account)
        if refusal is not None:
            return make_problem_response(refusal)
        try:
            if repeatable:
                return await self._serve_repeatable(call)
            # The claim must be resolved even if the caller disconnects.
            task = asyncio.create_task(self._serve_once(call, CallKey(key)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return await asyncio.shield(task)
        finally:
            self._shares.release(call.account)

    async def get_status(self, request: web.Request) -> web.StreamResponse:
        """Handle a status query for an idempotency key.

        A key without a record is recorded as not run, so that it cannot be used later.
        """
        caller = self._checker.authenticate(request)
        if isinstance(caller, Refusal):
            return make_problem_response(caller)
        account = AccountId(caller.account.id)
        key = CallKey(request.match_info["key"])
        reply = await self._control.call(QueryCall(account, key), CLAIM_TIMEOUT_S)
        if not isinstance(reply, ClaimHeld):
            return make_problem_response(_refuse_without_control(Outcome.UNKNOWN))
        return make_json_response(describe_record(reply.record))

    async def _read_call(self, request: web.Request) -> PlainCall | Refusal:
        caller = self._checker.authenticate(request)
        if isinstance(caller, Refusal):
            return caller
        service = caller.find_service(request.match_info["service"])
        if isinstance(service, Refusal):
            return service
        if service.kind is not ServiceKind.PLAIN:
            detail = f"{service.name} is not a plain service"
            return Refusal(RefusalReason.BAD_REQUEST, detail)
        body = await self._checker.read_body(request)
        if isinstance(body, Refusal):
            return body
        headers = tuple(
            (name, request.headers[name])
            for name in _FORWARDED_HEADERS
            if name in request.headers
        )
        path = "/" + request.match_info["path"]
        query = request.rel_url.raw_query_string
        return PlainCall(caller, service, request.method, path, query, headers, body)

    # Calls that may be repeated

    async def _serve_repeatable(self, call: PlainCall) -> web.StreamResponse:
        self._retry_budget.deposit()
        deadline = asyncio.get_running_loop().time() + call.service.deadline_s
        avoid: frozenset[EndpointId] = frozenset()
        may_have_run = False
        while True:
            endpoint = await self._acquire(call, deadline, avoid)
            if isinstance(endpoint, Refusal):
                return _make_final_response(endpoint, may_have_run)
            result = await self._sender.send(call, endpoint)
            may_have_run |= not isinstance(result, NotExecuted)
            self._record_leaving(endpoint, result)
            succeeded = (
                isinstance(result, Answer) and result.status not in _RETRIED_STATUSES
            )
            self._dispatcher.release(endpoint.id, failed=not succeeded)
            if succeeded or not self._retry_budget.withdraw():
                break
            self._counters.increment("plain.retries")
            avoid |= {endpoint.id}
        match result:
            case Answer():
                return make_answer_response(result)
            case NotExecuted(reason) | MaybeExecuted(reason):
                detail = f"no endpoint of {call.service.name} answered: {reason}"
                refusal = Refusal(RefusalReason.NO_ENDPOINT, detail, 1.0)
                return _make_final_response(refusal, may_have_run)

    # Calls that run at most once

    async def _serve_once(self, call: PlainCall, key: CallKey) -> web.StreamResponse:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + call.service.deadline_s
        endpoint = await self._acquire(call, deadline, frozenset())
        if isinstance(endpoint, Refusal):
            return make_problem_response(endpoint)
        attempt = AttemptId(secrets.token_hex(12))
        claim_sent_at = loop.time()
        claim = await self._claim(call, key, attempt)
        if not isinstance(claim, ClaimGranted):
            self._dispatcher.release(endpoint.id)
            return await self._answer_unclaimed(call, key, attempt, claim)
        self._counters.increment("plain.claimed")
        result = await self._send_claimed(call, key, endpoint, claim_sent_at, deadline)
        state = _classify_result(result)
        answer = result if isinstance(result, Answer) else None
        await self._resolve(call, key, attempt, state, answer)
        match result:
            case Answer():
                return make_answer_response(result)
            case NotExecuted(reason):
                return make_not_run_response(f"no endpoint accepted the call: {reason}")
            case MaybeExecuted(reason):
                self._counters.increment("plain.unknown")
                return make_unknown_response(f"the call may have run: {reason}")

    async def _claim(self, call: PlainCall, key: CallKey, attempt: AttemptId) -> object:
        target = f"{call.service.name}\0{call.method}\0{call.path}\0{call.query}\0"
        fingerprint = compute_fingerprint(call.account, target.encode() + call.body)
        lease_ms = int(self._timing.call_timeout_s * 1000) + LEASE_MARGIN_MS
        command = ClaimCall(
            call.account,
            key,
            fingerprint,
            attempt,
            self._own,
            self._incarnation,
            lease_ms,
        )
        return await self._control.call(command, CLAIM_TIMEOUT_S)

    async def _send_claimed(
        self,
        call: PlainCall,
        key: CallKey,
        endpoint: Endpoint,
        claim_sent_at: float,
        deadline: float,
    ) -> SendResult:
        """Send a claimed call at most once.

        Another endpoint is tried only if the previous one cannot have run the call: no
        connection was opened, or it refused the call because it is leaving.
        """
        loop = asyncio.get_running_loop()
        avoid: frozenset[EndpointId] = frozenset()
        while True:
            # A process that was suspended after it requested the claim must not send:
            # the call could outlast the claim's lease.
            if loop.time() - claim_sent_at > self._timing.claim_send_limit_s:
                self._dispatcher.release(endpoint.id)
                return NotExecuted(
                    "the call was not sent within "
                    f"{self._timing.claim_send_limit_s:g} s of its claim"
                )
            result = await self._sender.send(call, endpoint, key)
            self._record_leaving(endpoint, result)
            failed = not isinstance(result, Answer)
            self._dispatcher.release(endpoint.id, failed)
            if not isinstance(result, NotExecuted):
                return result
            avoid |= {endpoint.id}
            limit = min(deadline, claim_sent_at + self._timing.claim_send_limit_s)
            other = await self._acquire(call, limit, avoid)
            if isinstance(other, Refusal):
                return result
            endpoint = other

    async def _answer_unclaimed(
        self, call: PlainCall, key: CallKey, attempt: AttemptId, claim: object
    ) -> web.StreamResponse:
        match claim:
            case ClaimHeld(record):
                self._counters.increment("plain.resends")
                return await self._answer_held(call, key, record)
            case BodyMismatch():
                detail = "the key was already used for a different call"
                return make_problem_response(
                    Refusal(RefusalReason.BODY_MISMATCH, detail)
                )
        # Control has not answered and may still grant the claim later. Record that the
        # call did not run: it was not sent and will not be.
        await self._resolve(call, key, attempt, ClaimState.NOT_RUN, None, wait=False)
        return make_problem_response(_refuse_without_control(Outcome.REFUSED))

    async def _answer_held(
        self, call: PlainCall, key: CallKey, record: ClaimRecord
    ) -> web.StreamResponse:
        """Poll until the attempt that holds the key has a result, and return it."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + call.service.deadline_s
        delay_s = CLAIM_POLL_DELAY_S
        while record.state is ClaimState.CLAIMED and loop.time() < deadline:
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_CLAIM_POLL_DELAY_S, delay_s * 2)
            command = QueryCall(call.account, key)
            reply = await self._control.call(command, CLAIM_TIMEOUT_S)
            if isinstance(reply, ClaimHeld):
                record = reply.record
        if record.state is ClaimState.CLAIMED:
            return make_in_progress_response()
        return make_record_response(record)

    async def _resolve(
        self,
        call: PlainCall,
        key: CallKey,
        attempt: AttemptId,
        state: ClaimState,
        answer: Answer | None,
        wait: bool = True,
    ) -> None:
        """Record the result of a claimed call.

        If control does not answer within :data:`CLAIM_TIMEOUT_S`, the recording
        continues in the background. An answer that is larger than the limit is not
        stored.
        """
        if answer is not None and len(answer.body) > self._limits.answer_bytes:
            answer = None
        command = ResolveCall(call.account, key, attempt, state, answer)
        task = asyncio.create_task(self._control.call(command, RESOLVE_TIMEOUT_S))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if wait:
            await asyncio.wait([task], timeout=CLAIM_TIMEOUT_S)

    # Calls of both kinds

    def _record_leaving(self, endpoint: Endpoint, result: SendResult) -> None:
        if isinstance(result, NotExecuted) and result.leaving:
            self._dispatcher.record_leaving(endpoint.id)

    async def _acquire(
        self, call: PlainCall, deadline: float, avoid: frozenset[EndpointId]
    ) -> Endpoint | Refusal:
        plan = call.caller.plan
        demand = Demand(
            ServiceName(call.service.name),
            call.account,
            plan.priority,
            plan.weight,
            deadline,
            "",
            avoid,
        )
        return await self._dispatcher.acquire(demand)


def _make_final_response(refusal: Refusal, may_have_run: bool) -> web.Response:
    """Return the refusal, unless an earlier send of the call may have run."""
    if may_have_run:
        return make_unknown_response(f"the call may have run: {refusal.detail}")
    return make_problem_response(refusal)


def _classify_result(result: SendResult) -> ClaimState:
    match result:
        case Answer():
            return ClaimState.DONE
        case NotExecuted():
            return ClaimState.NOT_RUN
        case MaybeExecuted():
            return ClaimState.UNKNOWN


def _check_key(key: str) -> Refusal | None:
    if not key:
        detail = "a call that may not be repeated needs an Idempotency-Key header"
        return Refusal(RefusalReason.MISSING_KEY, detail)
    if len(key) > MAX_KEY_LENGTH or not key.isprintable() or "/" in key:
        detail = f"the Idempotency-Key must have up to {MAX_KEY_LENGTH} characters, "
        return Refusal(RefusalReason.BAD_REQUEST, detail + "printable and without '/'")
    return None


def _refuse_without_control(outcome: Outcome) -> Refusal:
    detail = "the replicated state could not be reached"
    return Refusal(RefusalReason.NO_CONTROL, detail, 1.0, outcome)
