"""Requests of processes to join a group."""

from tarragonway.consensus import Member
from tarragonway.core.ids import ProcessName


class JoinRequests:
    """Latest request of each process, until it has not been repeated for a time.

    A process that has lost its disk asks under its old name with a new id. Its former
    request ends then, since the incarnation that sent it is gone.

    Parameters
    ----------
    retention : float
        Time for which a request counts, in the unit of the ``now`` arguments.

    Examples
    --------
    >>> requests = JoinRequests(5.0)
    >>> requests.record(Member("a.1", "a"), 0.0)
    >>> requests.record(Member("a.2", "a"), 1.0)
    >>> [member.id for member in requests.list_present(2.0)]
    ['a.2']
    >>> requests.list_present(6.0)
    []
    """

    def __init__(self, retention: float) -> None:
        self._retention = retention
        self._requests: dict[ProcessName, tuple[Member, float]] = {}

    def record(self, member: Member, now: float) -> None:
        """Record a request."""
        self._requests[member.name] = member, now

    def list_present(self, now: float) -> list[Member]:
        """Return the members whose requests count, in the order of their arrival."""
        self._requests = {
            name: (member, at)
            for name, (member, at) in self._requests.items()
            if now - at < self._retention
        }
        return [member for member, _ in self._requests.values()]
