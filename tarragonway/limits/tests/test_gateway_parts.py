"""Parts of gateways whose loads are uneven."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tarragonway.limits.gateway_parts import (
    MAX_RELATIVE_PART,
    MIN_RELATIVE_PART,
    compute_parts,
)


# Guards against more connections and retries than the limit of all gateways together,
# and against a gateway that is left without any.
@given(st.lists(st.floats(0.0, 1e6), min_size=1, max_size=80))
def test_parts_are_bounded_and_within_the_limit(rates):
    parts = compute_parts({f"g{n}": rate for n, rate in enumerate(rates)})
    assert sum(parts.values()) <= 1 + 1e-6
    for part in parts.values():
        relative = part * len(rates)
        assert MIN_RELATIVE_PART - 1e-6 <= relative <= MAX_RELATIVE_PART + 1e-6


# Guards against equal parts: the load pattern is that of a balancer that hashes
# callers, of which one gateway gets three times as many.
def test_busy_gateway_gets_a_larger_part():
    parts = compute_parts({"busy": 30.0} | {f"g{n}": 10.0 for n in range(9)})
    assert parts["busy"] / parts["g0"] == pytest.approx(3.0)
