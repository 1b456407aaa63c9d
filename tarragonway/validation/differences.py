"""What differs from the version in force, in operators' words."""

from collections.abc import Iterator, Sequence
from typing import TypeVar

import msgspec

from tarragonway.routes.model import (
    Account,
    Configuration,
    EngineTraits,
    Route,
    ScalingTraits,
    Service,
)
from tarragonway.validation.findings import Finding, note_change, warn

T = TypeVar("T")
# Fields of a route that are compared one by one, with their words.
_ROUTE_FIELDS = dict(
    repeatability="kind",
    timeout_s="timeout in seconds",
    latency_objective_s="latency objective in seconds",
    inter_token_objective_s="objective between tokens in seconds",
    priority="priority",
    max_attempts="attempts",
    public="access without a key",
    prompt_affinity="affinity by prompt",
    resumable="resumption of streams",
)
_SERVICE_FIELDS = dict(
    health_path="path of the health check",
    max_connections="connections to an endpoint",
)
_ENGINE_FIELDS = dict(
    slots="slots of an engine",
    cache_tokens="cached tokens of an engine",
    tokens_per_event="tokens in an event",
)
_SCALING_FIELDS = dict(
    min_endpoints="lower bound on endpoints",
    max_endpoints="upper bound on endpoints",
    boot_s="start of an endpoint in seconds",
    reclaimable_price="price of reclaimable endpoints",
    zone_prices="prices by zone",
)
_LIMIT_FIELDS = dict(
    header_bytes="bytes of a request's head",
    body_bytes="bytes of a request's body",
    header_timeout_s="timeout of a request's head in seconds",
    idle_timeout_s="timeout of idle connections in seconds",
)


def list_differences(new: Configuration, in_force: Configuration) -> Iterator[Finding]:
    """Yield a finding for each difference from the version in force.

    Differences do not make a configuration worse; a revision that is not higher does,
    since it is acknowledged and not put into force.
    """
    before = in_force.revision
    if new.revision <= before and new != in_force:
        yield warn(
            "",
            "revision",
            f"{new.revision} is not over {before}, which is in force: it would be "
            "acknowledged and have no effect",
            f"state a number over {before}",
        )
    yield from _compare_routes(new.routes, in_force.routes)
    yield from _compare_services(new.services, in_force.services)
    yield from _compare_fields("limits", "", new.limits, in_force.limits, _LIMIT_FIELDS)
    if (new.accounts is None) != (in_force.accounts is None):
        text = "need a key now" if new.accounts is not None else "need no key any more"
        yield note_change("", "accounts", f"requests {text}")
    yield from _compare_accounts(new.accounts or (), in_force.accounts or ())


def _pair(
    place: str, new: Sequence[T], old: Sequence[T], field: str
) -> Iterator[tuple[str, str, T | None, T | None]]:
    """Yield place, name, new and old entry; entries of one name pair up in order."""
    remaining: dict[str, list[T]] = {}
    for item in reversed(old):
        remaining.setdefault(getattr(item, field), []).append(item)
    for index, item in enumerate(new):
        name = getattr(item, field)
        same = remaining.get(name)
        yield f"{place}[{index}]", name, item, same.pop() if same else None
    for name, items in remaining.items():
        for item in reversed(items):
            yield place, name, None, item


def _compare_routes(
    new: tuple[Route, ...], old: tuple[Route, ...]
) -> Iterator[Finding]:
    name_by_place = {(route.host, route.prefix): route.name for route in old}
    places = {(route.host, route.prefix) for route in new}
    for place, name, route, before in _pair("routes", new, old, "name"):
        if route is None:
            assert before is not None
            served = (before.host, before.prefix) in places
            text = (
                "another route has its place" if served else "its place is not served"
            )
            yield note_change(
                place, "name", f"route {name} removed ({_format_place(before)}); {text}"
            )
        elif before is None:
            other = name_by_place.get((route.host, route.prefix))
            text = f", where {other} is in force" if other is not None else ""
            yield note_change(
                place, "name", f"route {name} added at {_format_place(route)}{text}"
            )
        else:
            yield from _compare_route(place, route, before)


def _compare_route(place: str, new: Route, old: Route) -> Iterator[Finding]:
    subject = f"route {new.name}"
    if (new.host, new.prefix) != (old.host, old.prefix):
        yield note_change(
            place,
            "prefix" if new.host == old.host else "host",
            f"{subject} moved from {_format_place(old)} to {_format_place(new)}",
        )
    if new.shares != old.shares:
        text = f"{_format_shares(old)} -> {_format_shares(new)}"
        yield note_change(place, "shares", f"{subject}: split changed, {text}")
    yield from _compare_fields(place, subject, new, old, _ROUTE_FIELDS)


