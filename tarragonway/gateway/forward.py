"""Forwarding of admitted requests: choice of endpoints, retries and final answer."""

import asyncio
from collections.abc import Callable, Collection

import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.ids import ServiceName
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import ResponseInfo
from tarragonway.gateway.admission import Admission, count_units
from tarragonway.gateway.attempt import (
    Answered,
    Attempt,
    Broken,
    Limited,
    NotContinued,
    Overloaded,
    Paused,
    Refused,
    SendFailed,
    SendOutcome,
    Streamed,
    Unsent,
    VersionUnregistered,
)
from tarragonway.gateway.choice import EndpointChooser
from tarragonway.gateway.content_reports import ContentReports, EndpointReporter
from tarragonway.gateway.delay_checks import is_overloaded, may_wait
from tarragonway.gateway.error_responses import (
    end_failed_response,
    send_error_response,
)
from tarragonway.gateway.estimates import Choice
from tarragonway.gateway.final_errors import (
    choose_error,
    choose_handler_error,
    is_endpoint_failure,
    is_false_promise,
)
from tarragonway.gateway.hedged_send import HedgedSender
from tarragonway.gateway.limit_guard import LimitGuard
from tarragonway.gateway.measurements import AnswerMeasurements
from tarragonway.gateway.offered_load import OfferedLoadMeter
from tarragonway.gateway.origin_guard import OriginGuard
from tarragonway.gateway.part_evidence import PartEvidence
from tarragonway.gateway.part_guard import PartGuard
from tarragonway.gateway.resumption import StreamResumption
from tarragonway.gateway.rollout_records import RolloutRecords
from tarragonway.gateway.selection import EndpointSelector
from tarragonway.gateway.self_reports import SelfReports
from tarragonway.gateway.sender import Codec, Sender
from tarragonway.gateway.shedding import compute_rank, shed_request
from tarragonway.gateway.state import GatewayState
from tarragonway.gateway.usage import UsageCounter
from tarragonway.http1 import ConnectionPool, Request, ResponseWriter
from tarragonway.node.settings import HedgingSettings
from tarragonway.retries.budget import RetryBudget
from tarragonway.routes.model import EngineTraits, Repeatability
from tarragonway.routing.engine_speed import EngineSpeeds
from tarragonway.routing.notices import EndpointNotices

# Number of endpoints to which a request may fail to connect before it is given up.
MAX_FAILED_CONNECTS = 3
MAX_LOGGED_PARTS = 16
# Misdirected Request: another endpoint has the address now (RFC 9110, section 15.5.20).
STATUS_MISDIRECTED = 421
# Why a request was not sent although endpoints are listed.
REFUSALS = Limited | Paused | VersionUnregistered

_log = structlog.get_logger()


