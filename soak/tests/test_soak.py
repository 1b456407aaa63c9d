"""Runs short soak tests with a fixed seed and with seeds that once failed."""

import pytest

from soak.__main__ import run_seed

SECONDS = 8.0
REGRESSIONS = {
    2000: "slow coordinators read bootstrap = false before the group had formed",
    2004: "a fault in progress at the end was not ended; 2 of 3 coordinators lost",
}


@pytest.mark.timeout(90)
@pytest.mark.parametrize("seed", [11, *REGRESSIONS])
async def test_guarantees_hold_under_faults(seed, tmp_path):
    result = await run_seed(seed, SECONDS, tmp_path)
    assert not result.broken, result.faults
