"""Parts of shared limits of gateways whose loads are uneven."""

import pytest

from tarragonway.gateway.state import GatewayState


# Guards against other limits on deployments whose instances state no limits, and
# against a part that stays after the loads are even again.
@pytest.mark.parametrize(("has_unequal_parts", "expected"), [(True, 6.0), (False, 2.0)])
def test_part_follows_the_leader_where_limits_are_stated(has_unequal_parts, expected):
    state = GatewayState(has_unequal_parts=has_unequal_parts)
    state.gateways = 10
    state.set_part(0.3)
    assert state.compute_part(20.0) == pytest.approx(expected)
    state.set_part(0.0)
    assert state.compute_part(20.0) == 2.0
