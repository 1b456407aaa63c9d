"""Checks the guarantees on what clients received and endpoints executed."""

import collections

from soak.clients import AttemptRecord, Operator
from soak.stubs import EVENTS, Observations

# Responses with these statuses state that the request was not executed.
NOT_RUN = {408, 421, 429, 503}
SERVED_LEAST = 0.5


def list_violations(
    told: list[AttemptRecord], ledger: Observations, operator: Operator
) -> list[str]:
    """Return one line for each violated guarantee."""
    runs = collections.Counter(run.attempt for run in ledger.runs)
    known = {one.attempt for one in told}
    broken = [*ledger.broken, *operator.broken]
    broken += [
        f"{attempt} was executed but never sent" for attempt in runs.keys() - known
    ]
    for one in told:
        broken += _check_attempt(one, runs[one.attempt])
    served = sum(one.status == 200 and one.complete for one in told)
    if served < SERVED_LEAST * len(told):
        broken.append(
            f"only {served} of {len(told)} requests succeeded;"
            f" the minimum fraction is {SERVED_LEAST}"
        )
    return broken


def _check_attempt(one: AttemptRecord, runs: int) -> list[str]:
    broken = []
    if one.kind == "once" and runs > 1:
        broken.append(f"{one.attempt} was executed {runs} times")
    if one.kind == "once" and one.status in NOT_RUN and runs:
        broken.append(
            f"{one.attempt} was refused with {one.status} but was executed {runs} times"
        )
    if one.status == 200 and one.complete:
        broken += _check_success(one, runs)
    if one.status in (401, 404):
        broken.append(
            f"{one.attempt} was refused with {one.status} despite a valid key and route"
        )
    return broken


def _check_success(one: AttemptRecord, runs: int) -> list[str]:
    if not runs:
        return [f"{one.attempt} succeeded but was never executed"]
    if one.kind != "stream":
        right = one.body == f"done {one.attempt}".encode()
        return [] if right else [f"{one.attempt} received {one.body!r}"]
    lines = one.body.split(b"\n")
    ids = [int(line[3:]) for line in lines if line.startswith(b"id:")]
    if ids == list(range(1, EVENTS + 1)):
        return []
    return [f"{one.attempt} received events {ids} instead of 1 to {EVENTS}"]
