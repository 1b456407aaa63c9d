"""Specification of claims with two entry processes and unreliable messages.

Two attempts are made for one key, each through its own entry process. Every message
may be delayed, lost or delivered twice, a process may stop at any point or be
suspended for any time between two of its steps, and the lease may expire at any time.
``tarragonway.claims`` implements the protocol.
"""

import enum
from typing import NamedTuple

from minicheck import Protocol

ATTEMPTS = (0, 1)


class Mutant(enum.Enum):
    """Protocol errors, each of which the model checker must detect."""

    NONE = "none"
    SEND_BEFORE_CLAIM = "send before the claim is granted"
    QUERY_WITHOUT_MARK = "not_run is told without a mark"
    EXPIRY_FREES = "an expired claim becomes absent"
    REFUSAL_SAYS_NOT_RUN = "a refusal before the claim is told as not_run"
    LOST_ANSWER_IS_NOT_RUN = "a lost answer is told as not_run"


class State(NamedTuple):
    """State of the claim record and of both attempts.

    Attributes
    ----------
    record : str
        State of the key's record.
    holder : int
        Attempt that claimed the key, -1 for none.
    phase : tuple of str
        Phase of each attempt.
    claim_in_flight : tuple of bool
        Whether each attempt's claim message is in flight.
    result : tuple of str
        Result message in flight of each attempt, empty for none.
    runs : int
        Number of times that the request was executed.
    not_run_reported : bool
        Whether a client received the outcome ``not_run``.
    """

    record: str = "absent"
    holder: int = -1
    phase: tuple[str, str] = ("idle", "idle")
    claim_in_flight: tuple[bool, bool] = (False, False)
    result: tuple[str, str] = ("", "")
    runs: int = 0
    not_run_reported: bool = False


def make_protocol(mutant: Mutant = Mutant.NONE) -> Protocol:
    """Return the specification, altered by the protocol error ``mutant``."""

    def list_transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = _list_record_steps(state, mutant)
        for attempt in ATTEMPTS:
            steps += _list_attempt_steps(state, attempt, mutant)
            steps += _list_deliveries(state, attempt)
        return [(name, tuple(after)) for name, after in steps]

    return Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=list_transitions,
        invariants={
            "at_most_once": lambda s: s["runs"] <= 1,
            "not_run_is_true": lambda s: not (s["not_run_reported"] and s["runs"]),
        },
    )


def _list_record_steps(state: State, mutant: Mutant) -> list[tuple[str, State]]:
    steps = []
    if state.record == "claimed":
        freed = mutant is Mutant.EXPIRY_FREES
        record = "absent" if freed else "unknown"
        steps.append(("lease ends", state._replace(record=record)))
    if state.record in ("absent", "not_run"):
        queried_record = "absent" if mutant is Mutant.QUERY_WITHOUT_MARK else "not_run"
        record = queried_record if state.record == "absent" else "not_run"
        steps.append(("query", state._replace(record=record, not_run_reported=True)))
    return steps


def _list_attempt_steps(
    state: State, attempt: int, mutant: Mutant
) -> list[tuple[str, State]]:
    phase = state.phase[attempt]
    steps = []
    if phase != "stopped":
        steps.append((f"stop {attempt}", _set_phase(state, attempt, "stopped")))
    if phase == "idle":
        asked = _set_phase(state, attempt, "asked")
        steps.append((f"ask {attempt}", _set_claim_in_flight(asked, attempt, True)))
    if phase == "asked":
        reported = state.not_run_reported or mutant is Mutant.REFUSAL_SAYS_NOT_RUN
        given_up = _set_phase(state, attempt, "ended")._replace(
            not_run_reported=reported
        )
        steps.append((f"give up {attempt}", given_up))
    sends_early = mutant is Mutant.SEND_BEFORE_CLAIM and phase == "asked"
    if phase == "granted" or sends_early:
        sent = _set_phase(state, attempt, "sent")._replace(runs=state.runs + 1)
        steps.append((f"send {attempt}", sent))
    if phase == "granted":
        failed = _set_result(_set_phase(state, attempt, "ended"), attempt, "not_run")
        steps.append(
            (f"no connection {attempt}", failed._replace(not_run_reported=True))
        )
    if phase == "sent":
        ended = _set_phase(state, attempt, "ended")
        steps.append((f"answer {attempt}", _set_result(ended, attempt, "done")))
        if mutant is Mutant.LOST_ANSWER_IS_NOT_RUN:
            lost = _set_result(ended, attempt, "not_run")._replace(
                not_run_reported=True
            )
        else:
            lost = _set_result(ended, attempt, "unknown")
        steps.append((f"answer lost {attempt}", lost))
    return steps


def _list_deliveries(state: State, attempt: int) -> list[tuple[str, State]]:
    steps = []
    if state.claim_in_flight[attempt]:
        claim_lost = _set_claim_in_flight(state, attempt, False)
        steps.append((f"claim lost {attempt}", claim_lost))
        for reply_delivered in (True, False):
            # The message stays in flight, so that it may be delivered again.
            steps.append(
                (f"claim {attempt}", _deliver_claim(state, attempt, reply_delivered))
            )
    result = state.result[attempt]
    if result:
        lost = _set_result(state, attempt, "")
        steps.append((f"result lost {attempt}", lost))
        is_holder = state.holder == attempt
        if is_holder and state.record in ("claimed", "unknown"):
            steps.append((f"result {attempt}", lost._replace(record=result)))
    return steps


def _deliver_claim(state: State, attempt: int, reply_delivered: bool) -> State:
    if state.record == "absent":
        state = state._replace(record="claimed", holder=attempt)
    granted = state.record == "claimed" and state.holder == attempt
    if not reply_delivered or state.phase[attempt] != "asked":
        return state
    return _set_phase(state, attempt, "granted" if granted else "ended")


def _set_phase(state: State, attempt: int, phase: str) -> State:
    return state._replace(phase=_replace_item(state.phase, attempt, phase))


def _set_claim_in_flight(state: State, attempt: int, claim_in_flight: bool) -> State:
    return state._replace(
        claim_in_flight=_replace_item(state.claim_in_flight, attempt, claim_in_flight)
    )


def _set_result(state: State, attempt: int, result: str) -> State:
    return state._replace(result=_replace_item(state.result, attempt, result))


def _replace_item(pair: tuple, position: int, value: object) -> tuple:
    return tuple(value if i == position else old for i, old in enumerate(pair))
