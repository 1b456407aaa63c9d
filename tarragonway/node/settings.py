"""Settings of gateways and coordinators.

These programs run on a platform that has its own control plane.
"""

import pathlib
from typing import Annotated

import msgspec
from msgspec import Meta

from tarragonway.core.errors import SettingsError
from tarragonway.core.tomlfile import read_toml

Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Milliseconds = Annotated[float, Meta(gt=0, le=86_400_000)]


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all tables of settings: immutable, and unknown keys are errors."""


class Listen(_Table, frozen=True):
    """Addresses on which this process listens.

    ``peers`` serves other gateways and coordinators, which connect to ``advertised`` if
    it is set. ``callers`` and ``readiness`` are for gateways only, ``operators`` for
    coordinators only.
    """

    peers: Address
    advertised: str = ""
    callers: str = ""
    readiness: str = ""
    operators: str = ""
    metrics: str = ""


class PlatformSettings(_Table, frozen=True):
    """The platform's interface.

    ``calls_per_s`` is its limit for the calls of all processes. ``duties`` names the
    calls that the leader makes: "usage" reports usage, "scaling" orders endpoints.
    """

    address: Address
    calls_per_s: Annotated[float, Meta(gt=0)] = 40.0
    duties: list[str] = []


class Bounds(_Table, frozen=True):
    """Limits that the deployment guarantees or requires.

    ``lease_ms`` must lie between the calls of two leaders to the platform. A process
    has ``grace_s`` to stop. A usage report covers ``report_window_s``, and is due
    ``usage_late_s`` after the window's end. In any ``quota_window_s``, a client account
    may exceed its quota by the fraction ``quota_overrun`` and ``quota_slack`` tokens.
    """

    lease_ms: Milliseconds = 3000
    grace_s: Annotated[float, Meta(gt=0)] = 8.0
    drain_ms: Milliseconds = 3000
    report_window_s: Annotated[float, Meta(gt=0)] = 5.0
    usage_late_s: Annotated[float, Meta(gt=0)] = 10.0
    retry_ratio: Annotated[float, Meta(ge=0)] = 0.1
    retry_slack: Annotated[float, Meta(ge=0)] = 10.0
    quota_window_s: Annotated[float, Meta(gt=0)] = 8.0
    quota_overrun: Annotated[float, Meta(ge=0)] = 0.0
    quota_slack: Annotated[float, Meta(ge=0)] = 0.0


class NodeSettings(_Table, frozen=True):
    """Settings of one process.

    ``seeds`` are the operator addresses of coordinators. Their peer addresses have the
    same port as this process's.
    """

    name: str
    zone: str
    zones: list[str]
    listen: Listen
    seeds: list[Address]
    platform: PlatformSettings
    bounds: Bounds = Bounds()
    data_folder: str = ""
    bootstrap: bool = False

    @property
    def peer_address(self) -> str:
        """Address to which other processes connect."""
        return self.listen.advertised or self.listen.peers

    @property
    def seed_peers(self) -> list[str]:
        """Peer addresses of the seeds."""
        port = self.listen.peers.rpartition(":")[2]
        return [f"{seed.rpartition(':')[0]}:{port}" for seed in self.seeds]


def load_node_settings(path: pathlib.Path) -> NodeSettings:
    """Read and check the settings of one process.

    Raises
    ------
    SettingsError
        If the file can't be read, or a value is invalid or missing.
    """
    settings = read_toml(path, NodeSettings)
    if not settings.seeds:
        raise SettingsError(
            str(path), "is empty", "name at least one coordinator", "seeds"
        )
    return settings
