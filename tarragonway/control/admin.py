"""The operators' HTTP interface of a control process."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web

from tarragonway.core.decoding import UndecodableError, decode_json
from tarragonway.core.ids import ChangeId, EndpointId, Revision
from tarragonway.endpoints import MarkLeaving
from tarragonway.lists.store import (
    ApplyLists,
    ListsApplied,
    ListsConflict,
    ListsRefused,
)
from tarragonway.process.admin import RevisionBody, check_operator, make_json_response
from tarragonway.replication import LogDriver, NotLeader
from tarragonway.settings import Settings

APPLY_TIMEOUT_S = 5.0
MAX_BODY_BYTES = 4_000_000


class ApplyBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /admin/lists``."""

    change: ChangeId
    expected: Revision
    accounts: str
    plans: str


class DrainBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /admin/drain``."""

    endpoints: tuple[EndpointId, ...]


class ListsBody(msgspec.Struct, frozen=True):
    """Answer to ``GET /admin/lists``: the lists in force."""

    revision: Revision
    author: str
    accounts: str
    plans: str


_apply_decoder = msgspec.json.Decoder(ApplyBody)
_drain_decoder = msgspec.json.Decoder(DrainBody)


class ControlAdmin:
    """HTTP handlers for the ``tarragonway`` command and for operators' monitoring.

    Parameters
    ----------
    settings : Settings
        Provides the operators' keys.
    driver : LogDriver
        Driver of the replicated log.
    make_dump : callable
        Returns the process's state for the state dump.
    confirm : callable
        Returns a log index that is confirmed for a linearizable read.
    """

    def __init__(
        self,
        settings: Settings,
        driver: LogDriver,
        make_dump: Callable[[], dict[str, Any]],
        confirm: Callable[[], Awaitable[int | NotLeader]],
    ) -> None:
        self._settings = settings
        self._driver = driver
        self._make_dump = make_dump
        self._confirm = confirm

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/healthz", self._get_health)
        app.router.add_get("/admin/dump", self._get_dump)
        app.router.add_get("/admin/revision", self._get_revision)
        app.router.add_get("/admin/lists", self._get_lists)
        app.router.add_post("/admin/lists", self._post_lists)
        app.router.add_post("/admin/drain", self._post_drain)
        return app

    async def _get_health(self, request: web.Request) -> web.Response:
        known = self._driver.leader is not None
        return make_json_response({"leader_known": known}, 200 if known else 503)

    async def _get_dump(self, request: web.Request) -> web.Response:
        check_operator(request, self._settings.cluster)
        return make_json_response(self._make_dump())

    async def _get_revision(self, request: web.Request) -> web.Response:
        check_operator(request, self._settings.cluster)
        if not self._driver.has_applied_restored_log:
            problem = "the process has started and not applied its stored log yet"
            return make_json_response({"problem": problem}, 503)
        return make_json_response(
            RevisionBody(self._driver.machine.content.lists.revision)
        )

    async def _get_lists(self, request: web.Request) -> web.Response:
        check_operator(request, self._settings.cluster)
        index = await self._confirm()
        if isinstance(index, NotLeader):
            return make_json_response({"problem": index.reason}, 503)
        await self._driver.wait_applied(index)
        list_store = self._driver.machine.content.lists
        return make_json_response(
            ListsBody(
                list_store.revision,
                list_store.author,
                list_store.accounts_text,
                list_store.plans_text,
            )
        )

    async def _post_lists(self, request: web.Request) -> web.Response:
        author = check_operator(request, self._settings.cluster)
        try:
            body = decode_json(_apply_decoder, await request.read())
        except UndecodableError as error:
            return make_json_response({"problem": str(error)}, 400)
        command = ApplyLists(
            body.change, body.expected, body.accounts, body.plans, author
        )
        result = await self._propose(command)
        match result:
            case ListsApplied():
                return make_json_response(result)
            case ListsConflict():
                return make_json_response(result, 409)
            case ListsRefused():
                return make_json_response(result, 422)
        return make_json_response({"problem": "this process is not the leader"}, 503)

    async def _post_drain(self, request: web.Request) -> web.Response:
        author = check_operator(request, self._settings.cluster)
        try:
            body = decode_json(_drain_decoder, await request.read())
        except UndecodableError as error:
            return make_json_response({"problem": str(error)}, 400)
        result = await self._propose(MarkLeaving(body.endpoints, f"operator {author}"))
        if isinstance(result, NotLeader):
            return make_json_response({"problem": result.reason}, 503)
        return make_json_response(result)

    async def _propose(self, command: ApplyLists | MarkLeaving) -> object:
        try:
            return await asyncio.wait_for(
                self._driver.propose(command), APPLY_TIMEOUT_S
            )
        except TimeoutError:
            return NotLeader(
                f"no quorum within {APPLY_TIMEOUT_S} s; the change may still be applied"
            )
