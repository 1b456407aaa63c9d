"""The program ``tarragonway-entry``."""

import argparse
import asyncio
import secrets
from typing import Any

import msgspec
from aiohttp import web

from tarragonway.claims import RetireOwner
from tarragonway.control.client import ControlClient, ControlUnavailable
from tarragonway.control.messages import ControlRedirect, ControlReply
from tarragonway.core.errors import SettingsError
from tarragonway.core.ids import Incarnation, OwnerEpoch, ProcessName, ZoneName
from tarragonway.core.outcomes import Refusal, RefusalReason
from tarragonway.engines import EngineClient
from tarragonway.entry.crashes import CrashReporter
from tarragonway.entry.dispatch import Dispatcher
from tarragonway.entry.fetch import FetchHandler
from tarragonway.entry.model_requests import ModelRequestHandler
from tarragonway.entry.plain_calls import PlainCallHandler
from tarragonway.entry.problems import make_problem_response
from tarragonway.entry.request_checks import RequestChecker
from tarragonway.entry.runner import Runner
from tarragonway.limits import ShareHolder
from tarragonway.limits.messages import ShareCall, ShareReply
from tarragonway.process import run_daemon
from tarragonway.process.admin import RevisionBody, check_operator, make_json_response
from tarragonway.process.base import ProcessBase
from tarragonway.requests.adoptions import AdoptionGranted, AdoptionLost, AdoptRequest
from tarragonway.requests.copies import CopyManager
from tarragonway.requests.messages import (
    CopyAck,
    CopyProgress,
    CopyRecord,
    CopyStale,
    Heartbeat,
)
from tarragonway.requests.model import RequestRecord
from tarragonway.requests.partners import Partners
from tarragonway.settings import Settings, load_settings
from tarragonway.settings.load import find_entry_peer
from tarragonway.settings.options import read_options
from tarragonway.transport import Delivery
from tarragonway.watch import WatchPush, WatchReply
from tarragonway.watch.client import WatchClient
from tarragonway.wire import WireMessage

REGISTER_TIMEOUT_S = 2.0
ADOPT_TIMEOUT_S = 5.0
STOP_GRACE_S = 0.5


