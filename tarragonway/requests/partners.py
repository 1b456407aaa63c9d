"""Selection of the entry processes that hold copies for this one."""

import asyncio

from tarragonway.core.hashes import rank_by_hash
from tarragonway.core.ids import ProcessName, ZoneName

PARTNER_COUNT = 4
COPY_COUNT = 2


class Partners:
    """Selects partners, preferably in other availability zones, and tracks liveness.

    Every process has a few partners of its own, so that the number of heartbeats does
    not grow with the square of the number of processes.

    Parameters
    ----------
    own : ProcessName
        This process.
    zones : dict of ProcessName to ZoneName
        Availability zones of all entry processes.
    silence_s : float
        Time in seconds without an echo after which a partner counts as lost.
    """

    def __init__(
        self, own: ProcessName, zones: dict[ProcessName, ZoneName], silence_s: float
    ) -> None:
        self._own = own
        self._zones = zones
        self._silence_s = silence_s
        self._echoed: dict[ProcessName, float] = {}
        self._stopping: set[ProcessName] = set()
        self._ranked = self._rank_partners()
        self.chosen = self._ranked[:PARTNER_COUNT]

    def record_echo(self, partner: ProcessName, stopping: bool) -> None:
        """Record a partner's echo of a heartbeat."""
        self._echoed[partner] = asyncio.get_running_loop().time()
        if stopping:
            self._stopping.add(partner)
        else:
            self._stopping.discard(partner)

    def is_live(self, partner: ProcessName) -> bool:
        """Return whether a partner has echoed a heartbeat recently."""
        now = asyncio.get_running_loop().time()
        echoed_at = self._echoed.get(partner, float("-inf"))
        return now - echoed_at < self._silence_s

    def select(self) -> list[ProcessName]:
        """Return partners for one request, preferably in different zones.

        They are live and not stopping, and are at most :data:`COPY_COUNT`.
        """
        usable = [
            name
            for name in self.chosen
            if self.is_live(name) and name not in self._stopping
        ]
        selected: list[ProcessName] = []
        zones = {self._zones[self._own]}
        for name in usable:
            if self._zones[name] not in zones and len(selected) < COPY_COUNT:
                selected.append(name)
                zones.add(self._zones[name])
        for name in usable:
            if name not in selected and len(selected) < COPY_COUNT:
                selected.append(name)
        return selected

    def replace_lost(self) -> None:
        """Replace lost partners by the next processes in the ranking."""
        live = [name for name in self.chosen if self.is_live(name)]
        others = [name for name in self._ranked if name not in live]
        lost_partners = [name for name in self.chosen if name not in live]
        replacements = [name for name in others if name not in lost_partners]
        self.chosen = (live + replacements + lost_partners)[:PARTNER_COUNT]

    def _rank_partners(self) -> list[ProcessName]:
        """Return the other processes, ranked as partners.

        The processes of other zones come first, one of each zone in turn.
        """
        others = [name for name in self._zones if name != self._own]
        ranked = [ProcessName(n) for n in rank_by_hash(self._own, list(others))]
        own_zone = self._zones[self._own]
        by_zone: dict[ZoneName, list[ProcessName]] = {}
        for name in ranked:
            by_zone.setdefault(self._zones[name], []).append(name)
        zone_queues = [by_zone[zone] for zone in sorted(by_zone) if zone != own_zone]
        interleaved: list[ProcessName] = []
        while any(zone_queues):
            interleaved += [queue.pop(0) for queue in zone_queues if queue]
        return interleaved + by_zone.get(own_zone, [])
