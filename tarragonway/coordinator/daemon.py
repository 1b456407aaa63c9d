"""Coordinator daemon: wires the log, the links, the duties and the HTTP servers."""

import argparse
import asyncio
import pathlib
from typing import Any

import structlog

from tarragonway.consensus import DataFolder, Member, Packet
from tarragonway.consensus.files import FolderFiles
from tarragonway.coordinator.bootstrap import (
    TICK_INTERVAL_S,
    find_operator_address,
    get_peer_address,
    make_driver,
)
from tarragonway.coordinator.dump import make_state_dump
from tarragonway.coordinator.endpoint_messages import (
    EndpointMessage,
    EndpointMessageHandler,
)
from tarragonway.coordinator.gateways import GatewayReports
from tarragonway.coordinator.lease import DutyLease
from tarragonway.coordinator.list_publisher import ListPublisher
from tarragonway.coordinator.machine import CoordinatorMachine
from tarragonway.coordinator.operator_server import make_operator_server
from tarragonway.coordinator.origin_store import OriginStore
from tarragonway.coordinator.part_holds import PartHolds
from tarragonway.coordinator.quotas import QuotaBuckets, QuotaPolicy
from tarragonway.coordinator.rollouts import RolloutCoordinator
from tarragonway.coordinator.scaling import FleetReconciler
from tarragonway.coordinator.service_capacity import list_capacities
from tarragonway.coordinator.status import StatusPublisher, make_status
from tarragonway.coordinator.stored_configuration import StoredConfiguration
from tarragonway.coordinator.stream_origins import StreamOrigins
from tarragonway.coordinator.usage import UsageReporter
from tarragonway.coordinator.usage_windows import UsageWindows
from tarragonway.core.clock import WallClock
from tarragonway.core.counters import Counters
from tarragonway.core.ids import ProcessName, ZoneName
from tarragonway.core.numbers import encode_integer
from tarragonway.endpoints.endpoint_list import EndpointView
from tarragonway.endpoints.reader import ListReader
from tarragonway.http1 import CallClient
from tarragonway.links import Link, LinkPool
from tarragonway.links.messages import (
    ConfigurationText,
    EndpointLeaving,
    FetchConfiguration,
    GatewayReport,
    Hello,
    Join,
    LinkMessage,
    OriginRequest,
    QuotaRequest,
    QuotaReturn,
    Status,
    StreamsBegan,
    VersionsRequest,
)
from tarragonway.node.metrics import listen_for_metrics, make_metrics_server
from tarragonway.node.settings import NodeSettings
from tarragonway.platform import configuration, duties, listing, names, rollouts
from tarragonway.process.tasks import BackgroundTasks
from tarragonway.replication.admission import admit_member
from tarragonway.rollouts.decision import RolloutPolicy

JOIN_INTERVAL_S = 0.3
MAX_NAMED_MEMBERS = 32
# Fraction of the grace period that stepping down may take. A member without which the
# group has no majority keeps running for up to half of that time, and then transfers
# leadership.
STEP_DOWN_GRACE_FRACTION = 0.75
PENDING_CALLS_TIMEOUT_S = 1.0

_log = structlog.get_logger()


