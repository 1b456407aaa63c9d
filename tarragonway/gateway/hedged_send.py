"""Sends of late requests to a second endpoint, of which one answers the caller.

Load pattern: see :mod:`tarragonway.hedging`.
"""

import asyncio
import copy
import random
from collections.abc import Awaitable, Callable

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.gateway.admission import make_fingerprint
from tarragonway.gateway.attempt import (
    Answered,
    Attempt,
    SendFailed,
    SendOutcome,
)
from tarragonway.gateway.choice import EndpointChooser
from tarragonway.gateway.estimates import Choice
from tarragonway.gateway.hedge_outcomes import is_good, rank_failure
from tarragonway.gateway.limit_guard import LimitGuard
from tarragonway.gateway.part_guard import PartGuard
from tarragonway.gateway.race import Race
from tarragonway.gateway.selection import EndpointSelector
from tarragonway.gateway.state import GatewayState
from tarragonway.hedging import (
    EndpointFigures,
    HedgeBudget,
    HedgeDelays,
    HedgeDenial,
    HedgedRequest,
    check_request,
    may_hedge,
)
from tarragonway.node.settings import HedgingSettings
from tarragonway.retries.budget import RetryBudget

# What the attempt takes over from the send whose outcome counts.
WINNER_FIELDS = (
    "last_event_id", "empty_continuations", "choice", "sent_at", "endpoint", "version",
    "estimated_ms", "load_at_send", "origin",
)  # fmt: skip

# Endpoints that are examined for an extra send, and those of them that are compared.
# They bound the time of the decision.
MAX_EXAMINED = 8
MAX_CANDIDATES = 2

_log = structlog.get_logger()


class _Send(msgspec.Struct):
    attempt: Attempt
    choice: Choice
    task: "asyncio.Task[SendOutcome]"
    sends_before: int


class _Second(msgspec.Struct, frozen=True):
    """An endpoint for an extra send, and the figures that decided for it."""

    attempt: Attempt
    choice: Choice
    first: EndpointFigures
    second: EndpointFigures


