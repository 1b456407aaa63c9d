"""Entries of a configuration that no request can match."""

import re
from collections.abc import Iterable, Iterator

from tarragonway.core.ids import ServiceName
from tarragonway.routes.model import Account, Configuration, Route
from tarragonway.validation.findings import Finding, warn

# Characters of a request's path that a prefix is compared with; its query is cut off.
_PATH = re.compile(r"[!-~]*")
_HOST = re.compile(r"[!-9;-~]*")
# A key is a single word of the header that carries it.
_KEY = re.compile(r"[!-~]+")


def list_unused(configuration: Configuration) -> Iterator[Finding]:
    """Yield a warning for each entry that cannot match, whatever callers send.

    A route that has the host and prefix of another one is not among them: that is an
    error. A longer prefix hides only a part of a shorter one.
    """
    for index, route in enumerate(configuration.routes):
        yield from _check_route(f"routes[{index}]", route)
    yield from _list_repeated(
        "routes",
        "name",
        [route.name for route in configuration.routes],
        "has the name of {}: logs and counters cannot tell them apart",
    )
    yield from _check_services(configuration)
    accounts = configuration.accounts or ()
    yield from _list_repeated(
        "accounts",
        "id",
        [account.id for account in accounts],
        "has the name of {}: the quota of only one of them is used",
    )
    for index, account in enumerate(accounts):
        yield from _check_account(f"accounts[{index}]", account)
    if accounts and all(route.public for route in configuration.routes):
        yield warn(
            "",
            "accounts",
            "no route needs a key, so no key, quota or priority of an account is used",
            "remove the accounts, or make the routes that need a key not public",
        )


def _check_route(place: str, route: Route) -> Iterator[Finding]:
    if not _PATH.fullmatch(route.prefix) or "?" in route.prefix or "#" in route.prefix:
        yield warn(
            place,
            "prefix",
            f"route {route.name} never matches: no request's path has {route.prefix!r}",
            "state the prefix as it is sent, with escapes and without a query",
        )
    if not _HOST.fullmatch(route.host):
        yield warn(
            place,
            "host",
            f"route {route.name} never matches: hosts are compared without a port, and "
            f"none is {route.host!r}",
            "state the host's name alone",
        )
    elif not route.host:
        yield warn(
            place,
            "host",
            f"route {route.name} matches only requests that name no host",
            "state a host",
        )
    for share in route.shares:
        if share.weight == 0:
            yield warn(
                place,
                "shares",
                f"route {route.name} sends nothing to {share.service}: its weight is 0",
                "remove this entry, or state a weight over 0",
            )


def _check_services(configuration: Configuration) -> Iterator[Finding]:
    used: set[ServiceName] = {
        share.service
        for route in configuration.routes
        for share in route.shares
        if share.weight > 0
    }
    names = [service.name for service in configuration.services]
    for index, name in enumerate(names):
        if name not in used:
            yield warn(
                f"services[{index}]",
                "name",
                f"no route sends requests to the service {name}",
                "remove it, or name it in a route",
            )
    yield from _list_repeated(
        "services",
        "name",
        names,
        "has the name of {}: only the last one of them is used",
    )


def _check_account(place: str, account: Account) -> Iterator[Finding]:
    if not account.keys:
        yield warn(
            place,
            "keys",
            f"account {account.id} has no key, so no request can belong to it",
            "give it a key, or remove it",
        )
    seen: set[str] = set()
    for number, key in enumerate(account.keys):
        if not _KEY.fullmatch(key):
            yield warn(
                place,
                f"keys[{number}]",
                f"account {account.id} has a key that no header can carry",
                "use printable ASCII characters without spaces",
            )
        elif key in seen:
            yield warn(
                place,
                f"keys[{number}]",
                f"account {account.id} has this key twice",
                "remove one of them",
            )
        seen.add(key)


def _list_repeated(
    place: str, key: str, names: Iterable[str], text: str
) -> Iterator[Finding]:
    first_by_name: dict[str, int] = {}
    for index, name in enumerate(names):
        first = first_by_name.setdefault(name, index)
        if first != index:
            yield warn(
                f"{place}[{index}]",
                key,
                f"{name} " + text.format(f"{place}[{first}]"),
                "give each its own name, or remove one of them",
            )
