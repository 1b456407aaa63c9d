"""Decision of when the counts of a usage window are complete enough to be final."""

import msgspec

# After a window's end, its last counts arrive within two report intervals of a gateway.
LAST_REPORT_GRACE_S = 1.0
# A new leader waits this long for reports, as gateways may not have found it yet.
NEW_LEADER_GRACE_S = 1.2
# If some counts are missing, the wait ends at this fraction of the time until the
# report is due.
MAX_GRACE_FRACTION = 0.4
# The same for a leader that became one during the wait.
MAX_NEW_LEADER_GRACE_FRACTION = 0.8


class UsageWindows(msgspec.Struct, frozen=True):
    """Times of usage windows.

    ``window_s`` is the length of a window, ``late_s`` the time after its end at which
    its report is due, both in seconds. Window 0 begins at the Unix epoch.
    """

    window_s: float
    late_s: float

    def get_end(self, window: int) -> float:
        """Return the wall-clock time in seconds at which a window ends."""
        return (window + 1) * self.window_s

    def get_last_report(self, window: int) -> float:
        """Return the wall-clock time since which a report has all counts."""
        return self.get_end(window) + LAST_REPORT_GRACE_S / 2

    def is_decidable(
        self, window: int, clock_s: float, leader_for_s: float, has_all_reports: bool
    ) -> bool:
        """Return whether the counts that a leader has may become final.

        A leader that has just been elected has no reports, whatever the former one had.
        It waits for them even if the report is late by then, since the counts cannot be
        corrected afterwards.

        Parameters
        ----------
        window : int
            Number of the window.
        clock_s : float
            Wall-clock time in seconds.
        leader_for_s : float
            Seconds for which this process has been leader.
        has_all_reports : bool
            Whether each known gateway has reported after :meth:`get_last_report`.

        Examples
        --------
        >>> windows = UsageWindows(5.0, 10.0)
        >>> windows.is_decidable(0, 6.5, 30.0, True)
        True
        >>> windows.is_decidable(0, 6.5, 0.3, True)
        False
        >>> windows.is_decidable(0, 8.0, 30.0, False)
        False
        >>> windows.is_decidable(0, 9.5, 30.0, False)
        True
        """
        end_s = self.get_end(window)
        if clock_s < end_s + LAST_REPORT_GRACE_S or leader_for_s < NEW_LEADER_GRACE_S:
            return False
        if has_all_reports:
            return True
        grace_s = self.late_s * MAX_GRACE_FRACTION
        new_leader_end_s = min(
            clock_s - leader_for_s + grace_s,
            end_s + self.late_s * MAX_NEW_LEADER_GRACE_FRACTION,
        )
        return clock_s > max(end_s + grace_s, new_leader_end_s)