class EntryProcess(ProcessBase):
    """An entry process: an HTTP server for callers and a mailbox for other processes.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        peer = find_entry_peer(settings)
        assert peer is not None
        super().__init__(settings, peer)
        self._incarnation = Incarnation(secrets.token_hex(8))
        self._registered = False
        self._control_names = [ProcessName(p.name) for p in settings.cluster.control]
        self._make_control_clients()
        self._make_request_handlers()

    def _make_control_clients(self) -> None:
        timing = self._settings.cluster.timing
        self._control = ControlClient(
            self._control_names, self._mailbox.send, self._counters
        )
        self._watch = WatchClient(
            self._name,
            self._control_names,
            timing.watch_poll_s,
            timing.freshness_bound_s,
            self._mailbox.send,
            self._counters,
        )
        self._shares = ShareHolder(
            timing.share_lease_s, self._send_share_call, self._counters
        )

    def _make_request_handlers(self) -> None:
        cluster = self._settings.cluster
        timing = cluster.timing
        self._engines = EngineClient()
        self._checker = RequestChecker(self._watch, cluster.limits)
        self._dispatcher = Dispatcher(
            self._name,
            ZoneName(self._peer.zone),
            self._watch,
            self._engines,
            cluster.limits.queue_length,
            self._counters,
        )
        zones = {ProcessName(p.name): ZoneName(p.zone) for p in cluster.entry}
        self._partners = Partners(self._name, zones, timing.peer_silence_s)
        self._copy_manager = CopyManager(
            self._name,
            self._incarnation,
            self._partners,
            timing.peer_silence_s,
            self._mailbox.send,  # type: ignore[arg-type]
            self._adopt,
            lambda: self._watch.is_fresh,
            self._counters,
        )
        self._crash_reporter = CrashReporter(
            self._control, self._watch, self._dispatcher, self._counters
        )
        runner = Runner(
            self._dispatcher,
            self._engines,
            self._copy_manager.schedule_progress,
            self._crash_reporter,
            self._counters,
        )
        self._model_requests = ModelRequestHandler(
            self._name,
            self._checker,
            self._shares,
            self._copy_manager,
            self._partners,
            runner,
            self._crash_reporter,
            timing.request_deadline_s,
            self._counters,
        )
        self._plain_calls = PlainCallHandler(
            self._name,
            self._incarnation,
            self._checker,
            self._shares,
            self._dispatcher,
            self._control,
            timing,
            cluster.limits,
            self._counters,
        )
        addresses = {ProcessName(p.name): p.http for p in cluster.entry}
        self._fetch = FetchHandler(
            self._name,
            self._checker,
            self._watch,
            self._copy_manager,
            addresses,
            self._settings.cluster_key,
        )

    @classmethod
    def from_config(
        cls, settings: Settings, arguments: argparse.Namespace
    ) -> "EntryProcess":
        """Build the process from its settings."""
        return cls(settings)

    async def start(self) -> None:
        """Open the sockets, start the tasks and register with control."""
        self._watch.on_change = self._apply_view
        for part in (self._engines, self._fetch):
            part.open()
        self._mailbox.open(self._handle_message)
        self._start_permanent_task(self._watch.run())
        self._start_permanent_task(self._shares.run())
        self._start_permanent_task(self._dispatcher.run())
        self._start_permanent_task(self._dispatcher.poll_loads())
        self._start_permanent_task(self._copy_manager.run())
        await self._register()
        limits = self._settings.cluster.limits
        await self._serve(
            self._make_app(),
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            shutdown_timeout=STOP_GRACE_S,
        )

    async def drain(self) -> None:
        """Refuse new requests and wait for the running ones to end."""
        self._checker.stopping = True
        self._copy_manager.stopping = True
        await asyncio.sleep(STOP_GRACE_S)
        await self._model_requests.wait_idle()
        await self._plain_calls.wait_idle()

    async def hand_over(self) -> None:
        """Hand the accepted requests that still run over to peers."""
        handed = await self._model_requests.hand_over()
        self._counters.increment("requests.handed_over", handed)
        # The mailbox needs some time to send the queued messages.
        await asyncio.sleep(STOP_GRACE_S / 5)

    async def close(self) -> None:
        """Stop all tasks and close the sockets."""
        self._model_requests.cancel()
        await self._stop_serving()
        for part in (self._engines, self._plain_calls, self._fetch):
            await part.close()
        self._mailbox.close()

    def make_dump(self) -> dict[str, Any]:
        """Return the process's state for ``GET /admin/dump``."""
        view = self._watch.view
        return {
            "process": self._name,
            "zone": self._peer.zone,
            "incarnation": self._incarnation,
            "ready": self._checker.check_ready() is None and self._registered,
            "revision": view.revision,
            "version": view.version,
            "confirmed_s_ago": min(self._watch.confirmation_age_s, 1e9),
            "endpoints": list(view.endpoints.values()),
            "dispatch": self._dispatcher.make_dump(),
            "shares": self._shares.make_dump(),
            "running": self._copy_manager.count_running(),
            "partners": self._partners.chosen,
            "quarantined": sorted(view.quarantined),
            "counters": self._counters.snapshot(),
        }

    # HTTP

    def _make_app(self) -> web.Application:
        app = web.Application(client_max_size=self._settings.cluster.limits.body_bytes)
        routes = app.router
        routes.add_post("/v1/chat/completions", self._model_requests.post)
        routes.add_get("/v1/requests/{id}", self._fetch.get)
        routes.add_get("/internal/requests/{id}", self._fetch.get_forwarded)
        routes.add_get("/v1/calls/{key}", self._plain_calls.get_status)
        routes.add_route("*", "/services/{service}/{path:.*}", self._plain_calls.handle)
        routes.add_get("/healthz", self._get_health)
        routes.add_get("/admin/dump", self._get_dump)
        routes.add_get("/admin/revision", self._get_revision)
        return app

    async def _get_health(self, request: web.Request) -> web.Response:
        refusal = self._checker.check_ready()
        if refusal is None and not self._registered:
            detail = "this start of the process is not registered with control yet"
            refusal = Refusal(RefusalReason.NO_CONTROL, detail, 1.0)
        if refusal is not None:
            return make_problem_response(refusal)
        return make_json_response(
            {"ready": True, "revision": self._watch.view.revision}
        )

    async def _get_dump(self, request: web.Request) -> web.Response:
        check_operator(request, self._settings.cluster)
        return make_json_response(self.make_dump())

    async def _get_revision(self, request: web.Request) -> web.Response:
        check_operator(request, self._settings.cluster)
        return make_json_response(RevisionBody(self._watch.view.revision))

    # Messages

    def _handle_message(self, delivery: Delivery[WireMessage]) -> None:
        sender = delivery.sender
        match delivery.body:
            case WatchReply() as reply:
                self._watch.handle_reply(reply)
            case WatchPush() as push:
                self._watch.handle_push(push)
            case ControlReply() | ControlRedirect() as answer:
                self._control.handle_reply(answer)
            case ShareReply() as shares:
                self._control.set_leader(sender)
                self._shares.handle_reply(shares)
            case _:
                self._handle_entry_message(sender, delivery.body)

    def _handle_entry_message(self, sender: ProcessName, body: WireMessage) -> None:
        match body:
            case CopyRecord():
                self._copy_manager.handle_record(sender, body)
            case CopyProgress():
                self._copy_manager.handle_progress(sender, body)
            case CopyAck():
                self._copy_manager.handle_ack(sender, body)
            case CopyStale():
                self._copy_manager.handle_stale(body)
            case Heartbeat():
                self._copy_manager.handle_heartbeat(sender, body)
            case _:
                self._counters.increment("entry.unexpected")

    def _send_share_call(self, call: ShareCall) -> None:
        """Send a call for shares to the leader, once this process is registered.

        If the leader does not answer, the call is sent to all control processes.
        """
        if not self._registered:
            return
        if not self._shares.has_unanswered_calls:
            self._mailbox.send(self._control.target, call)
            return
        for name in self._control_names:
            self._mailbox.send(name, call)

    # Registration and ownership

    async def _register(self) -> None:
        """Register this incarnation; open claims of earlier ones become unknown.

        Without an answer from control, registration is retried in the background.
        """
        command = RetireOwner(self._name, self._incarnation)
        result = await self._control.call(command, REGISTER_TIMEOUT_S)
        if isinstance(result, ControlUnavailable):
            self._start_task(self._register())
        else:
            self._registered = True

    def _apply_view(self) -> None:
        self._dispatcher.refresh()
        for request, (epoch, owner) in self._watch.view.owners.items():
            self._copy_manager.update_owner(request, epoch, owner)

    async def _adopt(self, record: RequestRecord) -> None:
        epoch = OwnerEpoch(record.epoch + 1)
        command = AdoptRequest(record.id, epoch, self._name)
        result = await self._control.call(command, ADOPT_TIMEOUT_S)
        match result:
            case AdoptionGranted():
                self._counters.increment("requests.adopted")
                self._copy_manager.discard_copy(record.id)
                owned = _change_owner(record, self._name, epoch)
                await self._model_requests.adopt(owned)
            case AdoptionLost(lost_epoch, owner):
                self._copy_manager.update_owner(record.id, lost_epoch, owner)


def _change_owner(
    record: RequestRecord, owner: ProcessName, epoch: OwnerEpoch
) -> RequestRecord:
    return msgspec.structs.replace(record, owner=owner, epoch=epoch)


def _check_entry_table(settings: Settings) -> None:
    if find_entry_peer(settings) is None:
        raise SettingsError(
            settings.process.cluster_file,
            f"there is no [[entry]] table named {settings.process.name!r}",
            "add one, or correct the name in the process's settings",
            "entry",
        )


def main() -> None:
    """Run the program."""
    raise SystemExit(
        run_daemon(
            "tarragonway-entry",
            "Receives callers' requests and routes them to endpoints.",
            EntryProcess.from_config,
            load_settings,
            read_options,
            _check_entry_table,
        )
    )
