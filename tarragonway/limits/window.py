"""Sums over a sliding window."""

SLOT_S = 0.5


class SlidingWindow:
    """Units of the last seconds, in slots of :data:`SLOT_S`.

    A slot counts until its last moment has left the window, so that the sum is never
    too small.

    Parameters
    ----------
    window_s : float
        Length of the window.

    Examples
    --------
    >>> window = SlidingWindow(2.0)
    >>> window.add(5.0, 0.1)
    >>> window.add(1.0, 1.2)
    >>> [window.sum(now) for now in (1.3, 2.4, 2.5, 3.6)]
    [6.0, 6.0, 1.0, 0]
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._slots: dict[int, float] = {}

    def add(self, units: float, now: float) -> None:
        """Note units; negative ones take earlier ones back."""
        slot = int(now // SLOT_S)
        self._slots[slot] = self._slots.get(slot, 0.0) + units

    def sum(self, now: float) -> float:
        """Return the units of the window that ends now."""
        self._forget(now)
        return sum(self._slots.values())

    def compute_wait(self, most: float, now: float) -> float:
        """Return the seconds until the sum is below ``most``, 0 if it is."""
        total = self.sum(now)
        if total < most:
            return 0.0
        wait_s = 0.0
        for slot in sorted(self._slots):
            total -= self._slots[slot]
            wait_s = self._find_end(slot) - now
            if total < most:
                break
        return wait_s

    def _forget(self, now: float) -> None:
        for slot in [s for s in self._slots if self._find_end(s) <= now]:
            del self._slots[slot]

    def _find_end(self, slot: int) -> float:
        return (slot + 1) * SLOT_S + self._window_s
