"""Settings of the programs that run on a platform with its own control plane."""

import pathlib
from typing import Annotated

import msgspec
from msgspec import Meta

from tarragonway.core.errors import SettingsError
from tarragonway.core.tomlfile import read_toml

Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Milliseconds = Annotated[float, Meta(gt=0, le=86_400_000)]


class _Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all settings: immutable, and unknown keys are errors."""


class Listen(_Part, frozen=True):
    """Addresses that this process serves.

    ``peers`` is for the system's own processes. A gateway has ``callers`` and
    ``readiness``, a coordinator ``operators``. Others dial ``advertised``, if it
    differs from ``peers``.
    """

    peers: Address
    advertised: str = ""
    callers: str = ""
    readiness: str = ""
    operators: str = ""
    metrics: str = ""


class PlatformSettings(_Part, frozen=True):
    """The platform's interface; ``calls_per_s`` is over all processes."""

    address: Address
    calls_per_s: Annotated[float, Meta(gt=0)] = 40.0
    duties: list[str] = []


class Bounds(_Part, frozen=True):
    """Bounds that the deployment promises or demands."""

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


class NodeSettings(_Part, frozen=True):
    """Settings of one process.

    ``seeds`` are operators' addresses of coordinators; their addresses between
    processes have the same ports as this one's.
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
        """Address between processes that others dial."""
        return self.listen.advertised or self.listen.peers

    @property
    def seed_peers(self) -> list[str]:
        """Addresses of the seeds between processes."""
        port = self.listen.peers.rpartition(":")[2]
        return [f"{seed.rpartition(':')[0]}:{port}" for seed in self.seeds]


def load_node_settings(path: pathlib.Path) -> NodeSettings:
    """Read and check the settings of one process.

    Raises
    ------
    SettingsError
        If the file cannot be used.
    """
    settings = read_toml(path, NodeSettings)
    if not settings.seeds:
        raise SettingsError(
            str(path), "is empty", "name at least one coordinator", "seeds"
        )
    return settings
