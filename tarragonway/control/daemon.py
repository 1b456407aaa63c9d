"""The program ``tarragonway-control``."""

import argparse
import asyncio
import itertools
import pathlib
import random
import secrets
from typing import Any

import structlog

from tarragonway.consensus import (
    DataFolder,
    HardState,
    LogTail,
    Member,
    Membership,
    Packet,
    Parameters,
    Replica,
    Snapshot,
)
from tarragonway.consensus.files import FolderFiles
from tarragonway.consensus.storage import Identity
from tarragonway.control.admin import ControlAdmin
from tarragonway.control.messages import (
    ControlCall,
    ControlRedirect,
    ControlReply,
    JoinRequest,
    ReadIndexCall,
    ReadIndexReply,
)
from tarragonway.control.shares import ShareServer
from tarragonway.core.errors import SettingsError
from tarragonway.core.ids import ClusterId, MemberId, ProcessName
from tarragonway.endpoints import EndpointState
from tarragonway.endpoints.watcher import PlatformWatcher
from tarragonway.fencing.order_sender import DesiredModel, OrderSender
from tarragonway.limits.ledger import ShareLedger
from tarragonway.limits.messages import ShareCall
from tarragonway.process import run_daemon
from tarragonway.process.base import ProcessBase
from tarragonway.replication import DriverConfig, LogDriver, NotLeader
from tarragonway.replication.admission import admit_member
from tarragonway.replication.membership_reports import make_membership_dump
from tarragonway.settings import Settings, load_settings
from tarragonway.settings.load import find_control_peer
from tarragonway.settings.options import read_options
from tarragonway.state import StateMachine
from tarragonway.transport import Delivery
from tarragonway.watch.messages import WatchPoll
from tarragonway.watch.server import WatchServer
from tarragonway.wire import WireMessage

JOIN_INTERVAL_S = 0.3
READ_INDEX_TIMEOUT_S = 0.5

_log = structlog.get_logger()


