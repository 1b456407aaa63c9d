"""What a gateway holds to be true, with its age."""

import asyncio
import contextlib

from tarragonway.core.clock import WallClock
from tarragonway.endpoints.listing import EndpointView
from tarragonway.routes.table import RouteTable

# Taken for the number of gateways until the leader tells it; too many is cautious.
UNKNOWN_GATEWAYS = 16


class Beliefs:
    """State that requests read and the control link writes."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.endpoints = EndpointView()
        self.listed_at = float("-inf")
        self.clock = WallClock()
        self.gateways = UNKNOWN_GATEWAYS
        self.quarantined: frozenset[str] = frozenset()
        self.suspects: frozenset[str] = frozenset()
        self.stopping_since: float | None = None
        self._complete = asyncio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether a configuration and endpoints are known."""
        return self.table is not None and bool(self.endpoints.rows)

    def note_change(self) -> None:
        """Wake the requests that wait for the first configuration and endpoints."""
        if self.is_complete:
            self._complete.set()

    async def wait_complete(self, limit_s: float) -> None:
        """Return once all is known, or after ``limit_s``."""
        if self.is_complete:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._complete.wait()

    @property
    def revision(self) -> int:
        """Revision of the configuration in force here, -1 if none."""
        return self.table.configuration.revision if self.table else -1
