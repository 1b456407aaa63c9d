"""Execution of model requests, with retries after reclaims and endpoint crashes."""

import asyncio
import secrets
from collections.abc import Callable

import msgspec

from tarragonway.core.counters import Counters
from tarragonway.core.ids import EndpointId
from tarragonway.core.outcomes import Refusal, RefusalReason
from tarragonway.endpoints import Endpoint
from tarragonway.engines import (
    EngineClient,
    EngineFinished,
    EngineInterrupted,
    EngineRefused,
    EngineToken,
    StreamCall,
)
from tarragonway.engines.client import EngineEvent, EnginePrefill
from tarragonway.entry.crashes import CrashReporter
from tarragonway.entry.dispatch import Demand, Dispatcher
from tarragonway.requests.live import EngineStream, LiveRequest
from tarragonway.requests.model import RequestState

RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0


class StreamMoved(msgspec.Struct, frozen=True):
    """The stream was stopped on a leaving endpoint; ``kv`` refers to its KV cache."""

    kv: str


StreamEnd = EngineFinished | EngineRefused | EngineInterrupted | StreamMoved


class Runner:
    """Runs requests on endpoints and adds the generated tokens to the requests.

    Parameters
    ----------
    dispatcher : Dispatcher
        Assigns endpoints.
    engines : EngineClient
        Opens streams.
    on_progress : callable
        Called when a request has new tokens or has ended.
    crash_reporter : CrashReporter
        Receives broken streams, and manages the probation of suspects.
    counters : Counters
        Receives ``runner.*`` counters.
    move_kv : bool
        Whether to export and import KV cache when an endpoint leaves.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        engines: EngineClient,
        on_progress: Callable[[LiveRequest], None],
        crash_reporter: CrashReporter,
        counters: Counters,
        move_kv: bool = True,
    ) -> None:
        self._dispatcher = dispatcher
        self._engines = engines
        self._on_progress = on_progress
        self._crash_reporter = crash_reporter
        self._counters = counters
        self._move_kv = move_kv

    async def run(
        self, live: LiveRequest, demand: Demand, kv: str = ""
    ) -> Refusal | None:
        """Run a request until it ends, with retries on other endpoints after failures.

        Parameters
        ----------
        live : LiveRequest
            The request, with the tokens generated so far.
        demand : Demand
            What the request requires of an endpoint.
        kv : str
            Reference to the KV cache that a former owner exported, or empty.

        Returns
        -------
        Refusal or None
            The refusal if the request failed; None if it succeeded, was handed over or
            was abandoned.
        """
        delay_s = RETRY_DELAY_S
        avoid: frozenset[EndpointId] = frozenset()
        while not live.abandoned:
            wanted = msgspec.structs.replace(demand, avoid=avoid)
            endpoint = await self._dispatcher.acquire(wanted)
            if isinstance(endpoint, Refusal):
                return self._fail(live, endpoint)
            tokens_before = len(live.tokens)
            end = await self._run_with_probation(live, endpoint, kv, demand.priority)
            if live.paused:
                # The request was handed over: a peer finishes it from the record that
                # was sent, which lacks any later tokens.
                return None
            kv = end.kv if isinstance(end, StreamMoved) else ""
            if isinstance(end, EngineFinished):
                self._finish(live, RequestState.DONE)
                return None
            if isinstance(end, StreamMoved):
                continue
            refusal = await self._handle_failure(live, endpoint, end)
            if refusal is not None:
                return self._fail(live, refusal)
            avoid = frozenset({endpoint.id})
            if len(live.tokens) > tokens_before:
                delay_s = RETRY_DELAY_S
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
            self._counters.increment("runner.retries")
        return None

    async def export_running(self, live: LiveRequest) -> str:
        """Export a running request's KV cache; return a reference to it.

        The reference is empty if no stream runs or the cache cannot be exported.
        """
        if live.stream is None:
            return ""
        return await self._engines.export_kv(live.stream.endpoint, live.stream.stream)

    async def _handle_failure(
        self,
        live: LiveRequest,
        endpoint: Endpoint,
        end: EngineRefused | EngineInterrupted,
    ) -> Refusal | None:
        """Handle a failed attempt; return a refusal unless it may be retried."""
        record = live.record
        quarantine = self._crash_reporter.check_quarantine(
            record.fingerprint, record.body
        )
        match end:
            case EngineRefused(_, _, True, _) if quarantine is not None:
                return quarantine
            case EngineRefused(reason, _, True, _):
                return Refusal(RefusalReason.BAD_REQUEST, reason)
            case EngineRefused(_, leaving, _, pause_s):
                if leaving:
                    self._dispatcher.record_leaving(endpoint.id)
                self._dispatcher.record_pause(endpoint.id, pause_s)
                return None
            case EngineInterrupted():
                return await self._crash_reporter.report_broken_stream(live, endpoint)

    async def _run_with_probation(
        self, live: LiveRequest, endpoint: Endpoint, kv: str, priority: int
    ) -> StreamEnd:
        """Run a request on an endpoint, or on probation there if it is a suspect."""
        if not self._crash_reporter.is_suspect(live):
            return await self._run_at(live, endpoint, kv, priority)
        if not await self._crash_reporter.request_probation(live, endpoint):
            self._dispatcher.release(endpoint.id)
            refusal = self._crash_reporter.check_quarantine(
                live.record.fingerprint, live.record.body
            )
            reason = (
                refusal.detail if refusal else "another suspect runs on this endpoint"
            )
            return EngineRefused(reason, permanent=refusal is not None)
        end = await self._run_at(live, endpoint, kv, priority)
        if not isinstance(end, EngineInterrupted):
            cleared = isinstance(end, EngineFinished)
            await self._crash_reporter.end_probation(live, endpoint, cleared)
        return end

    async def _run_at(
        self, live: LiveRequest, endpoint: Endpoint, kv: str, priority: int
    ) -> StreamEnd:
        failed = False
        try:
            handle = await self._engines.import_kv(endpoint, kv) if kv else ""
            call = StreamCall(
                secrets.token_hex(8),
                live.record.body,
                priority,
                tuple(live.tokens),
                handle,
            )
            live.stream = EngineStream(endpoint, call.stream)
            end = await self._read_stream(live, endpoint, call)
            failed = isinstance(end, EngineInterrupted | EngineRefused)
            return end
        finally:
            live.stream = None
            self._dispatcher.release(endpoint.id, failed)

    async def _read_stream(
        self, live: LiveRequest, endpoint: Endpoint, call: StreamCall
    ) -> StreamEnd:
        events = self._engines.stream(endpoint, call)
        can_move = self._move_kv
        loop = asyncio.get_running_loop()
        first_token_at, first_position = 0.0, 0
        try:
            async for event in events:
                if isinstance(event, EngineToken) and not first_token_at:
                    first_token_at, first_position = loop.time(), event.position
                if isinstance(
                    event, EngineFinished | EngineRefused | EngineInterrupted
                ):
                    return event
                if isinstance(event, EngineToken) and event.position > len(live.tokens):
                    missing = f"token {event.position} follows {len(live.tokens)}"
                    return EngineInterrupted(missing)
                self._apply_event(live, event)
                if live.abandoned:
                    await self._engines.cancel(endpoint, call.stream)
                    return EngineFinished()
                if can_move and self._dispatcher.is_leaving(endpoint.id):
                    kv = await self._move_stream(endpoint, call)
                    if kv:
                        return StreamMoved(kv)
                    # Without an exported cache, the stream continues until the
                    # endpoint stops.
                    can_move = False
        finally:
            await events.aclose()  # type: ignore[attr-defined]
            count = len(live.tokens) - first_position - 1
            if first_token_at and count > 0:
                latency_s = (loop.time() - first_token_at) / count
                self._dispatcher.record_latency(endpoint.id, latency_s)
        return EngineInterrupted("the stream ended without a final event")

    def _apply_event(self, live: LiveRequest, event: EngineEvent) -> None:
        match event:
            case EngineToken(position, text):
                live.add_token(position, text)
                self._on_progress(live)
            case EnginePrefill(computed):
                if live.prefilled:
                    self._counters.increment("runner.recomputed_tokens", computed)
                live.prefilled = True

    async def _move_stream(self, endpoint: Endpoint, call: StreamCall) -> str:
        """Export a stream's KV cache and cancel the stream; return the reference.

        If the export fails, the stream continues and the reference is empty.
        """
        kv = await self._engines.export_kv(endpoint, call.stream)
        self._counters.increment("runner.moved" if kv else "runner.move_failed")
        if kv:
            await self._engines.cancel(endpoint, call.stream)
        return kv

    def _finish(self, live: LiveRequest, state: RequestState, error: str = "") -> None:
        live.finish(state, error)
        self._on_progress(live)

    def _fail(self, live: LiveRequest, refusal: Refusal) -> Refusal:
        self._finish(live, RequestState.FAILED, refusal.detail)
        return refusal
