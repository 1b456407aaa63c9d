"""What endpoints say of themselves in their answers: pauses, refusals, a leave.

Load pattern: an endpoint that refuses at once looks idle to every measure of load, so
that most requests would go there and be refused while others have room.
"""

from collections.abc import Iterable

import msgspec

# Time for which other endpoints are preferred after a refusal. It doubles with each
# further one until a request begins to run there.
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
# Bounds the exponent of a long series of refusals.
MAX_DOUBLINGS = 16
# Longer announced pauses count as this one.
MAX_PAUSE_S = 86_400.0


class _Notice(msgspec.Struct):
    paused_until: float = float("-inf")
    refusals: int = 0
    backs_off_until: float = float("-inf")


class EndpointNotices:
    """Pauses and refusals of endpoints, by incarnation, as one process has met them.

    A paused endpoint must not be sent anything by this process until the end of the
    time that it has named. After a refusal without a time, others are only preferred.
    Neither is a failure of the endpoint. Times are those of the event loop's clock.

    Examples
    --------
    >>> notices = EndpointNotices()
    >>> notices.record_pause("e1", 5.0, now=0.0)
    >>> notices.get_pause("e1", now=2.0), notices.get_pause("e1", now=5.0)
    (3.0, 0.0)
    >>> notices.record_refusal("e2", now=0.0)
    >>> notices.backs_off("e2", now=0.04), notices.backs_off("e2", now=0.05)
    (True, False)
    """

    def __init__(self) -> None:
        self._notices: dict[str, _Notice] = {}

    def record_pause(self, key: str, pause_s: float, now: float) -> None:
        """Record that an endpoint wants nothing for ``pause_s`` seconds.

        An answer to an earlier request may name an earlier end, which does not count.
        """
        notice = self._notices.setdefault(key, _Notice())
        end = now + min(max(0.0, pause_s), MAX_PAUSE_S)
        notice.paused_until = max(notice.paused_until, end)

    def get_pause(self, key: str, now: float) -> float:
        """Return the seconds until the endpoint may be sent a request."""
        notice = self._notices.get(key)
        return max(0.0, notice.paused_until - now) if notice is not None else 0.0

    def record_refusal(self, key: str, now: float) -> None:
        """Record that an endpoint has refused a request without running it."""
        notice = self._notices.setdefault(key, _Notice())
        doublings = min(notice.refusals, MAX_DOUBLINGS)
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**doublings)
        notice.refusals += 1
        notice.backs_off_until = max(notice.backs_off_until, now + backoff_s)

    def record_began(self, key: str) -> None:
        """Record that a request has begun to run, which ends a series of refusals."""
        notice = self._notices.get(key)
        if notice is not None:
            notice.refusals = 0
            notice.backs_off_until = float("-inf")

    def backs_off(self, key: str, now: float) -> bool:
        """Return whether others are preferred to this endpoint."""
        notice = self._notices.get(key)
        return notice is not None and notice.backs_off_until > now

    def retain(self, keys: Iterable[str]) -> None:
        """Remove the notices of all other endpoints."""
        for key in set(self._notices).difference(keys):
            del self._notices[key]
