"""Endpoint, and the commands that change the replicated table of endpoints."""

import enum

import msgspec

from tarragonway.core.ids import EndpointId, ServiceName, ZoneName


class EndpointState(enum.Enum):
    """Whether an endpoint may receive new work."""

    ACTIVE = "active"
    LEAVING = "leaving"


class Endpoint(msgspec.Struct, frozen=True):
    """One incarnation of a replica of a service; a restarted replica has a new id.

    ``price`` is in currency units per hour. ``checks_fence`` states whether the
    endpoint refuses orders that carry an old fencing token.
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


class ObserveEndpoints(msgspec.Struct, frozen=True, tag="Observe"):
    """Changes between the table of endpoints and the platform's list.

    ``seen`` holds new or changed endpoints, ``gone`` the ids of removed ones.
    """

    seen: tuple[Endpoint, ...] = ()
    gone: tuple[EndpointId, ...] = ()


class MarkLeaving(msgspec.Struct, frozen=True, tag=True):
    """Marks endpoints as leaving, which is final."""

    endpoints: tuple[EndpointId, ...]
    reason: str


class EndpointsChanged(msgspec.Struct, frozen=True, tag=True):
    """Result of the commands: the endpoints that they have changed."""

    changed: tuple[EndpointId, ...]
