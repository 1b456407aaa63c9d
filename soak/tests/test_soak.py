"""Runs short soak tests with a fixed seed and with seeds that once failed."""

import pytest

from soak.__main__ import run_seed

SOAK_DURATION_S = 8.0
REGRESSION_SEEDS = {
    2000: "slow coordinators read bootstrap = false before the group had formed",
    2004: "a fault in progress at the end was not ended; 2 of 3 coordinators lost",
}


@pytest.mark.timeout(90)
@pytest.mark.parametrize("seed", [11, *REGRESSION_SEEDS])
async def test_guarantees_hold_under_faults(seed, tmp_path):
    result = await run_seed(seed, SOAK_DURATION_S, tmp_path)
    assert not result.violations, result.faults
