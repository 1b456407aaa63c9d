import pytest
from minicheck import check_safety

from specs.agreement import Mutant, make_protocol

MAX_STATES = 2_000_000
MUTANT_STATES = 80_000


def check(mutant, max_states=MUTANT_STATES):
    return check_safety(make_protocol(mutant), max_states=max_states)


def test_agreement_holds_exhaustively():
    result = check(Mutant.NONE, MAX_STATES)
    assert all(row["holds"] is True for row in result["properties"].values()), result


@pytest.mark.parametrize("mutant", [m for m in Mutant if m is not Mutant.NONE])
def test_mutants_are_found(mutant):
    result = check(mutant)
    assert any(row["holds"] is False for row in result["properties"].values())