class CoordinatorProcess(BackgroundTasks):
    """Coordinator that replicates the configuration and takes part in elections.

    Every coordinator serves the operators' interface and the links of the gateways.
    Only the leader publishes the endpoint list, grants quotas, and carries out the
    duties, which are to report usage and to scale services.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.
    """

    def __init__(self, settings: NodeSettings) -> None:
        super().__init__()
        self._settings = settings
        bounds = settings.bounds
        self._counters = Counters()
        self._address = settings.peer_address
        self._seeds = settings.seed_peers
        self._files = FolderFiles(pathlib.Path(settings.data_folder))
        self._folder = DataFolder(self._files)
        self._machine = CoordinatorMachine()
        try:
            self._driver = make_driver(
                settings,
                self._files,
                self._folder,
                self._machine,
                self._send_packet,
                self._counters,
            )
        except OSError:
            # The start is tried again, and takes the folder's lock again.
            self._files.close()
            raise
        self._link_pool = LinkPool(
            self._handle_message,
            self._handle_link_opened,
            self._handle_link_closed,
            self._counters,
        )
        self._gateways: dict[Link, ProcessName] = {}
        self._named_members: set[str] = set()
        self._clock = WallClock()
        self._view = EndpointView()
        self._configuration = StoredConfiguration(
            self._machine, configuration.decode_compressed, self._counters
        )
        self._quotas = QuotaBuckets(QuotaPolicy.from_bounds(bounds), self._counters)
        self._lease = DutyLease(self._driver, bounds.lease_ms / 1000)
        self._gateway_reports = GatewayReports(
            self._driver,
            self._lease,
            self._clock,
            lambda get_pace: list_capacities(
                self._configuration.read(), self._view, get_pace
            ),
            self._counters,
        )
        self._part_holds = PartHolds(
            self._gateway_reports.parts,
            self._gateway_reports.suspects,
            self._driver,
            self._machine,
            lambda: list(self._gateways),
            self._counters,
        )
        # Its clock is not corrected, since the next start reads the same clock.
        self._origin_store = OriginStore(self._files, WallClock(), self._counters)
        self._origins = StreamOrigins(
            self._driver,
            self._machine,
            lambda: list(self._gateways),
            self._origin_store,
            self._counters,
        )
        self._endpoint_messages = EndpointMessageHandler(
            self._driver,
            self._gateway_reports,
            self._part_holds,
            self._make_status,
            self._counters,
        )
        address = settings.platform.address
        reader = ListReader(
            CallClient(address),
            listing.make_list_call,
            listing.decode_page,
            self._counters,
        )
        self._publisher = ListPublisher(
            self._driver,
            reader,
            self._view,
            lambda: list(self._gateways),
            self._origins.register,
            self._handle_list_change,
            settings.platform.calls_per_s,
        )
        self._usage = UsageReporter(
            settings.name,
            UsageWindows(bounds.report_window_s, bounds.usage_late_s),
            self._driver,
            self._machine,
            self._lease,
            self._gateway_reports,
            self._clock,
            self._gateways.values,
            CallClient(address),
            duties.make_usage_call,
            self._counters,
        )
        self._rollouts = RolloutCoordinator(
            RolloutPolicy(bounds.exposure_share, bounds.exposure_slack),
            self._driver,
            self._machine,
            self._lease,
            self._clock,
            self._gateway_reports,
            self._view,
            lambda: self._publisher.has_current_list,
            self._gateways,
            self._counters,
        )
        self._fleet = FleetReconciler(
            settings.name,
            [ZoneName(zone) for zone in settings.zones],
            self._driver,
            self._lease,
            self._gateway_reports,
            self._view,
            lambda: self._publisher.has_current_list,
            self._configuration.read,
            CallClient(address),
            duties.make_scale_call,
            self._counters,
            lambda: self._machine.rollouts.rollouts,
        )
        self._operators = make_operator_server(
            self._driver,
            self._machine,
            self._configuration,
            self._clock,
            bounds,
            (configuration.decode_submitted, configuration.decode_configuration),
            (names.PUT_CONFIGURATION_PATH, names.GET_CONFIGURATION_PATH),
            rollouts.CALLS,
            lambda: find_operator_address(self._driver, settings.listen.operators),
            self._counters,
        )
        self._metrics = make_metrics_server(self._counters, self.make_dump)
        self._status = StatusPublisher(self._make_status, lambda: list(self._gateways))

    @classmethod
    def from_config(
        cls, settings: NodeSettings, arguments: argparse.Namespace
    ) -> "CoordinatorProcess":
        """Create the process; an event loop must be running."""
        return cls(settings)

    async def start(self) -> None:
        """Open sockets and start tasks."""
        self._driver.on_state_change = self._status.publish_changed
        await self._link_pool.listen(self._settings.listen.peers)
        self._start_permanent_task(self._driver.run())
        self._start_permanent_task(self._maintain_member_links())
        self._start_permanent_task(self._publish_status_periodically())
        self._start_permanent_task(self._part_holds.run())
        self._start_permanent_task(self._origins.run())
        self._start_permanent_task(self._origin_store.run())
        self._start_permanent_task(self._publisher.run())
        if self._rollouts.is_enabled:
            self._start_permanent_task(self._rollouts.run())
        if "usage" in self._settings.platform.duties:
            self._start_permanent_task(self._usage.run())
        if "scaling" in self._settings.platform.duties:
            self._start_permanent_task(self._fleet.run())
        await self._operators.listen(self._settings.listen.operators)
        if metrics_address := self._settings.listen.metrics:
            self._start_task(listen_for_metrics(self._metrics, metrics_address))

    def reload(self, settings: NodeSettings) -> None:
        """Apply new settings; only the seeds can change without a restart."""
        self._seeds = settings.seed_peers

    async def drain(self) -> None:
        """Step down, and wait up to a second until operators' calls are answered."""
        await self._driver.step_down(
            self._settings.bounds.grace_s * STEP_DOWN_GRACE_FRACTION
        )
        loop = asyncio.get_running_loop()
        end = loop.time() + PENDING_CALLS_TIMEOUT_S
        self._operators.announce_close()
        while self._operators.active_requests and loop.time() < end:
            await asyncio.sleep(TICK_INTERVAL_S)

    async def hand_over(self) -> None:
        """Do nothing, since the other replicas already have the log."""

    async def close(self) -> None:
        """Stop all tasks and close the sockets and files."""
        self._operators.close()
        await self._link_pool.close()
        await self._end_tasks()
        self._files.close()

    def make_dump(self) -> dict[str, Any]:
        """Return the process's state for the state dump."""
        return make_state_dump(
            self._settings.name,
            self._driver,
            self._machine,
            self._gateways.values(),
            self._gateway_reports,
            self._counters,
        )

    # Membership

    async def _maintain_member_links(self) -> None:
        """Maintain links to all members and seeds.

        Join requests are sent until this process is a voter that hears of a leader.
        Only the leader can admit it and may be no seed, so it also connects to the
        members that others name.
        """
        own = self._driver.own_member
        while True:
            membership = self._driver.replica.membership
            known = {member.name for member in membership.members}
            seeks_admission = self._driver.replica.seeks_admission
            if not seeks_admission:
                self._named_members.clear()
            self._link_pool.connect_to(
                {*known, *self._seeds, *self._named_members} - {self._address}
            )
            if seeks_admission:
                for link in self._link_pool.links.values():
                    link.send(Join(own))
            await asyncio.sleep(JOIN_INTERVAL_S)

    def _send_packet(self, packet: Packet) -> None:
        self._link_pool.send(get_peer_address(packet.target), packet)

    def _handle_packet(self, packet: Packet) -> None:
        is_target = packet.target == self._driver.own_member.id
        if (
            is_target
            and not self._driver.has_cluster
            and not admit_member(self._folder, self._driver, packet.cluster)
        ):
            return
        source = get_peer_address(packet.source)
        if is_target and source not in self._link_pool.links:
            # The leader may be missing from the membership known to this process.
            self._seeds = sorted({*self._seeds, source})
        self._driver.handle_packet(packet)

    # Messages

    def _handle_link_opened(self, link: Link) -> None:
        """Do nothing, since a coordinator sends no first message on a link."""

    def _handle_link_closed(self, link: Link) -> None:
        self._gateways.pop(link, None)
        self._publisher.remove_link(link)

    def _handle_message(self, link: Link, message: LinkMessage) -> None:
        """Handle a message of another coordinator or of a gateway."""
        match message:
            case Packet():
                self._handle_packet(message)
            case Join(member):
                self._handle_join(link, member)
            case Status():
                self._record_named_members(message)
            case _:
                self._handle_gateway_message(link, message)

    def _handle_gateway_message(self, link: Link, message: LinkMessage) -> None:
        match message:
            case Hello(name):
                link.peer = name
                self._gateways[link] = name
                link.send(self._make_status())
                self._rollouts.send_orders(link)
                self._part_holds.send_held(link)
                self._origins.send_versions(link)
            case StreamsBegan() | OriginRequest() | VersionsRequest():
                self._origins.handle(link, message)
            case FetchConfiguration():
                revision = encode_integer(self._machine.revision)
                link.send(ConfigurationText(revision, self._machine.data))
            case GatewayReport():
                self._handle_report(link, message)
            case QuotaRequest():
                self._handle_quota_request(link, message)
            case QuotaReturn():
                self._quotas.return_units(message)
            case EndpointLeaving(endpoint):
                self._publisher.mark_leaving((endpoint,))
            case message if isinstance(message, EndpointMessage):
                gateway = self._gateways.get(link, ProcessName(""))
                self._endpoint_messages.handle(link, gateway, message)
            case _:
                self._counters.increment("links.unexpected")

    def _handle_join(self, link: Link, member: Member) -> None:
        """Record the request, and name the leader to the sender if it is another."""
        self._driver.record_join_request(member)
        if not self._driver.is_leader:
            link.send(self._make_status())

    def _record_named_members(self, status: Status) -> None:
        if self._driver.replica.seeks_admission:
            named = {*status.coordinators, status.leader} - {""}
            self._named_members = set(sorted(named)[:MAX_NAMED_MEMBERS])

    def _handle_report(self, link: Link, gateway_report: GatewayReport) -> None:
        if not self._driver.is_leader:
            link.send(self._make_status())
            return
        now = asyncio.get_running_loop().time()
        self._part_holds.restore()
        self._publisher.mark_leaving(gateway_report.leaving)
        self._publisher.refresh_gateway(
            link, (gateway_report.list_term, gateway_report.list_version), now
        )
        accounts = self._configuration.read_accounts()
        if gateway_report.history is not None:
            self._quotas.record_history(
                gateway_report.name, gateway_report.history, accounts, now
            )
        reply = self._gateway_reports.handle_report(
            gateway_report,
            self._publisher.list_version,
            min(1e6, now - self._publisher.read_at),
            now,
            self._quotas.list_near_quota(accounts, now),
            self._rollouts.handle_report(gateway_report, now),
        )
        link.send(reply)

    def _handle_quota_request(self, link: Link, quota_request: QuotaRequest) -> None:
        if not self._driver.is_leader:
            link.send(self._make_status())
            return
        now = asyncio.get_running_loop().time()
        accounts = self._configuration.read_accounts()
        link.send(self._quotas.handle_request(quota_request, accounts, now))

    def _handle_list_change(self) -> None:
        self._gateway_reports.limits.retain(self._view.rows)
        self._fleet.notify_endpoints_changed()

    # Status

    def _make_status(self) -> Status:
        return make_status(self._driver, self._machine.revision)

    async def _publish_status_periodically(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._lease.observe()
            if not self._driver.is_leader:
                self._gateway_reports.clear()
                self._quotas.clear()
            now = asyncio.get_running_loop().time()
            self._quotas.update_divisions(self._configuration.read_accounts(), now)
            self._status.publish_due(now)
