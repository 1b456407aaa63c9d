"""Tests that the sum of shares stays within the limit.

Guards against shares granted twice: by a new leader that has not yet received reports
of the shares that a former one granted, or while another process still holds a lease.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.limits import Limit, ShareLedger
from tarragonway.limits.messages import ShareRequest

LEASE_S = 3.0
ENTRIES = 5
LIMIT = Limit(100.0, 20)
NAMES = frozenset(f"entry-{n}" for n in range(ENTRIES))

STEPS = st.lists(
    st.tuples(
        st.integers(0, ENTRIES - 1),
        st.floats(0, 300),
        st.floats(0, 2),
        st.booleans(),
    ),
    max_size=80,
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(STEPS)
def test_sum_of_shares_never_exceeds_the_limit(steps):
    ledger = ShareLedger(LEASE_S, ENTRIES)
    held = {}
    now = 0.0
    for entry, demand, passed, new_leader in steps:
        now += passed
        if new_leader:
            ledger = ShareLedger(LEASE_S, ENTRIES, now)
        name = f"entry-{entry}"
        rate, places, end = held.get(name, (0.0, 0, 0.0))
        alive = end > now
        request = ShareRequest(
            "a", demand, 0, rate if alive else 0.0, places if alive else 0
        )
        grant = ledger.grant_shares(name, (request,), lambda _: LIMIT, now, NAMES)[0]
        # The holder's lease counts from when it sent the call, before the grant.
        held[name] = (grant.per_s, grant.concurrent, now + LEASE_S)
        live = [share for share in held.values() if share[2] > now]
        assert sum(share[0] for share in live) <= LIMIT.per_s + 1e-6
        assert sum(share[1] for share in live) <= LIMIT.concurrent


def test_new_leader_grants_anew_once_all_have_reported():
    ledger = ShareLedger(LEASE_S, 2, started=0.0)
    both = frozenset({"entry-1", "entry-2"})
    requests = (ShareRequest("a", 1.0, 0),)
    first = ledger.grant_shares("entry-1", requests, lambda _: LIMIT, 0.1, both)[0]
    assert first.concurrent == 0
    ledger.grant_shares("entry-2", (), lambda _: LIMIT, 0.2, both)
    second = ledger.grant_shares("entry-1", requests, lambda _: LIMIT, 0.3, both)[0]
    assert second.concurrent > 0
