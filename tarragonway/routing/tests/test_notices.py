import random

from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.routing.notices import MAX_BACKOFF_S, EndpointNotices

PAUSES_S = st.sampled_from([0.0, 0.4, 2.0, 5.0, 1e300])
EVENTS = st.lists(
    st.tuples(
        st.floats(0.0, 2.0),
        st.sampled_from(["e1", "e2", "e3"]),
        st.sampled_from(["pause", "refuse", "begin", "retain"]),
        PAUSES_S,
    ),
    max_size=40,
)


@given(EVENTS)
# Guards against a pause that ends early: by a later answer that names an earlier end,
# by a refusal without a time, or by a request that begins.
def test_pause_lasts_until_the_latest_end_that_was_named(events):
    notices, ends, now = EndpointNotices(), {}, 0.0
    for elapsed_s, key, event, pause_s in events:
        now += elapsed_s
        match event:
            case "pause":
                notices.record_pause(key, pause_s, now)
                end = now + min(pause_s, 86_400.0)
                ends[key] = max(ends.get(key, now), end)
            case "refuse":
                notices.record_refusal(key, now)
                assert notices.backs_off(key, now)
                assert not notices.backs_off(key, now + MAX_BACKOFF_S)
            case "begin":
                notices.record_began(key)
                assert not notices.backs_off(key, now)
            case "retain":
                notices.retain(["e1", "e2"])
                ends.pop("e3", None)
        for endpoint in ("e1", "e2", "e3"):
            left_s = max(0.0, ends.get(endpoint, now) - now)
            assert abs(notices.get_pause(endpoint, now) - left_s) < 1e-9


def play_refusing_fleet(seed, *, uses_notices, gateways=8, requests=400):
    """Return the share of requests that are served at the first send.

    One of four endpoints refuses at once, and so always has the least load.
    """
    source = random.Random(seed)
    notices = [EndpointNotices() for _ in range(gateways)]
    running = {f"e{n}": [] for n in range(4)}
    served, now = 0, 0.0
    for _ in range(requests):
        now += source.expovariate(100.0)
        own = source.choice(notices)
        for ends in running.values():
            ends[:] = [end for end in ends if end > now]
        keys = [
            key for key in running if not (uses_notices and own.backs_off(key, now))
        ]
        keys = keys or list(running)
        least = min(len(running[key]) for key in keys)
        key = source.choice([k for k in keys if len(running[k]) == least])
        if key == "e0":
            own.record_refusal(key, now)
        else:
            served += 1
            own.record_began(key)
            running[key].append(now + 0.1)
    return served / requests


@settings(max_examples=20, deadline=None)
@given(st.integers(0, 10**6))
# Guards against an endpoint that refuses at once, looks idle, and gets most requests.
def test_refusing_endpoint_does_not_draw_the_load(seed):
    assert play_refusing_fleet(seed, uses_notices=False) < 0.3
    assert play_refusing_fleet(seed, uses_notices=True) > 0.85
