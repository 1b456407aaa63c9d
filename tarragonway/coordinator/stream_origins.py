"""Origins of streams at a coordinator: gateways' records, and versions in service."""

import asyncio
from collections.abc import Callable, Iterable

import structlog

from tarragonway.coordinator.machine import CoordinatorMachine, PutVersions
from tarragonway.coordinator.origin_store import OriginStore
from tarragonway.core.counters import Counters
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.links import Link
from tarragonway.links.link import encode_message
from tarragonway.links.messages import (
    OriginReply,
    OriginRequest,
    StreamsBegan,
    VersionsInService,
    VersionsReply,
    VersionsRequest,
)
from tarragonway.replication import LogDriver
from tarragonway.versions import VersionHistory, is_in_history

# The leader publishes changes at once, so this only bounds the delay of other members.
CHECK_INTERVAL_S = 0.25
# Longest wait for the log before a list is published without new versions.
REGISTRATION_TIMEOUT_S = 0.3
# Longest wait for a majority that confirms the versions in service.
CONFIRMATION_TIMEOUT_S = 0.3

_log = structlog.get_logger()


class StreamOrigins:
    """Keeps gateways' records on this process and the versions in service in the log.

    Parameters
    ----------
    driver : LogDriver
        The replicated log.
    machine : CoordinatorMachine
        State machine with the versions that are committed.
    list_gateways : callable
        Returns the links of the gateways.
    store : OriginStore
        Keeps the records of the gateways.
    counters : Counters
        Receives ``origins.*`` counters.
    """

    def __init__(
        self,
        driver: LogDriver,
        machine: CoordinatorMachine,
        list_gateways: Callable[[], Iterable[Link]],
        store: OriginStore,
        counters: Counters,
    ) -> None:
        self._driver = driver
        self._machine = machine
        self._list_gateways = list_gateways
        self._counters = counters
        self._store = store
        self._history = VersionHistory()
        self._restored_term = -1
        self._published_revision = 0
        self._proposal: asyncio.Task | None = None
        self._confirmations: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Publish committed changes until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._publish_changes()

    async def register(self, rows: list[ListedEndpoint]) -> list[ListedEndpoint]:
        """As the leader, commit the versions of a list before it is published.

        Returns
        -------
        list of ListedEndpoint
            The rows that may be published. Those of a version that could not be
            committed in time are left out until a later list.
        """
        now = asyncio.get_running_loop().time()
        term = self._driver.replica.term
        if self._restored_term != term:
            self._restored_term = term
            self._history.restore(self._machine.versions, now)
        self._history.observe(rows, now)
        versions = self._history.versions
        if versions != self._machine.versions:
            await self._commit(PutVersions(versions))
        self._publish_changes()
        committed = self._machine.versions
        known = [row for row in rows if is_in_history(committed, row)]
        if len(known) < len(rows):
            self._counters.increment("origins.unregistered")
            _log.warning(
                "endpoints are not published, as their versions are not in the log yet",
                endpoints=[row.key for row in rows if row not in known],
                committed=committed,
            )
        return known

    async def _commit(self, command: PutVersions) -> None:
        if self._proposal is None or self._proposal.done():
            _log.info("software versions in service change", versions=command.versions)
            self._proposal = asyncio.create_task(self._driver.propose(command))
        await asyncio.wait([self._proposal], timeout=REGISTRATION_TIMEOUT_S)

    def send_versions(self, link: Link) -> None:
        """Send the versions in service to a gateway, if this process knows them."""
        if self._knows_versions:
            link.send(self._make_message())

    def handle(
        self, link: Link, message: StreamsBegan | OriginRequest | VersionsRequest
    ) -> None:
        """Handle a gateway's message; every coordinator does, not only the leader."""
        match message:
            case StreamsBegan(origin, keys, lifetimes_s):
                for key, lifetime_s in zip(keys, lifetimes_s, strict=False):
                    self._store.add(key, origin, lifetime_s)
            case OriginRequest(sequence, key):
                origins = self._store.find(key)
                found = "origins.found" if origins else "origins.missing"
                self._counters.increment(found)
                link.send(OriginReply(sequence, origins))
            case VersionsRequest(sequence):
                task = asyncio.create_task(self._confirm_versions(link, sequence))
                self._confirmations.add(task)
                task.add_done_callback(self._confirmations.discard)

    async def _confirm_versions(self, link: Link, sequence: int) -> None:
        """Send the versions in service, if a majority confirms this leader.

        A former leader would not know the versions that its successor has added.
        """
        versions = None
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT_S):
                index = await self._driver.confirm_read_index()
                if isinstance(index, int):
                    await self._driver.wait_applied(index)
                    versions = self._machine.versions
        except TimeoutError:
            self._counters.increment("origins.unconfirmed")
        link.send(VersionsReply(sequence, versions))

    @property
    def _knows_versions(self) -> bool:
        """Whether the committed versions of before the start are applied."""
        is_current = self._driver.has_applied_restored_log
        return is_current and self._machine.versions_revision > 0

    def _publish_changes(self) -> None:
        revision = self._machine.versions_revision
        if not self._knows_versions or revision == self._published_revision:
            return
        self._published_revision = revision
        frame = encode_message(self._make_message())
        for link in list(self._list_gateways()):
            link.send_encoded(frame)

    def _make_message(self) -> VersionsInService:
        machine = self._machine
        return VersionsInService(machine.versions_revision, machine.versions)
