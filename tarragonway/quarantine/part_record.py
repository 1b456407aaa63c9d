"""Crashes of engines that ran requests with a prompt part, and what clears the part.

All requests that an engine runs or queues break when it crashes, so a crash alone does
not tell which of their parts caused it. Answers are the evidence:

- An answer that has ended shows that its parts are sound, if its endpoint did not crash
  right after it. An engine that begins an answer on a harmful part crashes at some
  event, so that no answer on that part ends.
- An answer that has lasted for some time shows that its parts do not crash engines
  before that time. So it clears them of a crash only if the answers that broke there
  had lasted for clearly less.
- An answer that has begun shows nothing.

A part is suspected after few crashes of answers that had hardly begun, after more
crashes at any time of answers, and after many crashes whatever other answers show.
"""

import msgspec

from tarragonway.core.ids import Fingerprint

# Time from the beginning of an answer for which it has hardly begun.
CONTINUED_S = 0.5
# An answer outlives another one if it lasts longer by this factor and the time above.
OUTLIVING_FACTOR = 1.1
# Crashes of distinct endpoints, with no answer ended since, after which a part is held:
# those of answers that had hardly begun, and those at any time, as far as no answer on
# the part has outlived them; and all of them.
MIN_EARLY_CRASHES = 2
MIN_EARLY_CRASHES_OF_ONE_CONTENT = 3
MIN_CRASHES = 4
MIN_OUTLIVED_CRASHES = 5
# Without early crashes, they must be of several contents. A single request that is
# resumed may run into several crashes with other causes.
MIN_CONTENTS = 2
# Time after the last of these crashes in which an answer still prevents the hold.
HOLD_DELAY_S = 2.0
# A part that has crashed this many endpoints is not probed again, except alone while
# fewer than MIN_PROBES_ALONE probes of it alone have failed.
MAX_CRASHES = 8
MIN_PROBES_ALONE = 2
# Content of a crash of which only the endpoint is known.
NO_CONTENT = Fingerprint("")


class PartCrash(msgspec.Struct, frozen=True):
    """Crash of an endpoint that broke a request.

    ``endpoint`` is the endpoint's incarnation, ``content`` the fingerprint of the
    request. ``crashed_at`` and ``reported_at`` are times in seconds. ``lasted_s`` is
    the time for which the answer had lasted, 0 if it had not begun. ``is_outlived``
    means that an answer on the same part has lasted for clearly longer since.
    """

    endpoint: str
    content: Fingerprint
    crashed_at: float
    reported_at: float
    lasted_s: float = 0.0
    is_outlived: bool = False

    @property
    def is_early(self) -> bool:
        """Whether the beginning of the answer may be the cause."""
        return self.lasted_s < CONTINUED_S and not self.is_outlived

    def merge(self, other: "PartCrash") -> "PartCrash":
        """Return one crash for two reports on the same endpoint.

        Of the requests with a part, only the one that had lasted longest can be the
        cause, as the other answers on the part have not ended as soon.

        Examples
        --------
        >>> crash = PartCrash("e1", "content", 1.0, 1.1, lasted_s=0.1)
        >>> crash.merge(PartCrash("e1", "other", 1.0, 1.2, lasted_s=2.0)).lasted_s
        2.0
        """
        if other.lasted_s <= self.lasted_s:
            return self
        return msgspec.structs.replace(
            self, lasted_s=other.lasted_s, is_outlived=other.is_outlived
        )

    def compare(self, lasted_s: float, at: float) -> "PartCrash":
        """Return the crash, outlived if an answer that lasted so long at ``at`` did.

        Examples
        --------
        >>> crash = PartCrash("e1", "content", 1.0, 1.1, lasted_s=0.1)
        >>> crash.compare(0.5, 2.0).is_outlived, crash.compare(1.0, 2.0).is_outlived
        (False, True)
        """
        outlived_s = OUTLIVING_FACTOR * self.lasted_s + CONTINUED_S
        if self.crashed_at < at and lasted_s >= outlived_s:
            return msgspec.structs.replace(self, is_outlived=True)
        return self


class PartRecord(msgspec.Struct):
    """Crashes of endpoints that ran requests with a part, since an answer has ended.

    ``suspected_at`` is the time of the report with which the crashes became enough for
    a hold, None if they are not. The answer that lasted longest had lasted for
    ``longest_s`` at ``longest_at``.
    """

    crashes: dict[str, PartCrash] = {}
    failed_probes: int = 0
    is_held: bool = False
    suspected_at: float | None = None
    longest_s: float = 0.0
    longest_at: float = float("-inf")
    last_crash_at: float = float("-inf")
    requested_at: float = float("-inf")
    probe_at: float = float("-inf")
    held_at: float = float("-inf")
    fewest_held: int = 0
    fewest_held_at: float = float("-inf")

    @property
    def is_spent(self) -> bool:
        """Whether no request with the part may be a probe any more."""
        has_failed = self.failed_probes >= MIN_PROBES_ALONE
        return has_failed and len(self.crashes) >= MAX_CRASHES

    def add(self, crash: PartCrash) -> None:
        """Add a crash; several reports on one endpoint count as one."""
        known = self.crashes.get(crash.endpoint)
        crash = known.merge(crash) if known is not None else crash
        crash = crash.compare(self.longest_s, self.longest_at)
        self.crashes[crash.endpoint] = crash
        self.last_crash_at = max(self.last_crash_at, crash.crashed_at)
        # A broken answer too shows that it had lasted until then.
        self.record_lasted(crash.lasted_s, crash.crashed_at)
        if self.suspected_at is None and self._has_enough:
            self.suspected_at = crash.reported_at

    def record_lasted(self, lasted_s: float, at: float) -> None:
        """Record that an answer had lasted for some time at ``at``."""
        if lasted_s >= self.longest_s:
            self.longest_s, self.longest_at = lasted_s, at
        for endpoint, crash in self.crashes.items():
            self.crashes[endpoint] = crash.compare(lasted_s, at)
        self._clear_suspicion()

    def remove(self, endpoint: str) -> None:
        """Remove the crash of an endpoint that had another cause."""
        if self.crashes.pop(endpoint, None) is not None:
            self._clear_suspicion()

    def remove_before(self, time: float) -> None:
        """Remove the crashes before this time."""
        self.crashes = {e: c for e, c in self.crashes.items() if c.crashed_at >= time}
        self._clear_suspicion()

    def is_due(self, now: float) -> bool:
        """Return whether the crashes have been enough for the delay of a hold."""
        suspected_at = self.suspected_at
        return suspected_at is not None and now - suspected_at >= HOLD_DELAY_S

    def _clear_suspicion(self) -> None:
        if not self._has_enough:
            self.suspected_at = None

    @property
    def _has_enough(self) -> bool:
        crashes = self.crashes.values()
        early = sum(crash.is_early for crash in crashes)
        if early >= MIN_EARLY_CRASHES_OF_ONE_CONTENT:
            return True
        if len({crash.content for crash in crashes}) < MIN_CONTENTS:
            return False
        not_outlived = sum(not crash.is_outlived for crash in crashes)
        return (
            early >= MIN_EARLY_CRASHES
            or not_outlived >= MIN_CRASHES
            or len(crashes) >= MIN_OUTLIVED_CRASHES
        )
