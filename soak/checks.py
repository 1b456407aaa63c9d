"""The promises, checked against what callers were told and endpoints have seen."""

import collections

from soak.callers import Operator, Told
from soak.platform import EVENTS, Ledger

NOT_RUN = {408, 421, 429, 503}
SERVED_LEAST = 0.5


def list_broken(told: list[Told], ledger: Ledger, operator: Operator) -> list[str]:
    """Return every promise that was broken, one line each."""
    runs = collections.Counter(run.attempt for run in ledger.runs)
    known = {one.attempt for one in told}
    broken = [*ledger.broken, *operator.broken]
    broken += [f"{attempt} ran, and nobody sent it" for attempt in runs.keys() - known]
    for one in told:
        broken += _check_one(one, runs[one.attempt])
    served = sum(one.status == 200 and one.complete for one in told)
    if served < SERVED_LEAST * len(told):
        broken.append(f"only {served} of {len(told)} requests were served")
    return broken


def _check_one(one: Told, runs: int) -> list[str]:
    broken = []
    if one.kind == "once" and runs > 1:
        broken.append(f"{one.attempt} ran {runs} times")
    if one.kind == "once" and one.status in NOT_RUN and runs:
        broken.append(f"{one.attempt} was told {one.status} and ran")
    if one.status == 200 and one.complete:
        broken += _check_success(one, runs)
    if one.status in (401, 404):
        broken.append(f"{one.attempt} was told {one.status}, though it is allowed")
    return broken


def _check_success(one: Told, runs: int) -> list[str]:
    if not runs:
        return [f"{one.attempt} succeeded and never ran"]
    if one.kind != "stream":
        right = one.body == f"done {one.attempt}".encode()
        return [] if right else [f"{one.attempt} got {one.body!r}"]
    lines = one.body.split(b"\n")
    ids = [int(line[3:]) for line in lines if line.startswith(b"id:")]
    if ids == list(range(1, EVENTS + 1)):
        return []
    return [f"{one.attempt} got events {ids}"]
