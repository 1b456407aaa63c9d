"""Start of a coordinator: its identity in the group, recovery, and the log."""

import random
import secrets
from collections.abc import Callable

import structlog
import xxhash

from tarragonway.consensus import (
    DataFolder,
    HardState,
    LogTail,
    Member,
    Membership,
    Packet,
    Parameters,
    Recovered,
    Replica,
    Snapshot,
)
from tarragonway.consensus.files import FolderFiles
from tarragonway.consensus.storage import IDENTITY_FILE, Identity
from tarragonway.coordinator.machine import CoordinatorMachine
from tarragonway.core.counters import Counters
from tarragonway.core.errors import CorruptDataError
from tarragonway.core.ids import ClusterId, MemberId, ProcessName
from tarragonway.node.settings import NodeSettings
from tarragonway.replication import DriverConfig, LogDriver

TICK_INTERVAL_S = 0.05
SNAPSHOT_INTERVAL_ENTRIES = 200
RETAINED_ENTRIES = 50
MIN_VOTERS = 3
# Timing of the replicated log, in ticks of the coordinator process.
ELECTION_TICKS = 12
HEARTBEAT_TICKS = 2
FIRST_ELECTION_TICKS = 4
FOUNDER_SUFFIX = "first"

_log = structlog.get_logger()


def make_founding_members(seeds: list[str]) -> tuple[Member, ...]:
    """Return the founding members, whose ids are derived from their addresses.

    Examples
    --------
    >>> make_founding_members(["10.0.0.2:1", "10.0.0.1:1"])[0]
    Member(id='10.0.0.1:1#first', name='10.0.0.1:1')
    """
    return tuple(
        Member(MemberId(f"{seed}#{FOUNDER_SUFFIX}"), ProcessName(seed))
        for seed in sorted(seeds)
    )


def prepare_data_folder(
    folder: DataFolder, address: str, seeds: list[str], bootstrap: bool
) -> tuple[Identity, Recovered]:
    """Recover the data folder, and write an identity into an empty one.

    With ``bootstrap``, a process whose address is a seed becomes a founding member; all
    seeds write the same first snapshot. Any other process with an empty folder gets a
    new random member id, since a member that has lost the record of its votes must not
    vote again under its former id.

    Raises
    ------
    CorruptDataError
        If synced data in the folder is damaged.
    """
    recovered = folder.recover()
    if recovered.identity is not None:
        return recovered.identity, recovered
    if bootstrap and address in seeds:
        members = make_founding_members(seeds)
        identity = Identity(
            MemberId(f"{address}#{FOUNDER_SUFFIX}"), compute_group_id(seeds)
        )
        first = Snapshot(0, 0, Membership(members, ()), b"")
        folder.write_snapshot(first, HardState(), LogTail())
    else:
        identity = make_new_identity(address)
    folder.write_identity(identity)
    _log.info(
        "data folder was empty; new identity written",
        member=identity.member,
        group=identity.cluster,
    )
    return identity, folder.recover()


def make_new_identity(address: str) -> Identity:
    """Return the identity of a member that has never voted and is in no group."""
    return Identity(MemberId(f"{address}#{secrets.token_hex(4)}"), ClusterId(""))


def compute_group_id(seeds: list[str]) -> ClusterId:
    """Return the group's id, a hash of the addresses of its founding members."""
    names = ",".join(sorted(seeds))
    return ClusterId(f"{xxhash.xxh3_64_intdigest(names.encode()):016x}")


def restore_replica(identity: Identity, recovered: Recovered) -> Replica:
    """Return a replica in the state recovered from the data folder."""
    return Replica(
        identity.member,
        Parameters(ELECTION_TICKS, HEARTBEAT_TICKS, FIRST_ELECTION_TICKS),
        random.Random(secrets.randbits(64)),
        recovered.hard_state,
        recovered.snapshot,
        recovered.log,
    )


def make_driver(
    settings: NodeSettings,
    files: FolderFiles,
    folder: DataFolder,
    machine: CoordinatorMachine,
    send_packet: Callable[[Packet], None],
    counters: Counters,
) -> LogDriver:
    """Return the driver of the log in the data folder.

    A damaged folder is cleared: synced data may be missing, so the member must not vote
    again under its old identity. The process then joins as a new member. The folder
    gets the new identity first: an empty folder could make it a founding member again.

    Raises
    ------
    OSError
        If the disk refuses a write; the start may be tried again.
    """
    address, seeds = settings.peer_address, settings.seed_peers
    try:
        identity, recovered = prepare_data_folder(
            folder, address, seeds, settings.bootstrap
        )
    except CorruptDataError as error:
        _log.error(
            "data folder is damaged; clearing it and joining as a new member",
            reason=str(error),
        )
        folder.write_identity(make_new_identity(address))
        files.clear(kept=IDENTITY_FILE)
        identity, recovered = prepare_data_folder(folder, address, seeds, False)
    config = DriverConfig(
        Member(identity.member, ProcessName(address)),
        TICK_INTERVAL_S,
        MIN_VOTERS,
        SNAPSHOT_INTERVAL_ENTRIES,
        RETAINED_ENTRIES,
    )
    replica = restore_replica(identity, recovered)
    return LogDriver(
        config, identity.cluster, replica, folder, machine, send_packet, counters
    )


def get_peer_address(member: MemberId) -> str:
    """Return the peer address with which a member's id starts."""
    return member.rpartition("#")[0]


def find_operator_address(driver: LogDriver, own_address: str) -> str:
    """Return the leader's operator address, or "" if unknown or this process.

    All processes have the port of ``own_address``.
    """
    leader = driver.leader
    if not leader or leader == driver.own_member.id:
        return ""
    port = own_address.rpartition(":")[2]
    return f"{get_peer_address(leader).rpartition(':')[0]}:{port}"
