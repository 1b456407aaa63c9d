"""Publication of a coordinator's status to the gateways."""

from collections.abc import Callable, Iterable

from tarragonway.coordinator.bootstrap import get_peer_address
from tarragonway.core.numbers import encode_integer
from tarragonway.links import Link
from tarragonway.links.link import encode_message
from tarragonway.links.messages import Status
from tarragonway.replication import LogDriver

STATUS_INTERVAL_S = 0.5


class StatusPublisher:
    """Sends the status to all gateways on changes, and periodically.

    Parameters
    ----------
    make_status : callable
        Returns the current status.
    list_gateways : callable
        Returns the links of the gateways.
    """

    def __init__(
        self,
        make_status: Callable[[], Status],
        list_gateways: Callable[[], Iterable[Link]],
    ) -> None:
        self._make_status = make_status
        self._list_gateways = list_gateways
        self._published: tuple[object, ...] = ()
        self._repeated_at = float("-inf")

    def publish_changed(self) -> None:
        """Send the status if it has changed since it was last sent."""
        status = self._make_status()
        current = (status.revision, status.is_leader, status.term, status.coordinators)
        if current != self._published:
            self._published = current
            self._send(status)

    def publish_due(self, now: float) -> None:
        """Send a changed status, and any status after an interval, in loop time (s)."""
        self.publish_changed()
        if now - self._repeated_at >= STATUS_INTERVAL_S:
            self._repeated_at = now
            self._send(self._make_status())

    def _send(self, status: Status) -> None:
        frame = encode_message(status)
        for link in list(self._list_gateways()):
            link.send_encoded(frame)


def make_status(driver: LogDriver, revision: int) -> Status:
    """Return a coordinator's status with the revision of its configuration."""
    replica = driver.replica
    members = tuple(member.name for member in replica.membership.members)
    leader = get_peer_address(replica.leader) if replica.leader else ""
    return Status(
        replica.term, leader, driver.is_leader, members, encode_integer(revision)
    )
