"""Decoder of operators' orders of rollouts, and encoder of their answers."""

import math
import urllib.parse
from typing import Any

import msgspec

from tarragonway.core.decoding import UndecodableError, decode_json
from tarragonway.core.ids import ServiceName, SoftwareVersion
from tarragonway.endpoints.endpoint_list import MAX_VERSION_LENGTH
from tarragonway.platform import names
from tarragonway.rollouts import (
    MAX_DEADLINE_S,
    InvalidOrderError,
    Rollout,
    RolloutOrder,
)
from tarragonway.rollouts.calls import RolloutCalls

# An order has three short values; decoding a text of many megabytes takes seconds.
MAX_ORDER_BYTES = 64 * 1024

# Values are decoded one by one, so that errors name their field.
_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_value_decoder = msgspec.json.Decoder()


def decode_order(body: bytes) -> RolloutOrder:
    """Return an operator's order.

    A longer deadline than :data:`MAX_DEADLINE_S` counts as that one.

    Raises
    ------
    InvalidOrderError
        If the body or one of its fields is invalid.

    Examples
    --------
    >>> decode_order(b'{"service": "s", "to": "v2", "deadline_s": 12}')
    RolloutOrder(service='s', version='v2', deadline_s=12.0)
    >>> decode_order(b'{"service": "s", "to": "", "deadline_s": 12}')
    Traceback (most recent call last):
    ...
    tarragonway.rollouts.model.InvalidOrderError: to: is empty; \
give the software version to move to
    """
    if len(body) > MAX_ORDER_BYTES:
        raise InvalidOrderError(
            f"body: has over {MAX_ORDER_BYTES} bytes; send only service, to, deadline_s"
        )
    try:
        fields = decode_json(_decoder, body)
    except UndecodableError as error:
        raise InvalidOrderError(
            f"body: is no JSON object ({error}); "
            "send one with service, to, and a finite number as deadline_s"
        ) from error
    service = _read_text(fields, "service", "give the name of a service")
    version = _read_text(fields, "to", "give the software version to move to")
    if len(version) > MAX_VERSION_LENGTH:
        raise InvalidOrderError(
            f"to: has over {MAX_VERSION_LENGTH} characters; "
            "give the version as the endpoint list states it"
        )
    return RolloutOrder(
        ServiceName(service), SoftwareVersion(version), _read_deadline(fields)
    )


def decode_read_target(path: str) -> ServiceName | None:
    """Return the service that a read call's path names, None for another path.

    Examples
    --------
    >>> decode_read_target("/v1/Rollouts.Read/a%2Fb")
    'a/b'
    """
    if not path.startswith(names.READ_ROLLOUT_PREFIX):
        return None
    encoded = path[len(names.READ_ROLLOUT_PREFIX) :]
    return ServiceName(urllib.parse.unquote(encoded, errors="replace"))


def encode_rollout(rollout: Rollout) -> bytes:
    """Return the answer to a read call."""
    body = {"state": rollout.state.value, "to": rollout.order.version}
    return msgspec.json.encode(body)


def _read_value(fields: dict[str, msgspec.Raw], key: str, remedy: str) -> Any:
    if key not in fields:
        raise InvalidOrderError(f"{key}: is missing; {remedy}")
    try:
        value = decode_json(_value_decoder, fields[key])
    except UndecodableError as error:
        raise InvalidOrderError(f"{key}: cannot be read ({error}); {remedy}") from error
    if value is None:
        raise InvalidOrderError(f"{key}: is null; {remedy}")
    return value


def _read_text(fields: dict[str, msgspec.Raw], key: str, remedy: str) -> str:
    value = _read_value(fields, key, remedy)
    if not isinstance(value, str):
        raise InvalidOrderError(f"{key}: is not text; {remedy}")
    if not value:
        raise InvalidOrderError(f"{key}: is empty; {remedy}")
    return value


def _read_deadline(fields: dict[str, msgspec.Raw]) -> float:
    remedy = "give the seconds within which the rollout must end, as in 12"
    value = _read_value(fields, "deadline_s", remedy)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidOrderError(f"deadline_s: is not a number; {remedy}")
    deadline_s = float(value)
    if not math.isfinite(deadline_s):
        raise InvalidOrderError(f"deadline_s: is not finite; {remedy}")
    if deadline_s <= 0:
        raise InvalidOrderError(f"deadline_s: is not over 0; {remedy}")
    return min(deadline_s, MAX_DEADLINE_S)


CALLS = RolloutCalls(
    names.BEGIN_ROLLOUT_PATH, decode_order, decode_read_target, encode_rollout
)
