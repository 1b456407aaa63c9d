"""Rows of measurements, percentiles and fitted slopes."""

import statistics
from collections.abc import Sequence

import msgspec
from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_SECOND = 1_000_000


class Comparison(msgspec.Struct):
    """One measured figure, ``before`` of the baseline and ``after`` of this version."""

    case: str
    figure: str
    baseline: str
    before: float
    after: float
    unit: str

    @property
    def ratio(self) -> float:
        """Figure of this version divided by the baseline's; 0 if that is 0."""
        return self.after / self.before if self.before else 0.0


class Slope(msgspec.Struct):
    """A cost that grows by ``slope`` for each unit of size.

    ``sizes`` and ``costs`` are the measured points, ``base`` is the intercept and
    ``fit`` the coefficient of determination (R2) of the fitted line.
    """

    case: str
    figure: str
    unit: str
    sizes: list[float]
    costs: list[float]
    slope: float
    base: float
    fit: float


def fit_slope(
    case: str,
    figure: str,
    unit: str,
    sizes: Sequence[float],
    costs: Sequence[float],
) -> Slope:
    """Fit a straight line to the costs of three or more sizes."""
    line = statistics.linear_regression(sizes, costs)
    fit = statistics.correlation(sizes, costs) ** 2
    return Slope(
        case, figure, unit, list(sizes), list(costs), line.slope, line.intercept, fit
    )


def compute_percentile_ms(seconds: Sequence[float], percent: float) -> float:
    """Return a percentile of durations, which are given in seconds, in milliseconds."""
    histogram = HdrHistogram(1, 600 * MICROSECONDS_PER_SECOND, 3)
    for value in seconds:
        histogram.record_value(max(1, int(value * MICROSECONDS_PER_SECOND)))
    return histogram.get_value_at_percentile(percent) / 1000


def print_measurements(rows: Sequence[Comparison | Slope]) -> None:
    """Print measurements as aligned text, one a line."""
    for row in rows:
        if isinstance(row, Slope):
            sizes = "/".join(f"{s:g}" for s in row.sizes)
            costs = "/".join(f"{c:.4g}" for c in row.costs)
            print(
                f"{row.case:<10}{row.figure:<46}{row.slope:>12.4g} {row.unit} "
                f"(base {row.base:.4g}, R2 {row.fit:.3f}; sizes {sizes}: {costs})"
            )
        else:
            print(
                f"{row.case:<10}{row.figure:<38}{row.baseline:<24}"
                f"{row.before:>10.4g}{row.after:>10.4g} {row.unit:<10}"
                f"ratio {row.ratio:.3f}"
            )