class ControlProcess(ProcessBase):
    """A control process: runs a replica, and serves entry processes and operators.

    As the leader, it also reads the platform's endpoint list, sends orders to
    endpoints and grants shares of plan limits.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    folder : pathlib.Path
        Data folder.
    """

    def __init__(self, settings: Settings, folder: pathlib.Path) -> None:
        peer = find_control_peer(settings)
        assert peer is not None
        super().__init__(settings, peer)
        self._files = FolderFiles(folder)
        self._folder = DataFolder(self._files)
        try:
            self._driver = self._make_driver()
        except OSError:
            # The start is tried again, and takes the folder's lock again.
            self._files.close()
            raise
        self._watch = WatchServer(
            self._driver, self.confirm, self._mailbox.send, self._counters
        )
        timing = settings.cluster.timing
        ledger = ShareLedger(timing.share_lease_s, len(settings.cluster.entry))
        self._shares = ShareServer(ledger, self._driver)
        self._admin = ControlAdmin(settings, self._driver, self.make_dump, self.confirm)
        self._calls = itertools.count(1)
        self._pending_reads: dict[int, asyncio.Future] = {}

    @classmethod
    def from_config(
        cls, settings: Settings, arguments: argparse.Namespace
    ) -> "ControlProcess":
        """Build the process from its settings; needs a running event loop."""
        folder = arguments.settings.parent / settings.process.data_folder
        return cls(settings, folder)

    async def start(self) -> None:
        """Open the sockets and start the tasks."""
        self._driver.on_state_change = self._watch.push_changes
        self._mailbox.open(self._handle_message)
        self._start_permanent_task(self._driver.run())
        self._start_permanent_task(self._watch.run())
        self._start_permanent_task(self._send_join_requests())
        platform = self._settings.cluster.platform
        if platform is not None:
            content = self._driver.machine
            watcher = PlatformWatcher(
                platform.url,
                platform.poll_s,
                lambda: self._driver.is_leader,
                lambda: content.content.endpoints.rows,
                lambda: content.content.endpoints.marks,
                self._driver.propose,
                self._counters,
            )
            self._start_permanent_task(watcher.run())
        self._start_permanent_task(
            OrderSender(
                self._driver.own_member.id,
                lambda: self._driver.is_leader,
                self._list_desired_models,
                self._driver.propose,
                self._counters,
            ).run()
        )
        await self._serve(self._admin.make_app())

    async def drain(self) -> None:
        """Transfer the leadership and leave time to send the pending replies."""
        await self._driver.step_down(self._settings.cluster.timing.stop_deadline_s)

    async def hand_over(self) -> None:
        """Do nothing: the other replicas already hold the log."""

    async def close(self) -> None:
        """Stop all tasks and close the sockets and files."""
        await self._stop_serving()
        self._mailbox.close()
        self._files.close()

    def make_dump(self) -> dict[str, Any]:
        """Return the process's state for the state dump."""
        replica = self._driver.replica
        content = self._driver.machine.content
        return {
            "process": self._name,
            "zone": self._peer.zone,
            "member": replica.own_id,
            "role": replica.role.value,
            "term": replica.term,
            "leader": replica.leader,
            "commit": replica.commit,
            "applied": self._driver.applied,
            "snapshot": replica.snapshot.index,
            **make_membership_dump(replica),
            "revision": (
                content.lists.revision if self._driver.has_applied_restored_log else -1
            ),
            "endpoints": list(content.endpoints.rows.values()),
            "claims": len(content.claims.records),
            "quarantined": list(content.quarantine.quarantined),
            "counters": self._counters.snapshot(),
        }

    async def confirm(self) -> int | NotLeader:
        """Return a log index that is confirmed for a linearizable read.

        A follower requests the index from the leader.
        """
        if self._driver.is_leader:
            return await self._driver.confirm_read_index()
        leader = self._driver.leader
        member = leader and self._driver.replica.membership.find(leader)
        if not member:
            return NotLeader("no leader is known")
        call = next(self._calls)
        future = asyncio.get_running_loop().create_future()
        self._pending_reads[call] = future
        self._mailbox.send(member.name, ReadIndexCall(call))
        try:
            return await asyncio.wait_for(future, READ_INDEX_TIMEOUT_S)
        except TimeoutError:
            return NotLeader(f"the leader did not reply in {READ_INDEX_TIMEOUT_S} s")
        finally:
            self._pending_reads.pop(call, None)

    def _list_desired_models(self) -> list[DesiredModel]:
        """Return the active endpoints whose service requires a model version."""
        services = self._shares.read_lists().services
        return [
            DesiredModel(row, services[row.service].model_version)
            for row in self._driver.machine.content.endpoints.rows.values()
            if row.state is EndpointState.ACTIVE
            and row.service in services
            and services[row.service].model_version
        ]

    # Messages

    def _handle_message(self, delivery: Delivery[WireMessage]) -> None:
        sender = delivery.sender
        match delivery.body:
            case Packet() as packet:
                self._handle_packet(packet)
            case JoinRequest(member):
                self._handle_join_request(member)
            case ControlCall() as call:
                self._start_task(self._handle_control_call(sender, call))
            case WatchPoll() as poll:
                self._watch.handle_poll(sender, poll)
            case ShareCall() as share_call:
                self._handle_share_call(sender, share_call)
            case ReadIndexCall(call_id):
                self._start_task(self._handle_read_index_call(sender, call_id))
            case ReadIndexReply() as reply:
                self._handle_read_index_reply(reply)
            case _:
                self._counters.increment("control.unexpected")

    def _handle_read_index_reply(self, reply: ReadIndexReply) -> None:
        future = self._pending_reads.get(reply.call)
        if future is not None and not future.done():
            future.set_result(reply.index)

    def _handle_join_request(self, member: Member) -> None:
        if member.name in {peer.name for peer in self._settings.cluster.control}:
            self._driver.record_join_request(member)

    def _handle_share_call(self, sender: ProcessName, call: ShareCall) -> None:
        reply = self._shares.answer(sender, call)
        if reply is not None:
            self._mailbox.send(sender, reply)

    def _handle_packet(self, packet: Packet) -> None:
        """Pass a packet to the log driver.

        A process without a cluster joins that of the first packet addressed to it.
        """
        if (
            packet.target == self._driver.own_member.id
            and not self._driver.has_cluster
            and not admit_member(self._folder, self._driver, packet.cluster)
        ):
            return
        self._driver.handle_packet(packet)

    async def _handle_control_call(
        self, sender: ProcessName, call: ControlCall
    ) -> None:
        result = await self._driver.propose(call.command)
        if isinstance(result, NotLeader):
            self._mailbox.send(
                sender, ControlRedirect(call.call, self._get_leader_name())
            )
        else:
            self._mailbox.send(sender, ControlReply(call.call, result))

    async def _handle_read_index_call(self, sender: ProcessName, call: int) -> None:
        index = await self._driver.confirm_read_index()
        if not isinstance(index, NotLeader):
            self._mailbox.send(sender, ReadIndexReply(call, index))

    def _get_leader_name(self) -> ProcessName:
        leader = self._driver.leader
        member = leader and self._driver.replica.membership.find(leader)
        if not member or member.id == self._driver.own_member.id:
            return ProcessName("")
        return member.name

    # Start

    def _make_driver(self) -> LogDriver:
        found = self._folder.recover()
        identity = found.identity
        if identity is None:
            token = secrets.token_hex(4)
            identity = Identity(MemberId(f"{self._name}.{token}"))
            self._folder.write_identity(identity)
        timing = self._settings.cluster.timing
        replica = Replica(
            identity.member,
            Parameters(timing.election_ticks, timing.heartbeat_ticks),
            random.Random(secrets.randbits(64)),
            found.hard_state,
            found.snapshot,
            found.log,
        )
        config = DriverConfig(
            Member(identity.member, self._name),
            timing.tick_s,
            len(self._settings.cluster.control),
            self._settings.cluster.limits.snapshot_entries,
        )
        return LogDriver(
            config,
            identity.cluster,
            replica,
            self._folder,
            StateMachine(),
            self._send_packet,
            self._counters,
        )

    def _send_packet(self, packet: Packet) -> None:
        member = self._driver.replica.membership.find(packet.target)
        # For a candidate or leader outside the latest membership, only the id is known.
        # It starts with the process's name.
        name = member.name if member else packet.target.rpartition(".")[0]
        self._mailbox.send(ProcessName(name), packet)

    async def _send_join_requests(self) -> None:
        """Send join requests to the other control processes while not a member.

        A voter that hears of no leader may have been removed.
        """
        own = self._driver.own_member
        while True:
            if self._driver.replica.seeks_admission:
                for peer in self._settings.cluster.control:
                    if peer.name != self._name:
                        self._mailbox.send(ProcessName(peer.name), JoinRequest(own))
            await asyncio.sleep(JOIN_INTERVAL_S)


