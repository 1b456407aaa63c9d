"""Structures of the settings files.

A process reads two files: its own (name, availability zone, addresses) and the
cluster's, which is the same on every instance.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from tarragonway.core.addresses import ADDRESS_PATTERN
from tarragonway.core.ids import ProcessName, ZoneName
from tarragonway.core.logs import LogFormat

Address = Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9\-]{0,40}$")]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
Count = Annotated[int, Meta(ge=1, le=1_000_000_000)]


class _StrictStruct(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base of the settings' structures: immutable, and unknown keys are errors."""


class Peer(_StrictStruct, frozen=True):
    """A process: its availability zone, mailbox address and HTTP address."""

    name: Name
    zone: Name
    mailbox: Address
    http: Address


class OperatorKey(_StrictStruct, frozen=True):
    """An operator, identified by the SHA-256 digest of a key."""

    name: Name
    key_sha256: Digest


class Platform(_StrictStruct, frozen=True):
    """The platform's API, which lists endpoint instances and announces reclaims."""

    url: Annotated[str, Meta(pattern=r"^https?://\d{1,3}(\.\d{1,3}){3}:\d+$")]
    poll_s: Seconds = 1.0


class Timing(_StrictStruct, frozen=True):
    """Intervals and bounds: ``_s`` in seconds, ``_ticks`` in units of ``tick_s``.

    ``freshness_bound_s`` is how long an entry process may accept new requests after
    it last confirmed its configuration.
    """

    tick_s: Seconds = 0.05
    election_ticks: Annotated[int, Meta(ge=4, le=1000)] = 10
    heartbeat_ticks: Annotated[int, Meta(ge=1, le=100)] = 2
    watch_poll_s: Seconds = 1.0
    freshness_bound_s: Seconds = 5.0
    peer_silence_s: Seconds = 2.0
    share_lease_s: Seconds = 3.0
    call_timeout_s: Seconds = 30.0
    claim_send_limit_s: Seconds = 3.0
    request_deadline_s: Seconds = 600.0
    stop_deadline_s: Seconds = 25.0


class Limits(_StrictStruct, frozen=True):
    """Size and time limits that protect one process."""

    body_bytes: Count = 4_000_000
    answer_bytes: Count = 262_144
    header_bytes: Annotated[int, Meta(ge=1024, le=65_536)] = 16_384
    queue_length: Count = 2000
    body_read_s: Seconds = 10.0
    answer_retention_s: Seconds = 86_400.0
    snapshot_entries: Count = 2000


class Statsd(_StrictStruct, frozen=True):
    """Statsd server; with port 0, the default, counters are kept in memory only."""

    host: Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")] = "127.0.0.1"
    port: Annotated[int, Meta(ge=0, le=65_535)] = 0


class ClusterSettings(_StrictStruct, frozen=True):
    """Settings that are the same for all processes of one deployment."""

    name: Name
    key_file: str
    control: Annotated[list[Peer], Meta(min_length=1, max_length=9)]
    entry: Annotated[list[Peer], Meta(min_length=1, max_length=1000)]
    operator: list[OperatorKey] = []
    platform: Platform | None = None
    timing: Timing = Timing()
    limits: Limits = Limits()
    statsd: Statsd = Statsd()
    log_format: LogFormat = LogFormat.JSON


class ProcessSettings(_StrictStruct, frozen=True):
    """Settings of one process."""

    name: Name
    cluster_file: str
    data_folder: str = ""


class Settings(msgspec.Struct, frozen=True):
    """A process's own settings together with its cluster's."""

    process: ProcessSettings
    cluster: ClusterSettings
    cluster_key: bytes

    def get_zone(self, name: str) -> ZoneName:
        """Return the availability zone of the process ``name``, empty if unknown."""
        for peer in [*self.cluster.control, *self.cluster.entry]:
            if peer.name == name:
                return ZoneName(peer.zone)
        return ZoneName("")

    def list_mailboxes(self) -> dict[ProcessName, str]:
        """Return the mailbox address of every process."""
        peers = [*self.cluster.control, *self.cluster.entry]
        return {ProcessName(peer.name): peer.mailbox for peer in peers}
