"""Decision whether a late request is also sent to a second endpoint.

Load pattern: single endpoints become slow while others have room. Where all are slow or
full, a second send would only add to the queues, so it is denied.
"""

import enum

import msgspec

# Estimated delays and paces that differ by at most this count as equal.
DELAY_TOLERANCE_MS = 0.5
PACE_TOLERANCE = 1e-6


class HedgeDenial(enum.Enum):
    """Why a request is not hedged; the values are parts of counter names."""

    AT_MOST_ONCE = "at_most_once"
    MAX_ATTEMPTS = "no_attempts_left"
    RESUMED = "resumed"
    PROBE = "probe"
    SUSPECT = "suspect"
    ROLLOUT = "rollout"
    LIMITED = "limited"
    NO_SAMPLES = "no_samples"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no_endpoint"
    SLOWER = "slower"
    FULLER = "fuller"
    OVERLOAD = "overload"
    FRACTION = "fraction"
    RETRY_BUDGET = "retry_budget"


class HedgedRequest(msgspec.Struct, frozen=True):
    """What the decision needs to know of a request.

    ``sends`` counts the sends of the request, the one that is late included.
    ``is_resumed`` is set for the rest of a stream, ``is_suspect`` if its content may
    crash endpoints, and ``in_rollout`` while its service changes its version.
    ``is_limited`` is set while endpoints state request limits.
    """

    is_repeatable: bool
    sends: int
    max_attempts: int
    is_resumed: bool = False
    is_probe: bool = False
    is_suspect: bool = False
    in_rollout: bool = False
    is_limited: bool = False


class EndpointFigures(msgspec.Struct, frozen=True):
    """What a gateway knows of an endpoint, without the late request itself.

    ``load`` is the expected number of requests that it runs or holds waiting, ``slots``
    0 if unknown.
    """

    delay_ms: float
    load: float
    slots: int
    pace: float = 1.0

    @property
    def fill(self) -> float:
        """Load relative to the slots, the load itself if these are unknown."""
        return self.load / self.slots if self.slots > 0 else self.load


def check_request(request: HedgedRequest) -> HedgeDenial | None:
    """Return why the request must not be sent twice, None if it may.

    Examples
    --------
    >>> check_request(HedgedRequest(True, 1, 2)) is None
    True
    >>> check_request(HedgedRequest(False, 1, 2))
    <HedgeDenial.AT_MOST_ONCE: 'at_most_once'>
    """
    if not request.is_repeatable:
        return HedgeDenial.AT_MOST_ONCE
    if request.sends >= request.max_attempts:
        return HedgeDenial.MAX_ATTEMPTS
    if request.is_resumed:
        return HedgeDenial.RESUMED
    if request.is_probe:
        return HedgeDenial.PROBE
    if request.is_suspect:
        return HedgeDenial.SUSPECT
    if request.in_rollout:
        return HedgeDenial.ROLLOUT
    if request.is_limited:
        return HedgeDenial.LIMITED
    return None


def check_endpoints(
    first: EndpointFigures,
    second: EndpointFigures,
    objective_ms: float,
    time_left_ms: float,
) -> HedgeDenial | None:
    """Return why the second endpoint must not be sent the request, None if it may.

    Parameters
    ----------
    first : EndpointFigures
        Endpoint that is late, with the delay that was estimated at the send.
    second : EndpointFigures
        Endpoint of the extra send.
    objective_ms : float
        Latency objective of the route, 0 if it has none.
    time_left_ms : float
        Time until the request's deadline.
    """
    if second.delay_ms >= time_left_ms:
        return HedgeDenial.DEADLINE
    # A load below the slots also means that no request waits there.
    if second.load + 1 > second.slots:
        return HedgeDenial.OVERLOAD
    if objective_ms and second.delay_ms > objective_ms:
        return HedgeDenial.OVERLOAD
    if second.fill > first.fill:
        return HedgeDenial.FULLER
    if second.pace > first.pace + PACE_TOLERANCE:
        return HedgeDenial.SLOWER
    if second.delay_ms > first.delay_ms + DELAY_TOLERANCE_MS:
        return HedgeDenial.SLOWER
    return None


def may_hedge(
    request: HedgedRequest,
    first: EndpointFigures,
    second: EndpointFigures | None,
    objective_ms: float,
    time_left_ms: float,
    has_budget: bool,
) -> HedgeDenial | None:
    """Return why a late request is not sent to the second endpoint, None if it is.

    ``second`` is None if no other endpoint may be sent the request, ``has_budget``
    tells whether the permitted fraction of extra sends leaves one. The retry budget is
    asked last, by the caller, as the question withdraws from it.
    """
    denial = check_request(request)
    if denial is not None:
        return denial
    if time_left_ms <= 0:
        return HedgeDenial.DEADLINE
    if not has_budget:
        return HedgeDenial.FRACTION
    if second is None:
        return HedgeDenial.NO_ENDPOINT
    return check_endpoints(first, second, objective_ms, time_left_ms)
