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
from tarragonway.quarantine.store import MAX_MESSAGES, MESSAGE_HOLD_MS

EXPECTED_CRASHES = 2
# The users' bound: five crashes, and three more requests.
MAX_SHARED_CRASHES = 8


# Guards against distinct contents that crash endpoints with a message in common.
def test_contents_with_a_harmful_message_in_common_crash_few_endpoints():
    store, crashes = QuarantineStore(), 0
    for number in range(20):
        content, messages = f"c{number}", ("system", "harmful")
        for endpoint in ("e1", "e2"):
            if any(store.get_flags(key)[0] for key in (content, *messages)):
                break
            if any(store.get_flags(key)[1] for key in (content, *messages)):
                store.handle_take_probation(TakeProbation(endpoint, content), number)
            crashes += 1
            store.handle_crash(ReportCrash(endpoint, content, messages), number)
        sound = EndProbation("e3", f"sound{number}", True, ("system",))
        store.handle_end_probation(sound, number)
    assert crashes <= MAX_SHARED_CRASHES
    assert store.held_messages == ["harmful"]


def test_hold_of_a_message_expires_and_a_further_crash_lengthens_it():
    store = QuarantineStore()
    for number in range(2):
        store.handle_take_probation(TakeProbation("e1", f"c{number}"), 0)
        store.handle_crash(ReportCrash("e1", f"c{number}", ("m",)), 0)
    assert store.get_flags("m") == (True, False)
    assert store.expire_holds(MESSAGE_HOLD_MS - 1) == []
    assert store.expire_holds(MESSAGE_HOLD_MS) == ["m"]
    assert store.get_flags("m") == (False, True)
    store.handle_take_probation(TakeProbation("e1", "c2"), MESSAGE_HOLD_MS)
    store.handle_crash(ReportCrash("e1", "c2", ("m",)), MESSAGE_HOLD_MS)
    assert store.expire_holds(3 * MESSAGE_HOLD_MS) == []


def test_message_of_an_answered_content_is_no_suspect():
    store = QuarantineStore()
    store.handle_take_probation(TakeProbation("e1", "c"), 0)
    store.handle_crash(ReportCrash("e1", "c", ("m",)), 0)
    assert store.get_flags("m") == (False, True)
    store.handle_end_probation(EndProbation("e2", "other", True, ("m",)), 1)
    assert store.get_flags("m") == (False, False)


def test_number_of_messages_is_bounded_and_held_ones_stay():
    store = QuarantineStore()
    for number in range(2):
        store.handle_take_probation(TakeProbation("e1", f"c{number}"), 0)
        store.handle_crash(ReportCrash("e1", f"c{number}", ("m",)), 0)
    for number in range(MAX_MESSAGES + 5):
        store.handle_take_probation(TakeProbation("e1", f"x{number}"), 1)
        store.handle_crash(ReportCrash("e1", f"x{number}", (f"m{number}",)), 1)
    assert len(store.messages) == MAX_MESSAGES
    assert store.held_messages == ["m"]


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
