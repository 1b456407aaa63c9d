import errno
from types import SimpleNamespace

import pytest

from tarragonway.consensus import DataFolder
from tarragonway.consensus.files import FolderFiles
from tarragonway.consensus.storage import LOG_FILE
from tarragonway.coordinator.bootstrap import make_driver
from tarragonway.coordinator.machine import CoordinatorMachine
from tarragonway.core.counters import Counters

SETTINGS = SimpleNamespace(
    peer_address="a:1", seed_peers=["a:1", "b:1", "c:1"], bootstrap=True
)


class FullDiskFiles(FolderFiles):
    """Files that refuse each replacement while ``is_full``."""

    is_full = False

    def replace(self, name, data):
        if self.is_full:
            raise OSError(errno.ENOSPC, "No space left on device")
        super().replace(name, data)


def start(files):
    machine = CoordinatorMachine()
    return make_driver(
        SETTINGS, files, DataFolder(files), machine, lambda packet: None, Counters()
    )


# Guards against a member that votes again under its former id: its damaged folder was
# cleared, and a full disk, or a crash, came before the new id was written.
def test_damaged_folder_on_a_full_disk_never_yields_the_former_id(tmp_path):
    files = FullDiskFiles(tmp_path)
    founder = start(files).own_member.id
    files.append(LOG_FILE, b"damaged" * 10)
    files.is_full = True
    for _ in range(2):
        with pytest.raises(OSError, match="No space"):
            start(files)
    files.is_full = False
    driver = start(files)
    assert driver.own_member.id != founder
    assert not driver.has_cluster
    assert driver.replica.last_index == 0
    assert start(files).own_member.id == driver.own_member.id
