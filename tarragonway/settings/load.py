"""Reading and checking of the settings files."""

import pathlib

from tarragonway.core.errors import SettingsError
from tarragonway.core.tomlfile import find_line, read_toml
from tarragonway.settings.model import (
    ClusterSettings,
    Peer,
    ProcessSettings,
    Settings,
)

MIN_CLUSTER_KEY_BYTES = 32


def load_settings(path: pathlib.Path) -> Settings:
    """Read a process's settings, its cluster's settings and the cluster key.

    Parameters
    ----------
    path : pathlib.Path
        The process's own settings file. The path of the cluster's file is relative to
        its folder, and the path of the cluster key to that of the cluster's file.

    Returns
    -------
    Settings
        Both files' settings and the cluster key.

    Raises
    ------
    SettingsError
        If any of the files cannot be used.
    """
    process = read_toml(path, ProcessSettings)
    cluster_path = path.parent / process.cluster_file
    cluster = load_cluster(cluster_path)
    key = _read_cluster_key(cluster_path, cluster)
    return Settings(process, cluster, key)


def load_cluster(path: pathlib.Path) -> ClusterSettings:
    """Read the cluster's settings file and check that its values are consistent.

    Raises
    ------
    SettingsError
        If the file cannot be used.
    """
    cluster = read_toml(path, ClusterSettings)
    _check_unique(path, cluster)
    _check_timing(path, cluster)
    return cluster


def find_control_peer(settings: Settings) -> Peer | None:
    """Return this process's row among the control processes, or None."""
    return _find_peer(settings.cluster.control, settings.process.name)


def find_entry_peer(settings: Settings) -> Peer | None:
    """Return this process's row among the entry processes, or None."""
    return _find_peer(settings.cluster.entry, settings.process.name)


def _find_peer(peers: list[Peer], name: str) -> Peer | None:
    return next((peer for peer in peers if peer.name == name), None)


def _check_unique(path: pathlib.Path, cluster: ClusterSettings) -> None:
    text = path.read_text(encoding="utf-8")
    names: set[str] = set()
    addresses: set[str] = set()
    for table, peers in (("control", cluster.control), ("entry", cluster.entry)):
        for index, peer in enumerate(peers):
            key = f"{table}[{index}]"
            if peer.name in names:
                raise SettingsError(
                    str(path),
                    f"the name {peer.name!r} is used twice",
                    "give each process a unique name",
                    f"{key}.name",
                    find_line(text, f"{key}.name"),
                )
            names.add(peer.name)
            for address in (peer.mailbox, peer.http):
                if address in addresses:
                    raise SettingsError(
                        str(path),
                        f"the address {address} is used twice",
                        "give each process unique addresses",
                        key,
                        find_line(text, key),
                    )
                addresses.add(address)


def _check_timing(path: pathlib.Path, cluster: ClusterSettings) -> None:
    timing = cluster.timing
    text = path.read_text(encoding="utf-8")
    if timing.heartbeat_ticks * 2 > timing.election_ticks:
        raise SettingsError(
            str(path),
            f"{timing.election_ticks} is less than twice heartbeat_ticks "
            f"({timing.heartbeat_ticks})",
            "raise election_ticks or lower heartbeat_ticks",
            "timing.election_ticks",
            find_line(text, "timing.election_ticks"),
        )
    if timing.watch_poll_s * 2 > timing.freshness_bound_s:
        raise SettingsError(
            str(path),
            f"{timing.freshness_bound_s} is less than twice watch_poll_s "
            f"({timing.watch_poll_s})",
            "raise freshness_bound_s or lower watch_poll_s",
            "timing.freshness_bound_s",
            find_line(text, "timing.freshness_bound_s"),
        )


def _read_cluster_key(path: pathlib.Path, cluster: ClusterSettings) -> bytes:
    target = path.parent / cluster.key_file
    line = find_line(path.read_text(encoding="utf-8"), "key_file")
    try:
        key = target.read_bytes().strip()
    except OSError as error:
        raise SettingsError(
            str(path),
            f"the key file cannot be read ({error})",
            "create one with 'tarragonway keygen' and copy it to every instance",
            "key_file",
            line,
        ) from error
    if len(key) < MIN_CLUSTER_KEY_BYTES:
        raise SettingsError(
            str(path),
            f"the key in {target} is shorter than {MIN_CLUSTER_KEY_BYTES} bytes",
            "create one with 'tarragonway keygen' and copy it to every instance",
            "key_file",
            line,
        )
    # BLAKE2b accepts keys of at most 64 bytes.
    return key[:64]