def _compare_services(
    new: tuple[Service, ...], old: tuple[Service, ...]
) -> Iterator[Finding]:
    for place, name, service, before in _pair("services", new, old, "name"):
        subject = f"service {name}"
        if service is None:
            yield note_change(place, "name", f"{subject} removed")
        elif before is None:
            yield note_change(place, "name", f"{subject} added")
        else:
            yield from _compare_fields(place, subject, service, before, _SERVICE_FIELDS)
            for key, fields in (
                ("engine", _ENGINE_FIELDS),
                ("scaling", _SCALING_FIELDS),
            ):
                yield from _compare_part(
                    place, subject, key, getattr(service, key), getattr(before, key),
                    fields,
                )  # fmt: skip


def _compare_part(
    place: str,
    subject: str,
    key: str,
    new: EngineTraits | ScalingTraits | None,
    old: EngineTraits | ScalingTraits | None,
    fields: dict[str, str],
) -> Iterator[Finding]:
    if new is None or old is None:
        if new is not old:
            text = "added" if old is None else "removed"
            yield note_change(place, key, f"{subject}: {key} {text}")
        return
    for finding in _compare_fields(place, subject, new, old, fields):
        yield msgspec.structs.replace(finding, key=f"{key}.{finding.key}")


def _compare_accounts(
    new: tuple[Account, ...], old: tuple[Account, ...]
) -> Iterator[Finding]:
    for place, name, account, before in _pair("accounts", new, old, "id"):
        subject = f"account {name}"
        if account is None:
            assert before is not None
            count = len(before.keys)
            yield note_change(place, "id", f"{subject} removed with its {count} keys")
        elif before is None:
            yield note_change(place, "id", f"{subject} added")
        else:
            yield from _compare_account(place, subject, account, before)


def _compare_account(
    place: str, subject: str, new: Account, old: Account
) -> Iterator[Finding]:
    for text, keys, others in (
        ("keys taken away", old.keys, new.keys),
        ("keys added", new.keys, old.keys),
    ):
        known = frozenset(others)
        changed = [_mask(key) for key in keys if key not in known]
        if changed:
            yield note_change(place, "keys", f"{subject}: {text}: {', '.join(changed)}")
    if new.counts_tokens != old.counts_tokens:
        text = "tokens" if new.counts_tokens else "requests"
        yield note_change(place, "counts_tokens", f"{subject}: quota counts {text} now")
    if new.per_s != old.per_s:
        # A rate of 0 means no limit.
        is_lower = (new.per_s or float("inf")) < (old.per_s or float("inf"))
        text = "lowered" if is_lower else "raised"
        rates = f"{_format_rate(old)} to {_format_rate(new)}"
        yield note_change(place, "per_s", f"{subject}: quota {text} from {rates}")
    if new.burst != old.burst:
        text = "lowered" if new.burst < old.burst else "raised"
        change = f"{old.burst:g} to {new.burst:g}"
        yield note_change(place, "burst", f"{subject}: burst {text} from {change}")
    fields = {"default_units": "units of a request without a size"}
    fields["priority"] = "priority"
    yield from _compare_fields(place, subject, new, old, fields)


def _compare_fields(
    place: str,
    subject: str,
    new: msgspec.Struct,
    old: msgspec.Struct,
    fields: dict[str, str],
) -> Iterator[Finding]:
    for key, words in fields.items():
        before, after = getattr(old, key), getattr(new, key)
        if before != after:
            start = f"{subject}: " if subject else ""
            change = f"{_format(before)} -> {_format(after)}"
            yield note_change(place, key, f"{start}{words} changed, {change}")


def _format(value: object) -> str:
    match value:
        case None:
            return "none"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case dict():
            items = (f"{key} {_format(item)}" for key, item in value.items())
            return ", ".join(items) or "none"
        case _:
            return str(getattr(value, "value", value))


def _format_place(route: Route) -> str:
    return f"{route.host}{route.prefix}"


def _format_shares(route: Route) -> str:
    total = sum(share.weight for share in route.shares) or 1.0
    parts = (f"{s.service} {s.weight / total:.3g}" for s in route.shares)
    return " + ".join(parts) or "nothing"


def _format_rate(account: Account) -> str:
    return f"{account.per_s:g} a second" if account.per_s else "no limit"


def _mask(key: str) -> str:
    """Return the start of a key; the rest is secret."""
    return f"{key[:4]}..." if len(key) > 8 else f"{key[:1]}..."
