"""State that a gateway has received from the coordinators or read itself."""

import asyncio
import contextlib
import random

import structlog

from tarragonway.core.clock import WallClock
from tarragonway.endpoints.endpoint_list import EndpointView
from tarragonway.overload import LoadShedder
from tarragonway.rollouts.traffic import RolloutTraffic
from tarragonway.routes.table import RouteTable

# Number of gateways that is assumed until the leader sends it. Too high a number only
# makes each gateway's part of shared limits smaller.
DEFAULT_GATEWAYS = 16
DEFAULT_DRAIN_S = 3.0
# A change of the part of shared limits by more than this factor is logged.
LOGGED_PART_CHANGE = 1.25

_log = structlog.get_logger()


class GatewayState:
    """Configuration, endpoints and quarantine, as known to this gateway.

    The control link writes it and requests read it. ``list_current_at`` is the time
    of the event loop's clock at which the endpoint list was last known to be current.
    ``quarantined`` are the contents that the leader has quarantined, ``held_contents``
    those of which the replicated log knows; neither may be sent to endpoints.
    ``knows_held_parts`` is set once a coordinator has sent the prompt parts and
    contents that must not be sent to endpoints. Coordinators send the rollouts first,
    so that they are known too.
    ``shedder`` has the offered load, and the part of it that the leader admits.
    ``intake_ends_at`` is the time from which arriving requests are refused, None unless
    the gateway drains.

    Parameters
    ----------
    drain_s : float
        Seconds after which an endpoint that is listed as leaving must not be sent
        requests any more.
    rollouts : RolloutTraffic, optional
        Rollouts of software versions, of which none is known at first.
    has_unequal_parts : bool, optional
        Whether the gateway's part of limits that all gateways share follows its load.
    """

    def __init__(
        self,
        drain_s: float = DEFAULT_DRAIN_S,
        rollouts: RolloutTraffic | None = None,
        has_unequal_parts: bool = False,
    ) -> None:
        self.drain_s = drain_s
        self.rollouts = rollouts or RolloutTraffic()
        self.table: RouteTable | None = None
        self.endpoints = EndpointView()
        self.list_current_at = float("-inf")
        self.clock = WallClock()
        self.gateways = DEFAULT_GATEWAYS
        self._has_unequal_parts = has_unequal_parts
        self._part = self._logged_part = 0.0
        self.quarantined: frozenset[str] = frozenset()
        self.held_contents: frozenset[str] = frozenset()
        self.suspects: frozenset[str] = frozenset()
        self.knows_held_parts = False
        self.shedder = LoadShedder(random.Random())
        self.intake_ends_at: float | None = None
        self._complete = asyncio.Event()

    @property
    def stated_part(self) -> float:
        """Part of shared limits that the leader states, 0 for the equal part."""
        return self._part

    def compute_part(self, total: float) -> float:
        """Return this gateway's part of a limit that all gateways share."""
        return total * self._part if self._part else total / self.gateways

    def set_part(self, part: float) -> None:
        """Set the part that the leader states, 0 for the equal part."""
        if not self._has_unequal_parts:
            return
        self._part = part
        current = self.compute_part(1.0)
        known = self._logged_part or 1 / self.gateways
        if max(current, known) > LOGGED_PART_CHANGE * min(current, known):
            _log.info(
                "part of shared limits changed",
                part=round(current, 5),
                part_before=round(known, 5),
                gateways=self.gateways,
            )
            self._logged_part = part

    @property
    def is_complete(self) -> bool:
        """Whether a configuration, an endpoint and the held parts are known."""
        has_lists = self.table is not None and bool(self.endpoints.rows)
        return has_lists and self.knows_held_parts

    def notify_if_complete(self) -> None:
        """Wake waiting requests once everything that they need is known."""
        if self.is_complete:
            self._complete.set()

    async def wait_complete(self, timeout_s: float) -> None:
        """Wait until everything is known, at most ``timeout_s`` seconds."""
        if self.is_complete:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._complete.wait()

    @property
    def revision(self) -> int:
        """Revision of the configuration in force in this process, -1 if none."""
        return self.table.configuration.revision if self.table else -1
