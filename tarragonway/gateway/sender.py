"""Sending of an attempt to one endpoint, and relaying of its answer."""

import asyncio
from typing import Protocol

import structlog

from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import CallerRequest, ForwardContext, ResponseInfo
from tarragonway.gateway.attempt import (
    Answered,
    Attempt,
    Broken,
    Expired,
    NotContinued,
    NotEncodable,
    Refused,
    SendFailed,
    SendOutcome,
    Streamed,
    Unsent,
)
from tarragonway.gateway.events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    PauseMeter,
    comes_after,
    find_first_id,
)
from tarragonway.http1 import (
    ConnectFailed,
    ConnectionEnded,
    ConnectionPool,
    EndpointConnection,
    Request,
    ResponseHead,
)
from tarragonway.http1.client import Headers, RequestNotEncodable

MAX_IDLE_REPEATABLE_S = 60.0
# An endpoint may close an idle connection unnoticed, and it is then unknown whether a
# request sent on it ran. A request that must not run twice therefore uses a new
# connection.
MAX_IDLE_UNREPEATABLE_S = 0.0
EVENT_STREAM = b"text/event-stream"
# Endpoints that must have nothing to add to a broken stream before it is complete.
MIN_EMPTY_CONTINUATIONS = 2
# Longest answer that is not a stream. Such an answer is relayed only when complete.
MAX_ANSWER_BYTES = 8 * 1024 * 1024

_log = structlog.get_logger()


class Codec(Protocol):
    """Translation of requests and answers to the platform's HTTP interface."""

    def decode_request(self, request: Request) -> CallerRequest:
        """Return the facts that a caller's request states."""
        ...

    def encode_headers(self, request: Request, context: ForwardContext) -> Headers:
        """Return the headers to send to the endpoint."""
        ...

    def decode_answer(self, head: ResponseHead) -> ResponseInfo:
        """Return the facts that an endpoint's answer states."""
        ...

    def drop_hop_by_hop_headers(self, head: ResponseHead) -> Headers:
        """Return the headers to send to the caller."""
        ...


class SendObserver(Protocol):
    """Receiver of notifications about the progress of sends."""

    def handle_response_info(
        self, attempt: Attempt, endpoint: ListedEndpoint, info: ResponseInfo
    ) -> None:
        """Handle the facts that an answer states about its endpoint."""
        ...

    def handle_sent(self, attempt: Attempt) -> None:
        """Handle that the request has been written to its endpoint."""
        ...

    def handle_running(self, attempt: Attempt) -> None:
        """Handle each arriving part of an answer, which shows that the request runs."""
        ...

    def handle_first_event(self, attempt: Attempt, endpoint: ListedEndpoint) -> None:
        """Handle the first event of a caller's answer before it is relayed."""
        ...