def bootstrap(settings: Settings, folder: pathlib.Path) -> None:
    """Form a new replication group with this process as its only voter.

    Raises
    ------
    SettingsError
        If the data folder already holds state.
    """
    files = FolderFiles(folder)
    try:
        storage = DataFolder(files)
        if storage.recover().identity is not None:
            raise SettingsError(
                str(folder),
                "already holds the state of a group member",
                "start without --bootstrap, or move the folder away",
            )
        name = ProcessName(settings.process.name)
        own = Member(MemberId(f"{name}.{secrets.token_hex(4)}"), name)
        first = Snapshot(0, 0, Membership((own,), ()), b"")
        storage.write_snapshot(first, HardState(), LogTail())
        storage.write_identity(Identity(own.id, ClusterId(secrets.token_hex(8))))
    finally:
        files.close()


def _check_settings(settings: Settings) -> None:
    if find_control_peer(settings) is None:
        raise SettingsError(
            settings.process.cluster_file,
            f"there is no [[control]] table named {settings.process.name!r}",
            "add one, or correct the name in the process's settings",
            "control",
        )
    if not settings.process.data_folder:
        raise SettingsError(
            settings.process.name,
            "a control process needs a data folder",
            "add data_folder to the process's settings",
            "data_folder",
        )


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--bootstrap",
        action="store_true",
        help="form a new replication group from an empty data folder; use it once, on "
        "one process, and the others join the group",
    )


def _build(settings: Settings, arguments: argparse.Namespace) -> ControlProcess:
    if arguments.bootstrap:
        folder = arguments.settings.parent / settings.process.data_folder
        bootstrap(settings, folder)
    return ControlProcess.from_config(settings, arguments)


def main() -> None:
    """Run the program."""
    raise SystemExit(
        run_daemon(
            "tarragonway-control",
            "Keeps the replicated state: lists, claims, endpoints, leases.",
            _build,
            load_settings,
            read_options,
            _check_settings,
            _add_arguments,
        )
    )