class HedgedSender:
    """Sends requests, and late ones to a second endpoint as well.

    Parameters
    ----------
    settings : HedgingSettings
        Limit of extra sends, and the quantile beyond which a request is late.
    state : GatewayState
        Rollouts and suspected contents.
    chooser : EndpointChooser
        Loads and paces of endpoints.
    selector : EndpointSelector
        Selects the second endpoint.
    guard : PartGuard
        Held prompt parts.
    limit_guard : LimitGuard
        Request limits of endpoints.
    send : callable
        Sends an attempt to the chosen endpoint and records the send.
    counters : Counters
        Receives ``hedge.*`` counters.
    """

    def __init__(
        self,
        settings: HedgingSettings,
        state: GatewayState,
        chooser: EndpointChooser,
        selector: EndpointSelector,
        guard: PartGuard,
        limit_guard: LimitGuard,
        send: Callable[[Attempt, Choice], Awaitable[SendOutcome]],
        counters: Counters,
    ) -> None:
        self._settings = settings
        self._state = state
        self._chooser = chooser
        self._selector = selector
        self._guard = guard
        self._limit_guard = limit_guard
        self._send_once = send
        self._counters = counters
        self.budget = HedgeBudget(settings.fraction, settings.window_s)
        self.delays = HedgeDelays(settings.quantile)

    def record_sent(self, attempt: Attempt) -> None:
        """Count a send that is not an extra one."""
        if attempt.race is None or not attempt.race.is_extra(attempt):
            now = asyncio.get_running_loop().time()
            self.budget.record_send(attempt.service, now)

    def record_first_event(self, attempt: Attempt) -> None:
        """Record the time until the first event of a stream."""
        if attempt.resumed_id is None:
            self._record_time(attempt)

    def make_dump(self) -> dict[str, object]:
        """Return limit, counts and delays for the state dump."""
        now = asyncio.get_running_loop().time()
        return {
            "fraction": self._settings.fraction,
            "window_s": self._settings.window_s,
            "services": self.budget.make_dump(now),
            "routes": self.delays.make_dump(),
        }

    async def send(
        self, attempt: Attempt, choice: Choice, budget: RetryBudget
    ) -> SendOutcome:
        """Send the attempt, to a second endpoint too if it is late there.

        Parameters
        ----------
        attempt : Attempt
            The request.
        choice : Choice
            Endpoint of the first send.
        budget : RetryBudget
            Retry budget of the service, from which an extra send withdraws.
        """
        delay_ms = self.find_delay_ms(attempt, choice)
        if isinstance(delay_ms, HedgeDenial):
            self._count_denial(delay_ms)
            return await self._send_recorded(attempt, choice)
        return await self._race(attempt, choice, delay_ms, budget)

    def find_delay_ms(self, attempt: Attempt, choice: Choice) -> float | HedgeDenial:
        """Return when the send counts as late, or why it is not hedged in any case."""
        denial = check_request(self._describe(attempt, attempt.sends + 1))
        if denial is not None:
            return denial
        now = asyncio.get_running_loop().time()
        route = attempt.route.name
        delay_ms = self.delays.find_delay_ms(route, choice.delay_ms, now)
        if delay_ms is None:
            return HedgeDenial.NO_SAMPLES
        is_in_time = now + delay_ms / 1000 < attempt.deadline
        return delay_ms if is_in_time else HedgeDenial.DEADLINE

    async def _race(
        self,
        attempt: Attempt,
        choice: Choice,
        delay_ms: float,
        budget: RetryBudget,
    ) -> SendOutcome:
        may_have_run, sends = attempt.may_have_run, attempt.sends
        race = attempt.race = Race()
        first = self._start(attempt, choice, race)
        extra: _Send | None = None
        used = first
        try:
            await asyncio.wait({first.task}, timeout=delay_ms / 1000)
            # An answer that has begun is not late.
            if not first.task.done() and attempt.choice is not None:
                second = self.find_second(attempt, choice, sends, budget)
                if second is not None:
                    second.attempt.may_have_run = may_have_run
                    extra = self._start_extra(attempt, second, race, delay_ms)
            if extra is None:
                return await first.task
            used = await self._await_winner(race, first, extra)
            return await used.task
        finally:
            await _cancel([first, extra])
            attempt.race = None
            self._record_cancelled(first, delay_ms)
            if extra is not None:
                self._end_hedge(first, extra, used)

    def _start(self, attempt: Attempt, choice: Choice, race: Race) -> _Send:
        task = asyncio.create_task(self._run(attempt, choice, race))
        race.add(attempt, task)
        return _Send(attempt, choice, task, attempt.sends)

    async def _run(self, attempt: Attempt, choice: Choice, race: Race) -> SendOutcome:
        sends = attempt.sends
        try:
            outcome = await self._send_recorded(attempt, choice)
        except Exception as error:
            # The other send may still answer the caller.
            _log.exception("send of a hedged request failed with an unexpected error")
            outcome = SendFailed(repr(error), attempt.sends > sends)
        if is_good(outcome):
            race.claim(attempt)
        return outcome

    async def _send_recorded(self, attempt: Attempt, choice: Choice) -> SendOutcome:
        """Send the attempt, and record the time of a whole answer that is no stream."""
        outcome = await self._send_once(attempt, choice)
        if isinstance(outcome, Answered) and outcome.head.status < 500:
            self._record_time(attempt)
        return outcome

    def find_second(
        self,
        attempt: Attempt,
        choice: Choice,
        sends_before: int,
        budget: RetryBudget,
    ) -> _Second | None:
        """Return the endpoint for an extra send, None if it is denied.

        ``sends_before`` is the number of the request's sends before the late one.
        """
        now = asyncio.get_running_loop().time()
        request = self._describe(attempt, sends_before + 1, is_late=True)
        time_left_ms = (attempt.deadline - now) * 1000
        objective_ms = attempt.route.latency_objective_s * 1000
        has_budget = self.budget.may_send_extra(attempt.service, now)
        endpoint = choice.endpoint
        first = EndpointFigures(
            choice.delay_ms,
            self._chooser.get_load(endpoint.key) - 1,
            endpoint.slots,
            self._chooser.paces.get_pace(endpoint.key, now),
        )
        second: _Second | None = None
        if has_budget and check_request(request) is None:
            second = self._select(attempt, first)
        figures = second.second if second is not None else None
        denial = may_hedge(
            request, first, figures, objective_ms, time_left_ms, has_budget
        )
        if denial is None and not budget.withdraw():
            denial = HedgeDenial.RETRY_BUDGET
        if denial is not None:
            self._count_denial(denial)
            return None
        return second

    def _select(self, attempt: Attempt, first: EndpointFigures) -> _Second | None:
        """Return the best of a few endpoints that are neither slower nor fuller."""
        now = asyncio.get_running_loop().time()
        suitable = self._draw_suitable(attempt, first, now)
        if not suitable:
            return None
        rows = self._state.endpoints.rows
        second = copy.copy(attempt)
        second.choice = second.rollout_send = second.routed = None
        selected = self._selector.select_among(second, [rows[key] for key in suitable])
        if selected is None:
            return None
        endpoint = selected.endpoint
        load, pace = suitable[endpoint.key]
        figures = EndpointFigures(selected.delay_ms, load, endpoint.slots, pace)
        return _Second(second, selected, first, figures)

    def _draw_suitable(
        self, attempt: Attempt, first: EndpointFigures, now: float
    ) -> dict[str, tuple[float, float]]:
        """Return load and pace of a few endpoints that are neither slower nor fuller.

        The endpoints are returned by key.
        """
        rows = self._draw(attempt)
        loads = self._chooser.list_loads([row.key for row in rows])
        get_pace = self._chooser.paces.get_pace
        fill, pace = first.fill, first.pace
        suitable = {}
        for row, load in zip(rows, loads, strict=True):
            if (
                load + 1 <= row.slots
                and load <= fill * row.slots
                and (own_pace := get_pace(row.key, now)) <= pace
                and not self._chooser.is_unhealthy(row.key, now)
            ):
                suitable[row.key] = load, own_pace
                if len(suitable) == MAX_CANDIDATES:
                    break
        return suitable

    def _draw(self, attempt: Attempt) -> list[ListedEndpoint]:
        """Return endpoints of the service that follow each other in the list.

        The first is drawn at random, so that gateways do not all choose the same ones.
        """
        service, tried = attempt.service, attempt.tried
        listed = list(self._state.endpoints.rows.values())
        start = random.randrange(len(listed)) if listed else 0
        drawn = []
        for index in range(start - len(listed), start):
            row = listed[index]
            if row.service == service and row.key not in tried:
                drawn.append(row)
                if len(drawn) == MAX_EXAMINED:
                    break
        return drawn

    def _start_extra(
        self, attempt: Attempt, second: _Second, race: Race, delay_ms: float
    ) -> _Send:
        now = asyncio.get_running_loop().time()
        self.budget.record_extra_send(attempt.service, now)
        self._counters.increment("hedge.sent")
        attempt.hedged = second.attempt.hedged = True
        attempt.tried.add(second.choice.endpoint.key)
        sends, extra_sends = self.budget.count(attempt.service, now)
        _log.info(
            "late request is sent to a second endpoint",
            attempt=attempt.facts.attempt,
            route=attempt.route.name,
            service=attempt.service,
            first=attempt.endpoint,
            second=second.choice.endpoint.platform_id,
            waited_ms=round((now - attempt.sent_at) * 1000, 1),
            delay_ms=round(delay_ms, 1),
            foreseen_ms=[round(f.delay_ms, 1) for f in (second.first, second.second)],
            loads=[round(f.load, 1) for f in (second.first, second.second)],
            paces=[round(f.pace, 2) for f in (second.first, second.second)],
            window_sends=sends,
            window_extra_sends=extra_sends,
        )
        # The send of a copy begins with the sends of the first one.
        second.attempt.sends = attempt.sends
        return self._start(second.attempt, second.choice, race)

    async def _await_winner(self, race: Race, first: _Send, extra: _Send) -> _Send:
        """Return the send whose outcome counts, once one has a good answer."""
        pending: set[asyncio.Task[SendOutcome]] = {first.task, extra.task}
        while pending and race.winner is None:
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
        if race.winner is not None:
            return extra if race.winner is extra.attempt else first
        outcomes = first.task.result(), extra.task.result()
        return extra if rank_failure(outcomes[1]) < rank_failure(outcomes[0]) else first

    def _end_hedge(self, first: _Send, extra: _Send, used: _Send) -> None:
        """Let the attempt show both sends, and what the used one has begun."""
        attempt, second = first.attempt, extra.attempt
        has_won = used is extra and _has_answered(extra)
        self._counters.increment("hedge.won" if has_won else "hedge.lost")
        attempt.sends += second.sends - extra.sends_before
        attempt.may_have_run = attempt.may_have_run or second.may_have_run
        attempt.usage_counted = attempt.usage_counted or second.usage_counted
        if used is extra:
            for field in WINNER_FIELDS:
                setattr(attempt, field, getattr(second, field))

    def _record_cancelled(self, first: _Send, delay_ms: float) -> None:
        """Record the time after which the late first send was cancelled.

        Without it, the endpoint would count as quick for the next requests.
        An extra send is never recorded: those that answer are the quick ones only.
        """
        attempt = first.attempt
        if not first.task.cancelled() or attempt.choice is None:
            return
        now = asyncio.get_running_loop().time()
        taken_ms = (now - attempt.sent_at) * 1000
        if taken_ms >= delay_ms:
            route = attempt.route.name
            self.delays.record(route, first.choice.delay_ms, taken_ms, now)
            self._chooser.record_late(first.choice, taken_ms, now)

    def _record_time(self, attempt: Attempt) -> None:
        is_extra = attempt.race is not None and attempt.race.is_extra(attempt)
        if is_extra or not attempt.route.is_repeatable:
            return
        now = asyncio.get_running_loop().time()
        taken_ms = (now - attempt.sent_at) * 1000
        self.delays.record(attempt.route.name, attempt.estimated_ms, taken_ms, now)

    def _describe(
        self, attempt: Attempt, sends: int, is_late: bool = False
    ) -> HedgedRequest:
        """Return what the decision needs to know of the request.

        The content is compared with suspected ones only once the request is late, as
        its fingerprint takes longer to compute than the rest of the decision.
        """
        is_suspect = bool(attempt.broken)
        if is_late and not is_suspect:
            is_suspect = self._guard.has_held(attempt.shared_parts)
            if self._state.suspects and not is_suspect:
                fingerprint = make_fingerprint(attempt.request, attempt.account)
                is_suspect = fingerprint in self._state.suspects
        return HedgedRequest(
            attempt.route.is_repeatable,
            sends,
            attempt.route.max_attempts,
            attempt.origin is not None
            or attempt.resumed_id is not None
            or attempt.facts.resumes_stream,
            attempt.probe is not None,
            is_suspect,
            self._state.rollouts.is_in_progress(attempt.service),
            self._limit_guard.has_limits,
        )

    def _count_denial(self, denial: HedgeDenial) -> None:
        self._counters.increment(f"hedge.denied.{denial.value}")


async def _cancel(sends: list[_Send | None]) -> None:
    """Cancel the sends that have not ended, and wait until they have."""
    tasks = [send.task for send in sends if send is not None]
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


def _has_answered(send: _Send) -> bool:
    return not send.task.cancelled() and is_good(send.task.result())
