"""Admission of this process to a group."""

import structlog

from tarragonway.consensus import DataFolder
from tarragonway.consensus.storage import Identity
from tarragonway.core.ids import ClusterId
from tarragonway.replication.driver import LogDriver

_log = structlog.get_logger()


def admit_member(folder: DataFolder, driver: LogDriver, group: ClusterId) -> bool:
    """Record durably that a group has admitted this member.

    Returns
    -------
    bool
        False if the disk refuses it. The leader's next message is another occasion.
    """
    member = driver.own_member.id
    try:
        folder.write_identity(Identity(member, group))
    except OSError as error:
        _log.error(
            "admission not recorded; waiting for the next message",
            member=member,
            group=group,
            error=str(error),
        )
        return False
    driver.join_cluster(group)
    _log.info("member admitted to the group", member=member, group=group)
    return True
