"""Checks the guarantees on what clients received and endpoints executed."""

import collections

from soak.clients import AttemptRecord, Operator
from soak.stubs import EVENTS_PER_STREAM, Observations

# Responses with these statuses state that the request was not executed.
NOT_RUN_STATUSES = {408, 421, 429, 503}
MIN_SERVED_FRACTION = 0.5


def list_violations(
    records: list[AttemptRecord], observations: Observations, operator: Operator
) -> list[str]:
    """Return one line for each violated guarantee."""
    executions = collections.Counter(
        execution.attempt for execution in observations.executions
    )
    sent_attempts = {record.attempt for record in records}
    violations = [*observations.violations, *operator.violations]
    violations += [
        f"{attempt} was executed but never sent"
        for attempt in executions.keys() - sent_attempts
    ]
    for record in records:
        violations += _check_attempt(record, executions[record.attempt])
    served = sum(record.status == 200 and record.complete for record in records)
    if served < MIN_SERVED_FRACTION * len(records):
        violations.append(
            f"only {served} of {len(records)} requests succeeded;"
            f" the minimum fraction is {MIN_SERVED_FRACTION}"
        )
    return violations


def _check_attempt(record: AttemptRecord, executions: int) -> list[str]:
    violations = []
    if record.kind == "once" and executions > 1:
        violations.append(f"{record.attempt} was executed {executions} times")
    if record.kind == "once" and record.status in NOT_RUN_STATUSES and executions:
        violations.append(
            f"{record.attempt} was refused with {record.status}"
            f" but was executed {executions} times"
        )
    if record.kind == "stream":
        violations += _check_stream(record)
    if record.status == 200 and record.complete:
        violations += _check_success(record, executions)
    if record.status in (401, 404):
        violations.append(
            f"{record.attempt} was refused with {record.status}"
            " despite a valid key and route"
        )
    return violations


def _check_stream(record: AttemptRecord) -> list[str]:
    """Check that a stream's events follow each other and come from one version."""
    versions = set(record.list_chain_values(b"data"))
    ids = [int(value) for value in record.list_chain_values(b"id")]
    violations = []
    if len(versions) > 1:
        violations.append(f"{record.attempt} has events of versions {versions}")
    if ids != list(range(1, len(ids) + 1)):
        violations.append(f"{record.attempt} has events {ids} over its tries")
    return violations


def _check_success(record: AttemptRecord, executions: int) -> list[str]:
    if not executions:
        return [f"{record.attempt} succeeded but was never executed"]
    if record.kind != "stream":
        is_expected = record.body == f"done {record.attempt}".encode()
        return [] if is_expected else [f"{record.attempt} received {record.body!r}"]
    ids = [int(value) for value in record.list_chain_values(b"id")]
    if ids == list(range(1, EVENTS_PER_STREAM + 1)):
        return []
    return [
        f"{record.attempt} received events {ids} instead of 1 to {EVENTS_PER_STREAM}"
    ]
