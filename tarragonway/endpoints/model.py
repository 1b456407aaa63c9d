"""An endpoint, and the commands that change what is known of it."""

import enum

import msgspec

from tarragonway.core.ids import EndpointId, ServiceName, ZoneName


class EndpointState(enum.Enum):
    """Whether an endpoint may receive new work."""

    ACTIVE = "active"
    LEAVING = "leaving"


class Endpoint(msgspec.Struct, frozen=True):
    """One incarnation of a replica of a service; a restart has a new id.

    ``price`` is in currency units an hour. ``checks_fence`` says whether the endpoint
    refuses orders that carry an old fencing number.
    """

    id: EndpointId
    service: ServiceName
    zone: ZoneName
    url: str
    machine_class: str = ""
    price: float = 0.0
    reclaimable: bool = True
    checks_fence: bool = True
    state: EndpointState = EndpointState.ACTIVE


class Observe(msgspec.Struct, frozen=True, tag=True):
    """The platform's list as it was read, changed endpoints only.

    ``seen`` holds new or changed endpoints, ``gone`` ids that are no longer listed.
    """

    seen: tuple[Endpoint, ...] = ()
    gone: tuple[EndpointId, ...] = ()


class MarkLeaving(msgspec.Struct, frozen=True, tag=True):
    """States that endpoints are leaving, which is final."""

    endpoints: tuple[EndpointId, ...]
    reason: str


class EndpointsChanged(msgspec.Struct, frozen=True, tag=True):
    """Result of the commands: the endpoints that differ now."""

    changed: tuple[EndpointId, ...]
