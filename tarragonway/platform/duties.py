"""Calls to the platform that only the leader makes, with its fencing token."""

import msgspec

from tarragonway.core.ids import AccountId, ServiceName, ZoneName
from tarragonway.http1.call import Call, Headers
from tarragonway.platform import names


def make_usage_call(
    holder: str, fencing_token: int, window: int, counts: dict[AccountId, int]
) -> Call:
    """Return the call that reports a window's requests by client account."""
    body = {"window_id": window, "counts": counts}
    return _make_call(names.USAGE_PATH, holder, fencing_token, body)


def make_scale_call(
    holder: str,
    fencing_token: int,
    service: ServiceName,
    zone: ZoneName,
    count: int,
    reclaimable: bool,
) -> Call:
    """Return the call that sets the number of endpoints of one kind in a zone."""
    body: dict[str, object] = {"service": service, "zone": zone, "desired": count}
    if reclaimable:
        body["spot"] = True
    return _make_call(names.SCALE_PATH, holder, fencing_token, body)


def _make_call(path: str, holder: str, fencing_token: int, body: object) -> Call:
    headers: Headers = [
        (names.DUTY_HOLDER, holder.encode()),
        (names.FENCING_TOKEN, str(fencing_token).encode()),
        (b"content-type", b"application/json"),
    ]
    return Call("POST", path, headers, msgspec.json.encode(body))
