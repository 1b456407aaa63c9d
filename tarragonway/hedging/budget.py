"""Limit of extra sends to a fraction of a gateway's own sends.

Load pattern: many requests become late at once, and extra sends for all of them would
add load just when endpoints are slow.

Gateways need no messages for a limit over all of them. Each extra send is covered by
sends of its own gateway in the window before it, so at any time the extra sends of all
gateways are at most the fraction of their sends since they started, and those in any
window at most the fraction of the sends in the window and the one before it. At a
steady rate the latter is the fraction of the sends in the window.
"""

import collections

import msgspec

from tarragonway.core.ids import ServiceName

# Intervals into which a window is divided, so that memory does not grow with the rate.
INTERVALS = 20


class _Interval(msgspec.Struct):
    number: int
    sends: int = 0
    extra_sends: int = 0


class HedgeBudget:
    """Counts sends and extra sends of each service within a sliding window.

    Sends are counted over at most the window and extra sends over at least the window,
    so that the division into intervals never permits more than the fraction.

    Parameters
    ----------
    fraction : float
        Extra sends that are permitted for each send.
    window_s : float
        Length of the window in seconds.

    Examples
    --------
    >>> budget = HedgeBudget(0.5, 10.0)
    >>> budget.record_send("s", 0.0)
    >>> budget.may_send_extra("s", 1.0)
    False
    >>> budget.record_send("s", 1.0)
    >>> budget.may_send_extra("s", 2.0)
    True
    >>> budget.record_extra_send("s", 2.0)
    >>> budget.may_send_extra("s", 3.0)
    False
    """

    def __init__(self, fraction: float, window_s: float) -> None:
        self._fraction = fraction
        self._interval_s = window_s / INTERVALS
        self._services: dict[ServiceName, collections.deque[_Interval]] = {}

    def record_send(self, service: ServiceName, now: float) -> None:
        """Record a send that is not an extra one."""
        self._get_current(service, now).sends += 1

    def record_extra_send(self, service: ServiceName, now: float) -> None:
        """Record an extra send."""
        self._get_current(service, now).extra_sends += 1

    def may_send_extra(self, service: ServiceName, now: float) -> bool:
        """Return whether one more extra send keeps to the fraction."""
        sends, extra_sends = self.count(service, now)
        return extra_sends + 1 <= self._fraction * sends + 1e-9

    def count(self, service: ServiceName, now: float) -> tuple[int, int]:
        """Return the sends and the extra sends of a service within the window."""
        latest = int(now // self._interval_s)
        sends = extra_sends = 0
        for interval in self._services.get(service, ()):
            if interval.number > latest - INTERVALS:
                sends += interval.sends
            if interval.number >= latest - INTERVALS:
                extra_sends += interval.extra_sends
        return sends, extra_sends

    def make_dump(self, now: float) -> dict[str, dict[str, int]]:
        """Return the counts of each service within the window for the state dump."""
        counts = {service: self.count(service, now) for service in self._services}
        return {
            service: {"sends": sends, "extra_sends": extra_sends}
            for service, (sends, extra_sends) in counts.items()
        }

    def _get_current(self, service: ServiceName, now: float) -> _Interval:
        intervals = self._services.setdefault(service, collections.deque())
        number = int(now // self._interval_s)
        if not intervals or intervals[-1].number < number:
            intervals.append(_Interval(number))
            while intervals[0].number < number - INTERVALS:
                intervals.popleft()
        return intervals[-1]
