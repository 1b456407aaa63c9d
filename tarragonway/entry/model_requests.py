"""HTTP handlers of callers' requests to model services."""

import asyncio
from typing import Any

import msgspec
import xxhash
from aiohttp import web

from tarragonway.core.counters import Counters
from tarragonway.core.decoding import UndecodableError, decode_json, drop_deep_values
from tarragonway.core.hashes import compute_fingerprint
from tarragonway.core.ids import (
    AccountId,
    OwnerEpoch,
    ProcessName,
    RequestId,
    ServiceName,
)
from tarragonway.core.outcomes import Refusal, RefusalReason
from tarragonway.entry.crashes import CrashReporter
from tarragonway.entry.dispatch import Demand
from tarragonway.entry.problems import make_problem_response
from tarragonway.entry.request_checks import Caller, RequestChecker
from tarragonway.entry.runner import Runner
from tarragonway.entry.streams import StreamWriter, make_answer
from tarragonway.limits import ShareHolder
from tarragonway.lists import Service, ServiceKind
from tarragonway.requests.copies import CopyManager
from tarragonway.requests.live import LiveRequest
from tarragonway.requests.model import RequestRecord, RequestState
from tarragonway.requests.partners import Partners
from tarragonway.requests.request_ids import make_request_id

PREFIX_CHARACTERS = 512


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """The fields of a chat completions body that this process reads."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False


class Accepted(msgspec.Struct, frozen=True):
    """Body of a 202 response."""

    id: RequestId
    location: str


_body_decoder = msgspec.json.Decoder(ChatBody)


class ModelRequestHandler:
    """Handles ``POST /v1/chat/completions``, and runs adopted requests.

    Parameters
    ----------
    own : ProcessName
        This process.
    checker, shares, copy_manager, partners, runner, crash_reporter
        Parts of the entry process.
    deadline_s : float
        Seconds after its acceptance or adoption within which a request must get an
        endpoint, also for a retry.
    counters : Counters
        Receives ``models.*`` counters.
    """

    def __init__(
        self,
        own: ProcessName,
        checker: RequestChecker,
        shares: ShareHolder,
        copy_manager: CopyManager,
        partners: Partners,
        runner: Runner,
        crash_reporter: CrashReporter,
        deadline_s: float,
        counters: Counters,
    ) -> None:
        self._own = own
        self._checker = checker
        self._shares = shares
        self._copy_manager = copy_manager
        self._partners = partners
        self._runner = runner
        self._crash_reporter = crash_reporter
        self._deadline_s = deadline_s
        self._counters = counters
        self._tasks: set[asyncio.Task] = set()

    async def post(self, request: web.Request) -> web.StreamResponse:
        """Handle a chat completions request."""
        caller = self._checker.authenticate(request)
        if isinstance(caller, Refusal):
            return make_problem_response(caller)
        body = await self._checker.read_body(request)
        if isinstance(body, Refusal):
            return make_problem_response(body)
        chat = _decode_chat(body)
        if isinstance(chat, Refusal):
            return make_problem_response(chat)
        service = caller.find_service(chat.model)
        if isinstance(service, Refusal):
            return make_problem_response(service)
        if service.kind is not ServiceKind.MODEL:
            detail = f"{service.name} is not a model service"
            return make_problem_response(Refusal(RefusalReason.BAD_REQUEST, detail))
        account = AccountId(caller.account.id)
        refusal = self._crash_reporter.check_quarantine(
            compute_fingerprint(account, body), body
        )
        refusal = refusal or await self._shares.admit(account)
        if refusal is not None:
            return make_problem_response(refusal)
        return await self._serve(request, caller, service, chat, body)

    async def adopt(self, record: RequestRecord) -> None:
        """Run an adopted request, and send copies of it to peers.

        The engine imports the KV cache that the former owner exported, if there is one.
        """
        live = LiveRequest(msgspec.structs.replace(record, kv=""), copied=True)
        self._start(self._run_adopted(live, record.kv))
        await self._copy_manager.replicate(live)

    async def hand_over(self) -> int:
        """Hand all running requests over to peers, with their exported KV caches.

        An exported cache can be used only for as long as its engine keeps it.

        Returns
        -------
        int
            Number of requests handed over.
        """
        running = self._copy_manager.list_running()
        for live in running:
            live.paused = True
        exports = [self._runner.export_running(live) for live in running]
        caches = await asyncio.gather(*exports)
        for live, kv in zip(running, caches, strict=True):
            self._copy_manager.send_final(live, kv)
        self._copy_manager.announce_stop()
        return len(running)

    async def wait_idle(self) -> None:
        """Wait until no request runs in this process."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def cancel(self) -> None:
        """Stop all running requests."""
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self,
        request: web.Request,
        caller: Caller,
        service: Service,
        chat: ChatBody,
        body: bytes,
    ) -> web.StreamResponse:
        account = AccountId(caller.account.id)
        deferred = "respond-async" in request.headers.get("Prefer", "")
        live = self._make_live(caller, service, body, deferred or chat.stream)
        demand = self._make_demand(caller, service, chat, live.copied)
        if not live.copied:
            try:
                return await self._answer_whole(live, demand)
            finally:
                self._shares.release(account)
        # The engine starts while copies are being sent to peers. No token is released
        # to the caller before a peer holds it, unless no peer is live.
        task = self._start(self._run_accepted(live, demand, account))
        if not await self._copy_manager.replicate(live):
            self._counters.increment("models.unprotected")
        self._counters.increment("models.accepted")
        if deferred:
            return _write_accepted(live.record.id)
        return await self._answer_stream(request, live, task)

    async def _answer_whole(self, live: LiveRequest, demand: Demand) -> web.Response:
        refusal = await self._runner.run(live, demand)
        if refusal is not None:
            return make_problem_response(refusal)
        self._counters.increment("models.answered")
        return make_answer(live.make_record())

    async def _answer_stream(
        self,
        request: web.Request,
        live: LiveRequest,
        task: asyncio.Task,
    ) -> web.StreamResponse:
        """Stream an accepted request.

        A request that failed before its first token gets a problem response instead of
        an event stream.
        """
        while not live.released and not live.is_over and not task.done():
            changed = asyncio.ensure_future(live.wait_change())
            await asyncio.wait([changed, task], return_when=asyncio.FIRST_COMPLETED)
            changed.cancel()
        if task.done() and not live.tokens:
            refusal = task.result()
            if refusal is not None:
                return make_problem_response(refusal)
        return await StreamWriter(live).write(request, 0)

    async def _run_accepted(
        self, live: LiveRequest, demand: Demand, account: AccountId
    ) -> Refusal | None:
        try:
            return await self._runner.run(live, demand)
        finally:
            self._shares.release(account)

    async def _run_adopted(self, live: LiveRequest, kv: str) -> Refusal | None:
        # An earlier release accepted bodies that are nested deeper.
        chat = _decode_chat(drop_deep_values(live.record.body))
        if isinstance(chat, Refusal):
            live.finish(RequestState.FAILED, chat.detail)
            return chat
        now = asyncio.get_running_loop().time()
        demand = Demand(
            live.record.service,
            live.record.account,
            live.record.priority,
            1.0,
            now + self._deadline_s,
            _hash_prefix(chat),
        )
        return await self._runner.run(live, demand, kv)

    def _make_live(
        self, caller: Caller, service: Service, body: bytes, copied: bool
    ) -> LiveRequest:
        account = AccountId(caller.account.id)
        peers = self._partners.select() if copied else []
        record = RequestRecord(
            make_request_id(self._own, peers),
            account,
            ServiceName(service.name),
            compute_fingerprint(account, body),
            caller.plan.priority,
            body,
            self._own,
            OwnerEpoch(1),
        )
        return LiveRequest(record, copied)

    def _make_demand(
        self, caller: Caller, service: Service, chat: ChatBody, accepted: bool
    ) -> Demand:
        now = asyncio.get_running_loop().time()
        wait_s = self._deadline_s if accepted else service.deadline_s
        return Demand(
            ServiceName(service.name),
            AccountId(caller.account.id),
            caller.plan.priority,
            caller.plan.weight,
            now + wait_s,
            _hash_prefix(chat),
        )

    def _start(self, coroutine: Any) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _decode_chat(body: bytes) -> ChatBody | Refusal:
    try:
        return decode_json(_body_decoder, body)
    except UndecodableError as error:
        return Refusal(RefusalReason.BAD_REQUEST, f"the body is invalid: {error}")


def _hash_prefix(chat: ChatBody) -> str:
    text = "\0".join(message.content for message in chat.messages)
    return xxhash.xxh3_64_hexdigest(text[:PREFIX_CHARACTERS].encode())


def _write_accepted(request: RequestId) -> web.Response:
    location = f"/v1/requests/{request}"
    return web.Response(
        body=msgspec.json.encode(Accepted(request, location)),
        status=202,
        content_type="application/json",
        headers={"Location": location, "Preference-Applied": "respond-async"},
    )
