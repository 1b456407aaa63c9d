"""Fetches of the results of accepted requests, through any entry process."""

import asyncio

import aiohttp
from aiohttp import web

from tarragonway.core.hashes import compute_mac, verify_mac
from tarragonway.core.http_status import reject_invalid_status
from tarragonway.core.ids import ProcessName, RequestId
from tarragonway.core.numbers import parse_bounded_count
from tarragonway.core.outcomes import Outcome, Refusal, RefusalReason
from tarragonway.entry.problems import make_problem_response
from tarragonway.entry.request_checks import RequestChecker
from tarragonway.entry.streams import StreamWriter, make_answer
from tarragonway.requests.copies import CopyManager
from tarragonway.requests.live import LiveRequest
from tarragonway.requests.model import RequestRecord, RequestState
from tarragonway.requests.request_ids import list_holders
from tarragonway.watch.client import WatchClient

FORWARD_HEADER = "X-Tarragonway-Forward"
FIND_TIMEOUT_S = 8.0
FIND_RETRY_DELAY_S = 0.2

MAX_EVENT_NUMBER = 2**53


class FetchHandler:
    """Handlers of ``GET /v1/requests/{id}``.

    Parameters
    ----------
    own : ProcessName
        This process.
    checker, watch, copy_manager
        Parts of the entry process.
    addresses : dict of ProcessName to str
        HTTP addresses of the entry processes.
    key : bytes
        Cluster key that signs forwarded requests.
    """

    def __init__(
        self,
        own: ProcessName,
        checker: RequestChecker,
        watch: WatchClient,
        copy_manager: CopyManager,
        addresses: dict[ProcessName, str],
        key: bytes,
    ) -> None:
        self._own = own
        self._checker = checker
        self._watch = watch
        self._copy_manager = copy_manager
        self._addresses = addresses
        self._key = key
        self._session: aiohttp.ClientSession | None = None

    def open(self) -> None:
        """Create the connection pool; needs a running loop."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=1.0)
        self._session = aiohttp.ClientSession(
            timeout=timeout, raise_for_status=reject_invalid_status
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def get(self, request: web.Request) -> web.StreamResponse:
        """Handle a fetch by a caller."""
        caller = self._checker.authenticate(request)
        if isinstance(caller, Refusal):
            return make_problem_response(caller)
        request_id = RequestId(request.match_info["id"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + FIND_TIMEOUT_S
        while True:
            found = await self._fetch_from_any(request, request_id, caller.account.id)
            if found is not None:
                return found
            if loop.time() > deadline or not list_holders(request_id):
                break
            # The owner may be lost; the request is found again once it is adopted.
            await asyncio.sleep(FIND_RETRY_DELAY_S)
        detail = "no entry process has a record of this request"
        return make_problem_response(
            Refusal(RefusalReason.NOT_FOUND, detail, 0.0, Outcome.UNKNOWN)
        )

    async def get_forwarded(self, request: web.Request) -> web.StreamResponse:
        """Handle a fetch that another entry process forwards.

        Raises
        ------
        aiohttp.web.HTTPForbidden
            If the request is not signed with the cluster key.
        """
        request_id = RequestId(request.match_info["id"])
        account = request.query.get("account", "")
        try:
            mac = bytes.fromhex(request.headers.get(FORWARD_HEADER, ""))
        except ValueError:
            raise web.HTTPForbidden() from None
        if not verify_mac(self._key, _encode_signed_text(request_id, account), mac):
            raise web.HTTPForbidden()
        found = await self._serve_locally(request, request_id, account)
        return found if found is not None else web.Response(status=404)

    async def _fetch_from_any(
        self, request: web.Request, request_id: RequestId, account: str
    ) -> web.StreamResponse | None:
        found = await self._serve_locally(request, request_id, account)
        if found is not None:
            return found
        for name in self._list_forward_targets(request_id):
            found = await self._forward(request, name, request_id, account)
            if found is not None:
                return found
        return None

    def _list_forward_targets(self, request_id: RequestId) -> list[ProcessName]:
        targets = list_holders(request_id)
        owner = self._watch.view.owners.get(request_id)
        if owner is not None:
            targets.insert(0, owner[1])
        known = [name for name in dict.fromkeys(targets) if name in self._addresses]
        return [name for name in known if name != self._own]

    async def _serve_locally(
        self, request: web.Request, request_id: RequestId, account: str
    ) -> web.StreamResponse | None:
        live = self._copy_manager.find_live(request_id)
        if live is None:
            record = self._copy_manager.find_finished(request_id)
            if record is None:
                return None
            live = LiveRequest(record, copied=False)
        if live.record.account != account:
            detail = "the request belongs to another client account"
            return make_problem_response(Refusal(RefusalReason.FORBIDDEN, detail))
        return await _respond(request, live)

    async def _forward(
        self,
        request: web.Request,
        name: ProcessName,
        request_id: RequestId,
        account: str,
    ) -> web.StreamResponse | None:
        assert self._session is not None
        url = f"http://{self._addresses[name]}/internal/requests/{request_id}"
        headers = {
            FORWARD_HEADER: compute_mac(
                self._key, _encode_signed_text(request_id, account)
            ).hex(),
            "Accept": request.headers.get("Accept", ""),
            "Last-Event-ID": request.headers.get("Last-Event-ID", "0"),
        }
        try:
            async with self._session.get(
                url, params={"account": account}, headers=headers
            ) as answer:
                if answer.status == 404:
                    return None
                return await _relay(request, answer)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None


async def _relay(
    request: web.Request, answer: aiohttp.ClientResponse
) -> web.StreamResponse:
    names = ("Content-Type", "X-Request-Id", "Location", "Retry-After")
    headers = {n: answer.headers[n] for n in names if n in answer.headers}
    response = web.StreamResponse(status=answer.status, headers=headers)
    await response.prepare(request)
    try:
        async for data in answer.content.iter_any():
            await response.write(data)
        await response.write_eof()
    except aiohttp.ClientError:
        # Part of the answer was sent: abort the connection, so that the caller
        # reconnects.
        if request.transport is not None:
            request.transport.abort()
    except ConnectionResetError:
        return response
    return response


async def _respond(request: web.Request, live: LiveRequest) -> web.StreamResponse:
    if "text/event-stream" in request.headers.get("Accept", ""):
        text = request.headers.get("Last-Event-ID", "0")
        start = parse_bounded_count(text, MAX_EVENT_NUMBER) or 0
        return await StreamWriter(live).write(request, start)
    if not live.is_over:
        headers = {"Retry-After": "1", "Location": f"/v1/requests/{live.record.id}"}
        return web.Response(status=202, headers=headers)
    record: RequestRecord = live.make_record()
    if record.state is RequestState.FAILED:
        detail = record.error or "the request failed"
        refusal = Refusal(RefusalReason.BAD_REQUEST, detail, 0.0, Outcome.REFUSED)
        return make_problem_response(refusal)
    return make_answer(record)


def _encode_signed_text(request_id: RequestId, account: str) -> bytes:
    return f"{request_id}\0{account}".encode()
