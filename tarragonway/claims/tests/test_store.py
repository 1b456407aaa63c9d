"""The claim store checked against the outcomes that callers have received."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tarragonway.claims import (
    Answer,
    ClaimCall,
    ClaimGranted,
    ClaimState,
    ClaimStore,
    QueryCall,
    ResolveCall,
    Retention,
    RetireOwner,
)

KEYS = st.sampled_from(["k1", "k2", "k3"])
OWNERS = st.sampled_from(["entry-1", "entry-2", "entry-3"])
LEASE_MS = 1000


class ClaimMachine(RuleBasedStateMachine):
    """Random runs with late, repeated and lost commands.

    The processes that send them restart, or are frozen before they send a call.
    """

    def __init__(self):
        super().__init__()
        self.store = ClaimStore(retention=Retention(20_000, 10**9))
        self.now = 0
        self.sent = {}
        self.granted = {}
        self.not_run = set()
        self.answers = {}
        self.claim_calls = []
        self.incarnations = dict.fromkeys(["entry-1", "entry-2", "entry-3"], 0)

    def send_claim(self, call):
        if isinstance(self.store.claim(call, self.now), ClaimGranted):
            known = self.granted.setdefault(call.key, call.attempt)
            assert known == call.attempt, "two attempts hold one key"

    @rule(key=KEYS, owner=OWNERS)
    def claim(self, key, owner):
        attempt = f"a{len(self.claim_calls)}"
        start = f"s{self.incarnations[owner]}"
        call = ClaimCall("acc", key, "f", attempt, owner, start, LEASE_MS)
        self.claim_calls.append(call)
        self.send_claim(call)

    @rule(position=st.integers(0, 50))
    def repeat_claim(self, position):
        if self.claim_calls:
            self.send_claim(self.claim_calls[position % len(self.claim_calls)])

    @rule(key=KEYS)
    def send(self, key):
        """Send the call of the claim's holder, at any later time but at most once."""
        attempt = self.granted.get(key)
        if attempt and attempt not in self.sent and key not in self.not_run:
            self.sent[attempt] = key

    @rule(key=KEYS, late=st.booleans())
    def resolve(self, key, late):
        attempt = self.granted.get(key)
        if attempt is None:
            return
        if attempt in self.sent:
            answer = Answer(200, "text/plain", key.encode())
            call = ResolveCall("acc", key, attempt, ClaimState.DONE, answer)
            self.answers[key] = answer
        else:
            # The holder could not connect and has answered its caller with NOT_RUN.
            self.not_run.add(key)
            call = ResolveCall("acc", key, attempt, ClaimState.NOT_RUN)
        self.store.resolve(call, self.now + (2 * LEASE_MS if late else 0))

    @rule(key=KEYS)
    def query(self, key):
        record = self.store.query(QueryCall("acc", key), self.now).record
        if record.state is ClaimState.NOT_RUN:
            self.not_run.add(key)
        if record.state is ClaimState.DONE and record.answer:
            assert record.answer == self.answers[key]

    @rule(owner=OWNERS)
    def restart_owner(self, owner):
        self.incarnations[owner] += 1
        self.store.retire(RetireOwner(owner, f"s{self.incarnations[owner]}"), self.now)

    @rule(passed=st.sampled_from([1, LEASE_MS, 30_000]))
    def wait(self, passed):
        self.now += passed

    @invariant()
    def nothing_runs_twice_and_no_denied_call_ran(self):
        keys = list(self.sent.values())
        assert len(keys) == len(set(keys))
        assert not self.not_run & set(keys)


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)


def test_key_is_recognised_after_its_answer_was_dropped():
    store = ClaimStore(retention=Retention(10, 10**6))
    call = ClaimCall("acc", "old", "f", "a1", "entry-1", "s", LEASE_MS)
    store.claim(call, 0)
    answer = Answer(200, "", b"x")
    store.resolve(ResolveCall("acc", "old", "a1", ClaimState.DONE, answer), 1)
    again = ClaimCall("acc", "old", "f", "a2", "entry-2", "s", LEASE_MS)
    held = store.claim(again, 10_000)
    assert held.record.state is ClaimState.DONE
    assert held.record.answer is None


def test_open_claim_becomes_unknown_with_its_lease():
    store = ClaimStore()
    store.claim(ClaimCall("acc", "k", "f", "a1", "entry-1", "s", LEASE_MS), 0)
    early = store.query(QueryCall("acc", "k"), LEASE_MS - 1).record.state
    late = store.query(QueryCall("acc", "k"), LEASE_MS).record.state
    assert (early, late) == (ClaimState.CLAIMED, ClaimState.UNKNOWN)
