from hypothesis import example, given, settings
from hypothesis import strategies as st

from tarragonway.versions.tests.fleet import Fleet, FleetSpec

TIMES = st.floats(2.0, 30.0)
DURATIONS_S = st.sampled_from([0.5, 2.0, 7.0])
SHARES = st.sampled_from([0.1, 0.5, 1.0])
EVENTS = st.lists(st.tuples(TIMES, SHARES), max_size=4).map(sorted).map(tuple)
SPECS = st.builds(
    FleetSpec,
    seed=st.integers(0, 10**6),
    gateways=st.sampled_from([1, 3, 8, 50, 200]),
    releases=EVENTS,
    gateway_kills=EVENTS,
    coordinator_kills=EVENTS,
    power_losses=st.lists(st.tuples(TIMES, st.integers(0, 3)), max_size=2).map(tuple),
    leader_changes=st.lists(TIMES, max_size=3).map(tuple),
    losses=st.lists(TIMES, max_size=2).map(tuple),
    outages=st.lists(st.tuples(TIMES, DURATIONS_S), max_size=2).map(tuple),
    cuts=st.lists(st.tuples(TIMES, DURATIONS_S, SHARES), max_size=3).map(tuple),
    loss=st.sampled_from([0.0, 0.05, 0.5]),
    max_delay_s=st.sampled_from([0.05, 1.0]),
)
TOTAL_KILL = FleetSpec(
    seed=1,
    gateways=8,
    releases=((6.0, 0.5), (14.0, 1.0), (20.0, 0.5)),
    gateway_kills=((8.0, 1.0), (21.0, 1.0)),
)
# Endpoints of a new version join and crash while there is no leader.
JOINED_WITHOUT_LEADER = FleetSpec(
    seed=1,
    gateways=8,
    streams_per_s=100.0,
    breaks=0.6,
    releases=((8.0, 0.5),),
    losses=(11.0,),
    outages=((7.0, 7.0),),
)
# Endpoints of a new version join while some gateways are out of touch.
JOINED_WHILE_CUT = FleetSpec(
    seed=1,
    gateways=8,
    streams_per_s=100.0,
    breaks=0.6,
    releases=((8.0, 0.5),),
    cuts=((8.6, 2.0, 0.5),),
)


@settings(max_examples=30, deadline=None)
@given(SPECS)
@example(TOTAL_KILL)
@example(JOINED_WITHOUT_LEADER)
@example(JOINED_WHILE_CUT)
# Guards against streams joined from versions under any history of faults.
def test_no_stream_goes_on_at_another_version(spec):
    assert not Fleet(spec).play().list_mixed()


# Shows that the histories above join versions unless the origin decides.
def test_streams_are_mixed_without_origins():
    spec = FleetSpec(**{**vars(TOTAL_KILL), "is_guarded": False})
    assert len(Fleet(spec).play().list_mixed()) > 10


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 10**6), st.sampled_from([3, 8, 200]), SHARES)
# Guards against refusals of streams whose version still serves, after a total kill.
def test_streams_go_on_while_their_version_serves(seed, gateways, share):
    fleet = Fleet(
        FleetSpec(
            seed,
            gateways,
            releases=((6.0, 0.5),),
            gateway_kills=((12.0, share),),
            coordinator_kills=((12.5, 0.4),),
        )
    ).play()
    assert fleet.take_ups > 50
    assert fleet.resumed >= 0.5 * fleet.take_ups


# Guards against refusals after a loss of all records while one version serves.
def test_streams_go_on_without_records_while_one_version_serves():
    spec = FleetSpec(1, 8, gateway_kills=((9.0, 1.0),), coordinator_kills=((9.0, 1.0),))
    fleet = Fleet(spec).play()
    assert fleet.resumed >= 0.9 * fleet.take_ups


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 10**6), st.sampled_from([3, 8, 200]), st.integers(0, 2))
@example(1, 8, 0)
# Guards against refusals after all gateways and coordinators lost power at once.
def test_streams_go_on_after_a_loss_of_power_of_all(seed, gateways, lost_disks):
    spec = FleetSpec(
        seed,
        gateways,
        breaks=0.9,
        max_break_s=6.0,
        releases=((6.0, 0.5),),
        power_losses=((12.0, lost_disks), (20.0, 0)),
    )
    fleet = Fleet(spec).play()
    assert not fleet.list_mixed()
    assert fleet.old_take_ups > 50
    assert fleet.old_resumed >= 0.5 * fleet.old_take_ups
