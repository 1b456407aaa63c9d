"""Checks both specifications, and that the model checker detects each mutant."""

import pytest
from minicheck import check_safety

from specs import agreement, claims

MAX_STATES = 2_000_000
MAX_MUTANT_STATES = 80_000
SPECS = (claims, agreement)
MUTANTS = [
    (spec, mutant)
    for spec in SPECS
    for mutant in spec.Mutant
    if mutant is not spec.Mutant.NONE
]


@pytest.mark.parametrize("spec", SPECS, ids=lambda spec: spec.__name__)
def test_specification_holds_exhaustively(spec):
    result = check_safety(spec.make_protocol(), max_states=MAX_STATES)
    assert result["exhaustive"] is True
    assert all(row["holds"] is True for row in result["properties"].values()), result


@pytest.mark.parametrize(("spec", "mutant"), MUTANTS)
def test_mutant_is_found(spec, mutant):
    result = check_safety(spec.make_protocol(mutant), max_states=MAX_MUTANT_STATES)
    assert any(row["holds"] is False for row in result["properties"].values())
