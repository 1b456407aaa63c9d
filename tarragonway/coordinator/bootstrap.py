"""Identity of a coordinator in its group: bootstrap, new members, recovery."""

import random
import secrets

import structlog
import xxhash

from tarragonway.consensus import (
    DataFolder,
    HardState,
    LogTail,
    Member,
    Membership,
    Parameters,
    Recovered,
    Replica,
    Snapshot,
)
from tarragonway.consensus.storage import Identity
from tarragonway.core.ids import ClusterId, MemberId, ProcessName

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
        token = secrets.token_hex(4)
        identity = Identity(MemberId(f"{address}#{token}"), ClusterId(""))
    folder.write_identity(identity)
    _log.info(
        "data folder was empty; new identity written",
        member=identity.member,
        group=identity.cluster,
    )
    return identity, folder.recover()


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


def get_peer_address(member: MemberId) -> str:
    """Return the peer address with which a member's id starts."""
    return member.rpartition("#")[0]
