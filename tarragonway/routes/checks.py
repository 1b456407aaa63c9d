"""Consistency checks of the routing configuration.

Each check yields all faults that it finds. A coordinator rejects a configuration with
the first one; an operator's validation prints all of them.
"""

import math
import re
from collections.abc import Iterable, Iterator

import msgspec

from tarragonway.core.ids import AccountId, ServiceName
from tarragonway.routes.model import Configuration, ConfigurationError, Route

# Largest number in a configuration, but for its revision.
MAX_NUMBER = 1e30
MAX_REVISION_DIGITS = 100
_CONTROL = re.compile(r"[\x00-\x1f]")


class Fault(msgspec.Struct, frozen=True):
    """A reason for which a configuration cannot be put into force.

    ``place`` is the entry that is at fault, such as ``routes[3]``, and ``key`` the name
    of its value; both are "" if the whole configuration is.
    """

    text: str
    place: str = ""
    key: str = ""
    remedy: str = ""


def raise_first(faults: Iterable[Fault]) -> None:
    """Raise for the first fault.

    Raises
    ------
    ConfigurationError
        If there is any; the message is the fault's text.
    """
    for fault in faults:
        raise ConfigurationError(fault.text)


def list_value_faults(name: str, value: object) -> Iterator[Fault]:
    """Yield the faults of a new configuration's numbers and texts.

    A number must not be negative or over :data:`MAX_NUMBER`. A text must not have
    control characters, which headers cannot carry.

    Parameters
    ----------
    name : str
        Place of the value in the operator's text.
    value : object
        The decoded value. Structures and lists are checked with all that they hold.

    Examples
    --------
    >>> list(list_value_faults("limits.idle_timeout_ms", 15_000))
    []
    >>> [fault.text for fault in list_value_faults("services[0].max_conns", -1)]
    ['services[0].max_conns is -1; state a number from 0 to 1e+30']
    """
    match value:
        case list():
            for index, item in enumerate(value):
                # Places are made up only for items that are at fault.
                if _has_fault(item):
                    yield from list_value_faults(f"{name}[{index}]", item)
        case dict():
            for key, item in value.items():
                yield from list_value_faults(f"{name} (a key)", key)
                yield from list_value_faults(f"{name}[{key!r}]", item)
        case msgspec.Struct():
            for field in value.__struct_fields__:
                yield from list_value_faults(f"{name}.{field}", getattr(value, field))
        case _:
            yield from _list_scalar_faults(name, value)


def _has_fault(value: object) -> bool:
    match value:
        case str():
            return _CONTROL.search(value) is not None
        case bool() | None:
            return False
        case int() | float():
            return not 0 <= value <= MAX_NUMBER
        case msgspec.Struct():
            fields = value.__struct_fields__
            return any(_has_fault(getattr(value, field)) for field in fields)
        case list():
            return any(map(_has_fault, value))
        case dict():
            return any(map(_has_fault, value)) or any(map(_has_fault, value.values()))
    return False


def _list_scalar_faults(name: str, value: object) -> Iterator[Fault]:
    remedy = ""
    match value:
        case bool():
            return
        case int() | float() if not 0 <= value <= MAX_NUMBER:
            remedy = f"state a number from 0 to {MAX_NUMBER}"
            text = f"{name} is {str(value)[:40]}; {remedy}"
        case str() if _CONTROL.search(value):
            remedy = "remove its control characters"
            text = f"{name} is {value[:40]!r}; {remedy}"
    if remedy:
        # Keys of an object may have any characters; what precedes them has names only.
        path = name.split("['")[0].split('["')[0].split(" (")[0]
        place, _, key = path.rpartition(".")
        yield Fault(text, place, key + name[len(path) :], remedy)


def list_faults(configuration: Configuration) -> Iterator[Fault]:
    """Yield what is inconsistent in a configuration.

    Keys of the faults are names of the fields of the configuration's types.
    """
    names = {service.name for service in configuration.services}
    first_by_place: dict[tuple[str, str], int] = {}
    for index, route in enumerate(configuration.routes):
        yield from _list_route_faults(f"routes[{index}]", route, names)
        first = first_by_place.setdefault((route.host, route.prefix), index)
        if first != index:
            yield Fault(
                f"two routes share {route.host}{route.prefix}",
                f"routes[{index}]",
                "prefix",
                f"routes[{first}] has the same host and prefix; remove one of them or "
                "change its prefix",
            )
    owners: dict[str, AccountId] = {}
    for index, account in enumerate(configuration.accounts or ()):
        for key in account.keys:
            if owners.setdefault(key, account.id) != account.id:
                yield Fault(
                    f"{account.id} and {owners[key]} share a key; give each its own",
                    f"accounts[{index}]",
                    "keys",
                    "give each its own",
                )


def _list_route_faults(
    place: str, route: Route, services: set[ServiceName]
) -> Iterator[Fault]:
    for share in route.shares:
        if share.service not in services:
            yield Fault(
                f"route {route.name} names the unknown service {share.service}",
                place,
                "shares",
                "name a service that the configuration has, or add this one",
            )
        if share.weight < 0:
            yield Fault(
                f"route {route.name} has a negative weight",
                place,
                "shares",
                "state weights of 0 or more",
            )
    if not 0 < sum(share.weight for share in route.shares) < math.inf:
        yield Fault(
            f"the weights of route {route.name} add up to 0 or infinity",
            place,
            "shares",
            "state at least one weight over 0, and smaller ones if they are huge",
        )
    if not route.timeout_s > 0:
        yield Fault(
            f"the timeout of route {route.name} must be over 0",
            place,
            "timeout_s",
            "state a timeout over 0",
        )
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield Fault(
            f"the prefix of route {route.name} must begin and end with a slash",
            place,
            "prefix",
            "add the slash",
        )
