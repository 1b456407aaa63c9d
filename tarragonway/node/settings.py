"""Settings of gateways and coordinators.

These programs run on a platform that has its own control plane.
"""

import pathlib
from collections.abc import Callable, Iterator
from typing import Annotated

import msgspec
from msgspec import Meta

from tarragonway.core.addresses import (
    AddressError,
    check_endpoint_address,
    parse_address,
)
from tarragonway.core.errors import SettingsError
from tarragonway.core.tomlfile import find_line, read_toml

Milliseconds = Annotated[float, Meta(gt=0, le=86_400_000)]


class _Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all tables of settings: immutable, and unknown keys are errors."""


class Listen(_Table, frozen=True):
    """Addresses on which this process listens.

    ``peers`` serves other gateways and coordinators, which connect to ``advertised`` if
    it is set. ``callers`` and ``readiness`` are for gateways only, ``operators`` for
    coordinators only.
    """

    peers: str
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

    address: str
    calls_per_s: Annotated[float, Meta(gt=0)] = 40.0
    duties: list[str] = []


class Bounds(_Table, frozen=True):
    """Limits that the deployment guarantees or requires.

    ``lease_ms`` must lie between the calls of two leaders to the platform. A process
    has ``grace_s`` to stop. A usage report covers ``report_window_s``, and is due
    ``usage_late_s`` after the window's end. In any ``quota_window_s``, a client account
    may exceed its quota by the fraction ``quota_overrun`` and ``quota_slack`` tokens.
    An operator's order is acknowledged within ``ack_ms``. A bad software version gets
    at most the fraction ``exposure_share`` of its service's requests during a rollout
    and ``exposure_slack`` more, and none later than ``rollback_ms`` after its 50th bad
    answer; rollouts are not served if ``exposure_share`` is 0.
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
    ack_ms: Milliseconds = 5000
    exposure_share: Annotated[float, Meta(ge=0, le=1)] = 0.0
    exposure_slack: Annotated[float, Meta(ge=0)] = 0.0
    rollback_ms: Milliseconds = 5000


class InstanceLimits(_Table, frozen=True):
    """Limits of the instance that the process runs on; 0 means that it is not known.

    The processor gives ``cpu_share`` of a core that is ``cores`` times as fast as a
    usual one. ``link_mbps`` is the bandwidth of its network link.
    """

    cpu_share: Annotated[float, Meta(ge=0)] = 0.0
    cores: Annotated[float, Meta(ge=0)] = 0.0
    memory_mb: Annotated[float, Meta(ge=0)] = 0.0
    max_fds: Annotated[float, Meta(ge=0)] = 0.0
    link_mbps: Annotated[float, Meta(ge=0)] = 0.0


class HedgingSettings(_Table, frozen=True):
    """Limit of hedged requests at a gateway; 0 as ``fraction`` turns them off.

    In the ``window_s`` before an extra send, the extra sends of a service are at most
    ``fraction`` of the gateway's other sends. A request is late if it takes
    longer, relative to the estimate, than the ``quantile`` of its route's requests.
    """

    fraction: Annotated[float, Meta(ge=0, le=0.2)] = 0.0
    window_s: Annotated[float, Meta(gt=0, le=3600)] = 10.0
    quantile: Annotated[float, Meta(ge=0.5, lt=1)] = 0.95


class NodeSettings(_Table, frozen=True):
    """Settings of one process.

    ``seeds`` are the operator addresses of coordinators. Their peer addresses have the
    same port as this process's.
    """

    name: str
    zone: str
    zones: list[str]
    listen: Listen
    seeds: list[str]
    platform: PlatformSettings
    bounds: Bounds = Bounds()
    limits: InstanceLimits = InstanceLimits()
    hedging: HedgingSettings = HedgingSettings()
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


def load_node_settings(
    path: pathlib.Path, required: tuple[str, ...] = ()
) -> NodeSettings:
    """Read and check the settings of one process.

    Parameters
    ----------
    path : pathlib.Path
        Settings file.
    required : tuple of str
        Addresses under ``listen`` that the program needs beside ``peers``.

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
    for key, address, check in _list_addresses(settings, required):
        try:
            check(address)
        except AddressError as error:
            line = find_line(path.read_text(encoding="utf-8"), key)
            remedy = "give an IP number and a port from 1 to 65535, as in 10.0.0.9:8080"
            raise SettingsError(str(path), str(error), remedy, key, line) from error
    return settings


def _list_addresses(
    settings: NodeSettings, required: tuple[str, ...]
) -> Iterator[tuple[str, str, Callable[[str], object]]]:
    """Return the key of each address, its value and the check that it must pass."""
    for name, address in msgspec.structs.asdict(settings.listen).items():
        if address or name in ("peers", *required):
            remote = name == "advertised"
            check = check_endpoint_address if remote else parse_address
            yield f"listen.{name}", address, check
    yield "platform.address", settings.platform.address, check_endpoint_address
    for index, seed in enumerate(settings.seeds):
        yield f"seeds[{index}]", seed, check_endpoint_address
