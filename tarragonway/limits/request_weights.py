"""Choice of the requests that use the permits of limited endpoints.

A limit counts requests, not their work, so permits carry most if the requests with the
most work use them. The others go to endpoints without a limit.
"""

import collections

WEIGHT_HISTORY = 128


class RequestWeights:
    """Work of a service's latest requests.

    Examples
    --------
    >>> weights = RequestWeights()
    >>> for work_s in (0.1, 0.2, 0.9, 0.3):
    ...     weights.record(work_s)
    >>> weights.is_among_heaviest(0.3, 0.5), weights.is_among_heaviest(0.2, 0.5)
    (True, False)
    """

    def __init__(self) -> None:
        self._works_s: collections.deque[float] = collections.deque(
            maxlen=WEIGHT_HISTORY
        )

    def record(self, work_s: float) -> None:
        """Record the estimated work of a request, in seconds."""
        self._works_s.append(work_s)

    def is_among_heaviest(self, work_s: float, fraction: float) -> bool:
        """Return whether a request is among this fraction of those with most work."""
        heavier = sum(other > work_s for other in self._works_s)
        return heavier < fraction * max(1, len(self._works_s))
