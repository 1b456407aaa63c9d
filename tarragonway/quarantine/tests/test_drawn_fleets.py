"""Drawn fleets whose engines crash at any time of answers, with and without cause."""

import math

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from tarragonway.quarantine.tests.fleet import Fleet, FleetSpec
from tarragonway.quarantine.tests.test_parts import CONTACT_S, MAX_LATE_SENDS


# Guards against a part that crashes engines after they have begun an answer, and is
# cleared by that: at the first event, a later one, or long after.
@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10**6),
    gateways=st.sampled_from([1, 3, 8, 40]),
    share=st.floats(0.01, 0.3),
    crash_after_s=st.sampled_from([0.0, 0.02, 0.1, 0.3, 0.45, 0.55, 1.0, 2.5]),
    crash_jitter=st.sampled_from([0.0, 0.3, 1.0]),
    answer_s=st.sampled_from([0.2, 1.0, 4.0]),
    sessions=st.integers(1, 60),
    innocent=st.sampled_from([0.0, 0.3]),
    loss=st.sampled_from([0.0, 0.05]),
)
def test_harmful_part_is_contained_at_whichever_event_engines_crash(
    seed,
    gateways,
    share,
    crash_after_s,
    crash_jitter,
    answer_s,
    sessions,
    innocent,
    loss,
):
    spec = FleetSpec(
        seed,
        gateways,
        harmful_share=share,
        crash_after_s=crash_after_s,
        crash_jitter=crash_jitter,
        answer_s=answer_s,
        sessions=sessions,
        innocent_crashes_per_s=innocent,
        loss=loss,
    )
    fleet = Fleet(spec).run()
    assert fleet.count_late_arrivals(CONTACT_S) <= MAX_LATE_SENDS
    bound_from = (fleet.harmful_crashes[:5] or [spec.harmful_from])[-1]
    before = fleet.compute_served(0.0, spec.harmful_from)
    after = fleet.compute_served(bound_from + 2 * CONTACT_S, spec.harmful_to)
    assert math.isnan(after) or after >= before / 2


# Guards against a sound part that is held because engines are reclaimed or killed, or
# their connections are reset, in the middle of answers, and leaders change meanwhile.
@settings(
    max_examples=40,
    deadline=None,
    derandomize=True,
    phases=[Phase.explicit, Phase.generate],
)
@given(
    seed=st.integers(0, 10**6),
    gateways=st.sampled_from([1, 8, 40]),
    crashes_per_s=st.sampled_from([0.0, 0.2, 0.5]),
    resets_per_s=st.sampled_from([0.0, 0.5, 2.0]),
    answer_s=st.sampled_from([0.2, 1.0, 4.0, 8.0]),
    sessions=st.integers(1, 60),
    leader_changes=st.lists(st.floats(4.5, 24.0), max_size=3),
)
def test_no_sound_part_is_held_after_ends_of_engines_in_the_middle_of_answers(
    seed, gateways, crashes_per_s, resets_per_s, answer_s, sessions, leader_changes
):
    spec = FleetSpec(
        seed,
        gateways,
        harmful_share=0.0,
        answer_s=answer_s,
        sessions=sessions,
        innocent_crashes_per_s=crashes_per_s,
        innocent_resets_per_s=resets_per_s,
        leader_changes=tuple(leader_changes),
    )
    assert not Fleet(spec).run().ever_held


# The same where engines end rarely, and only once answers have ended. Guards against
# a sound part that is held because engines are reclaimed or killed, or
# their connections are reset, in the middle of answers, and leaders change meanwhile.
@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10**6),
    gateways=st.sampled_from([1, 8, 40]),
    crashes_per_s=st.sampled_from([0.0, 0.2]),
    resets_per_s=st.sampled_from([0.0, 0.5]),
    answer_s=st.sampled_from([0.2, 1.0, 4.0, 8.0]),
    sessions=st.integers(1, 60),
    leader_changes=st.lists(st.floats(4.5, 24.0), max_size=3),
)
def test_no_sound_part_is_held_after_rare_ends_of_engines_in_a_warm_fleet(
    seed, gateways, crashes_per_s, resets_per_s, answer_s, sessions, leader_changes
):
    spec = FleetSpec(
        seed,
        gateways,
        harmful_share=0.0,
        answer_s=answer_s,
        sessions=sessions,
        innocent_from=10.0,
        innocent_crashes_per_s=crashes_per_s,
        innocent_resets_per_s=resets_per_s,
        leader_changes=tuple(leader_changes),
    )
    assert not Fleet(spec).run().ever_held