class Sender:
    """Sends attempts over pooled connections.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to endpoints.
    codec : Codec
        Decodes and encodes requests and answers for the platform.
    observer : SendObserver
        Is notified of endpoints' loads and of requests that begin to run.
    """

    def __init__(
        self, pool: ConnectionPool, codec: Codec, observer: SendObserver
    ) -> None:
        self._pool = pool
        self._codec = codec
        self._observer = observer

    async def send(
        self, attempt: Attempt, endpoint: ListedEndpoint, priority: int | None
    ) -> SendOutcome:
        """Send the attempt to the endpoint and return the outcome.

        A refused or complete answer is returned; a stream is relayed to the caller. An
        error that nothing expects is an outcome too, so that the choice of endpoints
        learns from it and the caller gets an answer.
        """
        sends_before = attempt.sends
        try:
            return await self._send(attempt, endpoint, priority)
        except Exception as error:
            was_sent = attempt.sends > sends_before
            _log.exception(
                "send failed with an unexpected error",
                attempt=attempt.facts.attempt,
                endpoint=endpoint.platform_id,
                address=endpoint.address,
                was_sent=was_sent,
            )
            return SendFailed(repr(error), was_sent)

    async def _send(
        self, attempt: Attempt, endpoint: ListedEndpoint, priority: int | None
    ) -> SendOutcome:
        # The outcome of a probe must tell about its parts, not about a connection.
        needs_new = not attempt.route.is_repeatable or attempt.probe is not None
        idle_s = MAX_IDLE_UNREPEATABLE_S if needs_new else MAX_IDLE_REPEATABLE_S
        try:
            async with asyncio.timeout_at(attempt.deadline):
                connection = await self._pool.acquire(
                    endpoint.key, endpoint.address, idle_s
                )
        except ConnectFailed as error:
            return Unsent(str(error))
        except TimeoutError:
            return Expired()
        try:
            async with asyncio.timeout_at(attempt.deadline):
                return await self._exchange(attempt, endpoint, priority, connection)
        except TimeoutError:
            return Expired(in_body=connection.in_body)
        except ConnectionEnded as error:
            return Broken(str(error))
        except RequestNotEncodable as error:
            return NotEncodable(str(error))
        finally:
            _log_end(attempt, endpoint, connection)
            self._pool.release(endpoint.key, connection)

    async def _exchange(
        self,
        attempt: Attempt,
        endpoint: ListedEndpoint,
        priority: int | None,
        connection: EndpointConnection,
    ) -> SendOutcome:
        request = attempt.request
        headers = self._codec.encode_headers(
            request, self._make_context(attempt, endpoint, priority)
        )
        try:
            connection.send(request.method, request.target, headers, request.body)
        except ConnectionEnded as error:
            return Unsent(str(error))
        attempt.sends += 1
        may_have_run_before, attempt.may_have_run = attempt.may_have_run, True
        self._observer.handle_sent(attempt)
        head = await connection.read_head(
            lambda head: self._is_for_attempt(head, attempt)
        )
        info = self._codec.decode_answer(head)
        if info.attempt is None and attempt.facts.attempt and connection.exchanges > 1:
            return Broken("an answer on a kept connection names no attempt")
        self._observer.handle_response_info(attempt, endpoint, info)
        if info.keep_alive_s is not None:
            connection.idle_limit_s = info.keep_alive_s
        if info.closes_connection:
            connection.idle_limit_s = 0.0
        if info.refused:
            attempt.may_have_run = may_have_run_before
            # A faulty endpoint may write a refusal once more, with any id. On another
            # connection that cannot be taken for the answer to a later request.
            connection.idle_limit_s = 0.0
            return Refused(head.status)
        if head.status < 300 and _is_event_stream(head):
            if not info.signed:
                return Broken("successful answer without a server signature")
            return await self._relay(attempt, endpoint, head, connection)
        if attempt.writer.started:
            return NotContinued(f"status {head.status} instead of the stream's rest")
        self._observer.handle_running(attempt)
        body = await connection.read_body(MAX_ANSWER_BYTES)
        fault = _find_fault(request, head, info, body)
        return Broken(fault) if fault else Answered(head, info, body)

    async def _relay(
        self,
        attempt: Attempt,
        endpoint: ListedEndpoint,
        head: ResponseHead,
        connection: EndpointConnection,
    ) -> SendOutcome:
        """Relay complete events as they arrive; the head is sent with the first one.

        Until then, another endpoint can still answer with a different head. An answer
        that resumes a stream is relayed only if its first event comes after the last
        one that the caller has. If it has no event, a second endpoint must agree that
        the stream is complete.

        Raises
        ------
        ConnectionEnded
            If the stream breaks off, ends inside an event, or contains an event that is
            too long. A stream without length or chunks shows only by its events that it
            did not break off at its start.
        """
        splitter = EventSplitter()
        pauses = PauseMeter()
        has_events = False
        while (data := await connection.read_data()) is not None:
            complete = splitter.feed(data)
            if len(splitter.incomplete) > MAX_EVENT_BYTES:
                raise ConnectionEnded(f"an event exceeds {MAX_EVENT_BYTES} bytes")
            if complete:
                if not has_events and not _can_follow(attempt, complete):
                    first_id = find_first_id(complete)
                    return NotContinued(f"event {first_id} after {attempt.resumed_id}")
                has_events = True
                if not attempt.writer.started:
                    attempt.claim_answer()
                    self._observer.handle_first_event(attempt, endpoint)
                pauses.record(splitter.events, asyncio.get_running_loop().time())
                await self._relay_data(attempt, head, complete)
                attempt.last_event_id = splitter.last_id or attempt.last_event_id
        if splitter.incomplete:
            raise ConnectionEnded("the stream ended inside an event")
        if not has_events and not _is_complete_without_events(attempt, head):
            return NotContinued(f"no event after {attempt.resumed_id}")
        if not attempt.writer.started:
            attempt.claim_answer()
            await self._relay_data(attempt, head, b"")
        attempt.writer.finish()
        return Streamed(splitter.events, tuple(pauses.pauses_ms))

    async def _relay_data(
        self, attempt: Attempt, head: ResponseHead, data: bytes
    ) -> None:
        self._observer.handle_running(attempt)
        if not attempt.writer.started:
            headers = self._codec.drop_hop_by_hop_headers(head)
            await attempt.writer.start(head.status, headers)
        if data:
            await attempt.writer.write(data)

    def _make_context(
        self, attempt: Attempt, endpoint: ListedEndpoint, priority: int | None
    ) -> ForwardContext:
        now = asyncio.get_running_loop().time()
        return ForwardContext(
            endpoint.platform_id,
            attempt.deadline - now,
            attempt.account.id if attempt.account else None,
            priority,
            attempt.last_event_id,
            attempt.account is not None,
        )

    def _is_for_attempt(self, head: ResponseHead, attempt: Attempt) -> bool:
        """Return whether the answer does not belong to another attempt by its id."""
        echoed = self._codec.decode_answer(head).attempt
        matches = echoed is None or echoed == attempt.facts.attempt
        if not matches:
            _log.info(
                "late answer dropped", attempt=attempt.facts.attempt, other=echoed
            )
        return matches


