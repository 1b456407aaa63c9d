import pytest
from hypothesis import given
from hypothesis import strategies as st

from tarragonway.overload import LoadKey, OfferedLoad, admit

rows_strategy = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.sampled_from("abcd"),
        st.floats(0.01, 10.0),
        st.floats(0.1, 100.0),
    ),
    min_size=1,
    max_size=12,
    unique_by=lambda row: row[:2],
).map(lambda rows: [(LoadKey(r, r, a), OfferedLoad(w, n)) for r, a, w, n in rows])


def compute_served(rows, fractions):
    requests = sum(load.requests for _, load in rows)
    return sum(load.requests * fractions[key] for key, load in rows) / requests


# Guards against ranks and accounts that are starved, and against admitting too much.
@given(rows=rows_strategy, part=st.floats(0.05, 0.99))
def test_floors_and_capacity_hold(rows, part):
    capacity = part * sum(load.work for _, load in rows)
    fractions = admit(capacity, rows)
    used = sum(load.work * fractions[key] for key, load in rows)
    assert used <= capacity * 1.001
    assert used >= capacity * 0.95
    by_rank = {}
    for key, load in rows:
        by_rank.setdefault(key.rank, []).append((key, load))
    overall = compute_served(rows, fractions)
    assert min(fractions.values()) >= 0
    for group in by_rank.values():
        assert compute_served(group, fractions) >= overall / 4


def test_more_urgent_ranks_go_first():
    rows = [
        (LoadKey(0, 0, "a"), OfferedLoad(10.0, 20.0)),
        (LoadKey(2, 2, "a"), OfferedLoad(20.0, 200.0)),
    ]
    fractions = admit(14.0, rows)
    assert fractions[rows[0][0]] == 1.0
    assert fractions[rows[1][0]] == pytest.approx(0.2, abs=0.01)


# Guards against an account that is cut because another one sends too much.
def test_account_below_its_fair_share_is_not_cut():
    rows = [
        (LoadKey(2, 2, "large"), OfferedLoad(20.0, 200.0)),
        (LoadKey(2, 2, "small"), OfferedLoad(3.0, 30.0)),
    ]
    fractions = admit(10.0, rows)
    assert fractions[rows[1][0]] == 1.0
    assert fractions[rows[0][0]] == pytest.approx(0.35, abs=0.01)


def test_without_overload_everything_is_admitted():
    rows = [(LoadKey(0, 0, "a"), OfferedLoad(10.0, 20.0))]
    assert set(admit(10.0, rows).values()) == {1.0}
