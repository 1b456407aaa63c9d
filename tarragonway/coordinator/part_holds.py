"""Quarantine: the leader decides, the log keeps, all coordinators publish.

It holds prompt parts and whole contents that crash endpoints.
"""

import asyncio
import math
from collections.abc import Callable, Iterable

import structlog

from tarragonway.coordinator.machine import CoordinatorMachine, PutHeldParts
from tarragonway.coordinator.suspects import SuspectedContents
from tarragonway.core.counters import Counters
from tarragonway.core.ids import ProcessName
from tarragonway.links import Link
from tarragonway.links.link import encode_message
from tarragonway.links.messages import (
    HeldParts,
    PartsContinued,
    PartsEnded,
    ProbeEnded,
    ProbeReply,
    ProbeRequest,
)
from tarragonway.quarantine import PartQuarantine, ProbeId
from tarragonway.replication import LogDriver

CHECK_INTERVAL_S = 0.05

_log = structlog.get_logger()


class PartHolds:
    """Connects the decisions on prompt parts and contents to the log and the gateways.

    Parameters
    ----------
    quarantine : PartQuarantine
        The leader's decisions on prompt parts.
    suspects : SuspectedContents
        The leader's decisions on contents.
    driver : LogDriver
        The replicated log.
    machine : CoordinatorMachine
        State machine with the held parts and contents that are committed.
    list_gateways : callable
        Returns the links of the gateways.
    counters : Counters
        Receives ``quarantine.*`` counters.
    """

    def __init__(
        self,
        quarantine: PartQuarantine,
        suspects: SuspectedContents,
        driver: LogDriver,
        machine: CoordinatorMachine,
        list_gateways: Callable[[], Iterable[Link]],
        counters: Counters,
    ) -> None:
        self._quarantine = quarantine
        self._suspects = suspects
        self._driver = driver
        self._machine = machine
        self._list_gateways = list_gateways
        self._counters = counters
        self._restored_term = -1
        self._published_revision = -1

    async def run(self) -> None:
        """Decide as the leader, and publish committed changes, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._publish_changes()
            if not self._driver.is_leader:
                continue
            self.restore()
            self._quarantine.update(loop.time())
            self._suspects.expire(loop.time())
            held, contents = self._quarantine.held, self._suspects.held
            has_new_parts = held != self._machine.held
            has_new_contents = contents != self._machine.held_contents
            if has_new_parts:
                self._counters.increment("quarantine.changes")
            if has_new_contents:
                self._counters.increment("quarantine.content_changes")
            if has_new_parts or has_new_contents:
                await self._driver.propose(PutHeldParts(held, contents))

    def restore(self) -> None:
        """As the leader, take over the quarantine of former leaders, once a term."""
        term = self._driver.replica.term
        if self._driver.is_leader and self._restored_term != term:
            self._restored_term = term
            now = asyncio.get_running_loop().time()
            self._quarantine.restore(self._machine.held, now)
            self._suspects.restore(self._machine.held_contents, now)

    def send_held(self, link: Link) -> None:
        """Send the held parts and contents to a gateway.

        A process without a configuration has applied nothing yet and knows of none.
        """
        if self._machine.revision >= 0:
            link.send(self._make_message())

    def handle(
        self,
        link: Link,
        gateway: ProcessName,
        message: ProbeRequest | ProbeEnded | PartsContinued | PartsEnded,
    ) -> None:
        """Handle a gateway's message as the leader."""
        now = asyncio.get_running_loop().time()
        self.restore()
        match message:
            case ProbeRequest(sequence, parts):
                probe = ProbeId(gateway, sequence)
                wait_s = self._quarantine.request_probe(parts, probe, now)
                self._counters.increment(
                    "quarantine.probes_denied" if wait_s else "quarantine.probes"
                )
                reply = ProbeReply(sequence, wait_s if math.isfinite(wait_s) else None)
                link.send(reply)
            case ProbeEnded(sequence):
                self._quarantine.end_probe(ProbeId(gateway, sequence))
            case PartsContinued(ages_s):
                for part, age_s in ages_s.items():
                    self._quarantine.record_lasted(part, 0.0, now - age_s)
            case PartsEnded(ages_s):
                for part, age_s in ages_s.items():
                    self._quarantine.record_ended(part, now - age_s)

    def _publish_changes(self) -> None:
        revision = self._machine.held_revision
        if self._machine.revision < 0 or revision == self._published_revision:
            return
        self._published_revision = revision
        frame = encode_message(self._make_message())
        for link in list(self._list_gateways()):
            link.send_encoded(frame)

    def _make_message(self) -> HeldParts:
        return HeldParts(
            self._machine.held_revision,
            tuple(self._machine.held),
            tuple(self._machine.held_contents),
        )
