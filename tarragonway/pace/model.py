"""Bounds of paces."""

# One wrong statement or measurement must neither attract all requests to an endpoint
# nor exclude it for good.
MIN_PACE = 0.2
MAX_PACE = 8.0


def limit_pace(value: float) -> float:
    """Return the value within the bounds of paces.

    Examples
    --------
    >>> [limit_pace(value) for value in (0.01, 1.5, 400.0)]
    [0.2, 1.5, 8.0]
    """
    if value < MIN_PACE:
        return MIN_PACE
    return min(value, MAX_PACE)
