"""Division of a rate among gateways."""

from collections.abc import Mapping

from tarragonway.core.ids import ProcessName

FLOOR = 0.1


def divide_rate(
    per_s: float, demands: Mapping[ProcessName, float], name: ProcessName
) -> float:
    """Return one gateway's part of a rate.

    Everyone gets its demand and an equal part of the rest; if the demands exceed the
    rate, a small equal floor and a part in proportion to the demand.

    Examples
    --------
    >>> divide_rate(100.0, {"a": 40.0, "b": 20.0}, "a")
    60.0
    >>> divide_rate(100.0, {"a": 150.0, "b": 50.0}, "b")
    27.5
    """
    count = len(demands)
    if not count:
        return per_s
    total = sum(demands.values())
    own = demands.get(name, 0.0)
    if total <= per_s:
        return own + (per_s - total) / count
    floor = per_s * FLOOR
    return floor / count + (per_s - floor) * own / total
