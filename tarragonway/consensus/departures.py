"""Members that have announced their planned stop to the leader."""

from tarragonway.core.ids import MemberId


class Departures:
    """Members that ask to leave the group, each until it has been silent for a time.

    Parameters
    ----------
    retention_ticks : int
        Ticks after which a request that is not repeated expires, so that a member which
        has been started again does not leave.

    Examples
    --------
    >>> departures = Departures(2)
    >>> departures.record(MemberId("a"))
    >>> departures.tick()
    >>> departures.members
    {'a'}
    >>> departures.tick()
    >>> departures.members
    set()
    """

    def __init__(self, retention_ticks: int) -> None:
        self._retention_ticks = retention_ticks
        self._ticks_left: dict[MemberId, int] = {}

    @property
    def members(self) -> set[MemberId]:
        """Members whose requests have not expired."""
        return set(self._ticks_left)

    def record(self, member_id: MemberId) -> None:
        """Record a member's request."""
        self._ticks_left[member_id] = self._retention_ticks

    def tick(self) -> None:
        """Advance the time by one tick."""
        self._ticks_left = {
            member_id: ticks - 1
            for member_id, ticks in self._ticks_left.items()
            if ticks > 1
        }

    def clear(self) -> None:
        """Forget all requests, when the leadership begins or ends."""
        self._ticks_left.clear()