def _log_end(
    attempt: Attempt, endpoint: ListedEndpoint, connection: EndpointConnection
) -> None:
    """Log what a connection showed whose end was the end of the answer."""
    end = connection.end
    if end is not None:
        _log.info(
            "answer ended with its connection",
            attempt=attempt.facts.attempt,
            endpoint=endpoint.platform_id,
            request_bytes=end.request_bytes,
            has_undelivered=end.has_undelivered,
            peer=end.peer.value,
            taken_ms=round(end.taken_ms, 2),
        )


def _find_fault(
    request: Request, head: ResponseHead, info: ResponseInfo, body: bytes
) -> str:
    """Return why an answer that is no stream cannot be passed on, "" if it can."""
    if head.status < 300 and not info.signed:
        return "successful answer without a server signature"
    if not body and not head.may_lack_body(request.method):
        return "the answer ended without a body, length or chunks"
    return ""


def _can_follow(attempt: Attempt, events: bytes) -> bool:
    """Return whether an answer that begins with these events may be relayed."""
    previous = attempt.resumed_id
    return previous is None or comes_after(find_first_id(events), previous)


def _is_complete_without_events(attempt: Attempt, head: ResponseHead) -> bool:
    """Return whether a stream without events is complete, and count resumed ones.

    Raises
    ------
    ConnectionEnded
        If it has neither length nor chunks, so that it may have broken off.
    """
    if not head.is_framed:
        raise ConnectionEnded("the stream ended without an event, length or chunks")
    if attempt.resumed_id is None:
        return True
    attempt.empty_continuations += 1
    return attempt.empty_continuations >= MIN_EMPTY_CONTINUATIONS


def _is_event_stream(head: ResponseHead) -> bool:
    return (head.get(b"content-type") or b"").startswith(EVENT_STREAM)
