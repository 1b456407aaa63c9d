"""Tests that only the content that crashes endpoints is quarantined.

Guards against quarantining contents that merely ran on the same endpoint when it
crashed, and against more crashes than the two that identify the harmful content.
"""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.quarantine import (
    EndProbation,
    QuarantineStore,
    ReportCrash,
    TakeProbation,
)

EXPECTED_CRASHES = 2


@settings(derandomize=True, deadline=None)
@given(st.integers(2, 8), st.integers(1, 20), st.integers(0, 10_000))
def test_only_the_harmful_content_is_quarantined(endpoints, harmless_count, seed):
    source = random.Random(seed)
    store = QuarantineStore()
    names = ["bad"] + [f"good{n}" for n in range(harmless_count)]
    waiting = list(names)
    running = {f"e{n}": [] for n in range(endpoints)}
    crashes = 0
    for now in range(5000):
        if not waiting and not any(running.values()):
            break
        source.shuffle(waiting)
        for name in list(waiting):
            endpoint = source.choice(list(running))
            command = TakeProbation(endpoint, name)
            if (
                name in store.suspects
                and not store.handle_take_probation(command, now).granted
            ):
                continue
            waiting.remove(name)
            running[endpoint].append(name)
        endpoint = source.choice(list(running))
        if "bad" in running[endpoint]:
            crashes += 1
            for name in running[endpoint]:
                if not store.handle_crash(ReportCrash(endpoint, name), now).quarantined:
                    waiting.append(name)
        else:
            for name in running[endpoint]:
                store.handle_end_probation(EndProbation(endpoint, name, True), now)
        running[endpoint] = []
    assert set(store.quarantined) == {"bad"}
    assert crashes == EXPECTED_CRASHES
    assert not waiting
