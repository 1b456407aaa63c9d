"""What a gateway holds to be true, with its age."""

import msgspec

from tarragonway.core.clock import WallClock
from tarragonway.endpoints.listing import EndpointView
from tarragonway.routes.table import RouteTable


class Beliefs:
    """State that requests read and the control link writes."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.endpoints = EndpointView()
        self.listed_at = float("-inf")
        self.clock = WallClock()
        self.gateways = 0
        self.quarantined: frozenset[str] = frozenset()
        self.stopping_since: float | None = None

    @property
    def revision(self) -> int:
        """Revision of the configuration in force here, -1 if none."""
        return self.table.configuration.revision if self.table else -1


class Timing(msgspec.Struct, frozen=True):
    """Bounds from the settings, in seconds."""

    stop_intake_s: float = 3.0
    stop_deadline_s: float = 7.5