class Forwarder:
    """Forwards callers' requests to endpoints and answers them.

    Parameters
    ----------
    state : GatewayState
        Configuration and endpoints in force.
    admission : Admission
        Decides which requests may be sent.
    usage : UsageCounter
        Counts the requests that began to run.
    offered_load : OfferedLoadMeter
        Measures the work that is sent to services.
    speeds : EngineSpeeds
        Learns the speed of the services' engines from their answers.
    chooser : EndpointChooser
        Chooses endpoints.
    make_budget : callable
        Returns a new retry budget; called once for each service.
    reporter : EndpointReporter
        Receives crash reports, cleared suspects and endpoints that leave.
    guard : PartGuard
        Keeps requests with held prompt parts from endpoints.
    limit_guard : LimitGuard
        Keeps sends to endpoints within the request limits that they state.
    origins : OriginGuard
        Records and finds the versions that began streams.
    codec : Codec
        Decodes and encodes requests and answers for the platform.
    counters : Counters
        Receives ``request.*`` counters.
    hedging : HedgingSettings, optional
        Limit of hedged requests, which are off by default.
    """

    def __init__(
        self,
        state: GatewayState,
        admission: Admission,
        usage: UsageCounter,
        offered_load: OfferedLoadMeter,
        speeds: EngineSpeeds,
        chooser: EndpointChooser,
        make_budget: Callable[[], RetryBudget],
        reporter: EndpointReporter,
        guard: PartGuard,
        limit_guard: LimitGuard,
        origins: OriginGuard,
        codec: Codec,
        counters: Counters,
        hedging: HedgingSettings | None = None,
    ) -> None:
        self._state = state
        self._admission = admission
        self._usage = usage
        self._offered_load = offered_load
        self._chooser = chooser
        self._measurements = AnswerMeasurements(speeds, chooser, counters)
        self._make_budget = make_budget
        self._content_reports = ContentReports(state, reporter)
        self._guard = guard
        self._evidence = PartEvidence(guard)
        self._limit_guard = limit_guard
        self._resumption = StreamResumption(state, origins, counters)
        self._codec = codec
        self._counters = counters
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self.pool = ConnectionPool(counters)
        self._notices = EndpointNotices()
        self._rollouts = RolloutRecords(state)
        self._self_reports = SelfReports(
            state, self._notices, reporter.report_leaving, counters
        )
        self._selector = EndpointSelector(
            state,
            chooser,
            self.pool,
            limit_guard,
            self._notices,
            offered_load,
            origins.list_beginnable,
            counters,
        )
        self._sender = Sender(self.pool, codec, self)
        self._hedged_sender: HedgedSender | None = None
        if hedging is not None and hedging.fraction > 0:
            self._hedged_sender = HedgedSender(
                hedging, state, chooser, self._selector, guard, limit_guard,
                self._send, counters,
            )  # fmt: skip

    async def handle(self, request: Request, writer: ResponseWriter) -> None:
        """Admit one request, forward it and answer it."""
        attempt = None
        try:
            facts = self._codec.decode_request(request)
            attempt = await self._admission.admit(request, facts, writer)
            if attempt is not None:
                await self._handle_admitted(attempt)
        except Exception:
            self._counters.increment("request.handler_failed")
            _log.exception("request handler failed", target=request.target)
            end_failed_response(writer, *choose_handler_error(attempt))
            if attempt is not None and not attempt.may_have_run:
                self._admission.refund_quota(attempt)

    async def _handle_admitted(self, attempt: Attempt) -> None:
        started = asyncio.get_running_loop().time()
        try:
            await self._run(attempt)
        except asyncio.CancelledError:
            self._log_end(attempt, "caller_left", started)
            raise
        finally:
            if attempt.probe is not None:
                self._guard.end_probe(attempt.probe)

    # Notifications from the sender

    def handle_response_info(
        self, attempt: Attempt, endpoint: ListedEndpoint, info: ResponseInfo
    ) -> None:
        """Record what an endpoint states of itself."""
        self._self_reports.record(endpoint, info)
        now = asyncio.get_running_loop().time()
        if info.load is not None:
            self._measurements.record_load(endpoint, info.load, now)
            self._state.shedder.record_load(endpoint.service, info.load, now)
        self._limit_guard.record_answer(endpoint, info.limits, attempt.sent_at, now)

    def handle_sent(self, attempt: Attempt) -> None:
        """Count the request as sent to its endpoint's version."""
        self._rollouts.record_sent(attempt)
        if self._hedged_sender is not None:
            self._hedged_sender.record_sent(attempt)

    def handle_running(self, attempt: Attempt) -> None:
        """Record that the endpoint began to answer, and count the request once."""
        now = asyncio.get_running_loop().time()
        if attempt.choice is not None:
            self._measurements.record_first_event(attempt, attempt.choice, now)
            self._rollouts.record_first_part(attempt, (now - attempt.sent_at) * 1000)
            self._notices.record_began(attempt.choice.endpoint.key)
            attempt.choice = None
        self._evidence.record_data(attempt, now)
        if attempt.usage_counted:
            return
        attempt.usage_counted = True
        if attempt.race is not None and not attempt.race.claim_usage():
            return
        if attempt.account_id:
            self._usage.count(attempt.account_id, self._state.clock.now())

    def handle_first_event(self, attempt: Attempt, endpoint: ListedEndpoint) -> None:
        """Bind the stream to the version that begins it."""
        if self._hedged_sender is not None:
            self._hedged_sender.record_first_event(attempt)
        self._resumption.record_first_event(attempt, endpoint)

    def forget_unlisted(self, keys: Collection[str]) -> None:
        """Remove the state of endpoints whose key is not in ``keys``."""
        self.pool.prune(keys)
        self._notices.retain(keys)

    def make_hedging_dump(self) -> dict[str, object]:
        """Return the state of hedged requests, empty if they are off."""
        return self._hedged_sender.make_dump() if self._hedged_sender else {}

    # Sends

    async def _run(self, attempt: Attempt) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        outcome: SendOutcome | None = await self._resumption.bind(attempt)
        if outcome is not None:
            await self._finish(attempt, outcome)
            self._log_end(attempt, type(outcome).__name__.lower(), started)
            return
        budget = self._get_budget(attempt.service)
        budget.deposit()
        engine = self._find_engine(attempt.service)
        work_s = self._offered_load.add(
            attempt.service, attempt.facts.prompt, engine.slots if engine else 1
        )
        self._selector.record_request(attempt.service, work_s)
        outcome = shed_request(self._state, attempt, work_s, self._counters)
        while outcome is None or attempt.tried:
            choice = await self._selector.select(attempt, work_s)
            if isinstance(choice, Paused) and may_wait(attempt, choice, loop.time()):
                await asyncio.sleep(choice.return_s)
                continue
            if isinstance(choice, REFUSALS) and isinstance(outcome, Refused | None):
                outcome = choice
            if not isinstance(choice, Choice):
                if attempt.origin is not None:
                    outcome = self._resumption.explain_failure(attempt, outcome)
                break
            if outcome is None and is_overloaded(attempt, choice, loop.time()):
                outcome = Overloaded(choice.delay_ms)
                break
            attempt.tried.add(choice.endpoint.key)
            previous = outcome
            outcome = await self._send_once_or_hedged(attempt, choice, budget)
            if isinstance(previous, Answered) and not isinstance(outcome, Answered):
                outcome = previous
            if not self._may_retry(attempt, outcome, budget):
                break
            self._counters.increment("request.sent_again")
        self._record_refused(attempt, work_s)
        await self._finish(attempt, outcome)
        self._log_end(attempt, type(outcome).__name__.lower(), started)

    def _record_refused(self, attempt: Attempt, work_s: float) -> None:
        """Record the work of a request that no endpoint began."""
        if not attempt.usage_counted:
            self._offered_load.add_refused(attempt.service, work_s)

    async def _send_once_or_hedged(
        self, attempt: Attempt, choice: Choice, budget: RetryBudget
    ) -> SendOutcome:
        if self._hedged_sender is None:
            return await self._send(attempt, choice)
        return await self._hedged_sender.send(attempt, choice, budget)

    async def _send(self, attempt: Attempt, choice: Choice) -> SendOutcome:
        loop = asyncio.get_running_loop()
        endpoint = choice.endpoint
        self._chooser.record_send(choice)
        attempt.choice, attempt.sent_at, attempt.began_at = choice, loop.time(), None
        if attempt.resumed_id is not None or attempt.facts.resumes_stream:
            _log.info(
                "stream is resumed at an endpoint",
                attempt=attempt.facts.attempt,
                resumed_attempt=attempt.facts.resumed_attempt,
                last_event_id=attempt.resumed_id,
                endpoint=endpoint.platform_id,
                version=endpoint.version,
                version_before=attempt.version,
            )
        attempt.version = endpoint.version
        attempt.load_at_send = self._chooser.get_load(endpoint.key) - 1
        attempt.endpoint, attempt.estimated_ms = endpoint.platform_id, choice.delay_ms
        failed = False
        result: SendOutcome | None = None
        self._rollouts.record_start(attempt, endpoint)
        try:
            outcome = result = await self._sender.send(
                attempt, endpoint, self._get_priority(attempt)
            )
            misdirected = (
                isinstance(outcome, Refused) and outcome.status == STATUS_MISDIRECTED
            )
            failed = misdirected or is_endpoint_failure(outcome)
        finally:
            began = attempt.choice is None
            self._chooser.record_completion(choice, began, failed, loop.time())
            self._rollouts.record_end(attempt, endpoint, result, loop.time())
        self._content_reports.report(attempt, outcome, endpoint)
        self._evidence.record_outcome(attempt, outcome, endpoint.key)
        if isinstance(outcome, Broken):
            attempt.broken.add(endpoint.key)
        if isinstance(outcome, Refused):
            self._notices.record_refusal(endpoint.key, loop.time())
        engine = self._find_engine(attempt.service)
        self._measurements.record_outcome(attempt, choice, outcome, engine, loop.time())
        if isinstance(outcome, SendFailed):
            self._counters.increment("request.send_failed")
        if misdirected or isinstance(outcome, Unsent | SendFailed):
            self._chooser.record_unreachable(endpoint.key, loop.time())
        if not isinstance(outcome, Answered | Streamed):
            _log.info(
                "send failed",
                attempt=attempt.facts.attempt,
                endpoint=endpoint.platform_id,
                address=endpoint.address,
                version=endpoint.version,
                outcome=repr(outcome),
                began=began,
                parts=attempt.shared_parts[:MAX_LOGGED_PARTS],
                parts_count=len(attempt.shared_parts),
                sends=attempt.sends,
                list_age_s=round(self._compute_list_age(), 2),
            )
        return outcome

    def _find_engine(self, service: ServiceName) -> EngineTraits | None:
        table = self._state.table
        known = table.services.get(service) if table else None
        return known.engine if known is not None else None

    def _may_retry(
        self, attempt: Attempt, outcome: SendOutcome, budget: RetryBudget
    ) -> bool:
        """Return whether the outcome, the route and the retry budget allow a resend.

        A send that reached no endpoint is not charged to the retry budget. A request
        whose prompt parts have been held meanwhile is not sent any more.
        """
        route = attempt.route
        if attempt.probe is None and self._guard.has_held(attempt.shared_parts):
            return False
        match outcome:
            case Unsent() | SendFailed(was_sent=False):
                return len(attempt.tried) < MAX_FAILED_CONNECTS + attempt.sends
            case Refused():
                retryable = True
            case Broken() | NotContinued() | SendFailed():
                retryable = route.is_repeatable
            case Answered(head):
                retryable = route.repeatability is Repeatability.SAFE
                retryable = retryable and head.status >= 500
            case _:
                return False
        attempts_left = attempt.sends < route.max_attempts
        return retryable and attempts_left and budget.withdraw()

    async def _finish(self, attempt: Attempt, outcome: SendOutcome | None) -> None:
        """End the response: with the endpoint's answer, an error response, or a reset.

        A response that has been started cannot change its status any more, so it is
        aborted, which the caller sees as an incomplete answer.
        """
        writer = attempt.writer
        if writer.finished:
            return
        if writer.started:
            writer.abort()
            return
        if isinstance(outcome, Answered) and not is_false_promise(attempt, outcome):
            headers = self._codec.drop_hop_by_hop_headers(outcome.head)
            await writer.send(outcome.head.status, headers, outcome.body)
            return
        if isinstance(outcome, Refused):
            outcome = self._selector.find_common_pause(attempt.service) or outcome
        cause, retry_after_s = choose_error(attempt, outcome)
        self._counters.increment(f"request.failed.{cause.reason}")
        if not attempt.may_have_run:
            self._admission.refund_quota(attempt)
        await send_error_response(writer, cause, retry_after_s)

    def _get_budget(self, service: ServiceName) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = self._make_budget()
        return self._budgets[service]

    def _get_priority(self, attempt: Attempt) -> int | None:
        if not attempt.route.prompt_affinity:
            return None
        return compute_rank(attempt.route, attempt.account)

    def _compute_list_age(self) -> float:
        return asyncio.get_running_loop().time() - self._state.list_current_at

    def _log_end(self, attempt: Attempt, outcome: str, started: float) -> None:
        taken_ms = (asyncio.get_running_loop().time() - started) * 1000
        self._counters.increment(f"request.{outcome}")
        self._counters.record_ms(
            f"request.{attempt.route.repeatability.value}", taken_ms
        )
        _log.info(
            "request ended",
            attempt=attempt.facts.attempt,
            account=attempt.account_id,
            units=count_units(attempt.account, attempt.facts) if attempt.account else 0,
            route=attempt.route.name,
            outcome=outcome,
            sends=attempt.sends,
            endpoint=attempt.endpoint,
            version=attempt.version,
            resumed_attempt=attempt.facts.resumed_attempt,
            foreseen_ms=round(attempt.estimated_ms, 1),
            taken_ms=round(taken_ms, 1),
            list_age_s=round(self._compute_list_age(), 2),
            revision=self._state.revision,
        )
