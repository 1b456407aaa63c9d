"""Error responses that the gateway sends without an endpoint."""

import enum

import msgspec

from tarragonway.http1.client import Headers
from tarragonway.http1.response import ResponseWriter

# Value of Retry-After if neither a quota nor an endpoint gives a better estimate.
DEFAULT_RETRY_AFTER_S = 0.25


class ErrorCause(enum.Enum):
    """Why the gateway sends an error response: HTTP status, and reason in the body."""

    NO_CONFIGURATION = (503, "no_configuration")
    NO_ROUTE = (404, "no_route")
    UNKNOWN_KEY = (401, "unknown_key")
    QUOTA = (429, "quota")
    STOPPING = (503, "stopping")
    NO_ENDPOINT = (503, "no_endpoint")
    OVERLOADED = (503, "overloaded")
    ENDPOINTS_FULL = (503, "endpoints_full")
    ENDPOINTS_PAUSED = (503, "endpoints_paused")
    ENDPOINTS_LIMITED = (503, "endpoints_limited")
    VERSION_UNKNOWN = (503, "version_unknown")
    VERSION_GONE = (503, "version_gone")
    VERSION_UNREGISTERED = (503, "version_unregistered")
    QUARANTINED = (503, "quarantined")
    QUARANTINE_UNKNOWN = (503, "quarantine_unknown")
    DEADLINE_BEFORE_SEND = (503, "deadline_before_send")
    NOT_ENCODABLE = (503, "not_encodable")
    HANDLER_FAILED = (503, "handler_failed")
    HANDLER_FAILED_AFTER_SEND = (502, "handler_failed")
    ENDPOINT_FAILED = (502, "endpoint_failed")
    DEADLINE = (504, "deadline")

    @property
    def status(self) -> int:
        """HTTP status; 429 and 503 promise that the request did not run."""
        return self.value[0]

    @property
    def reason(self) -> str:
        """Machine-readable reason in the response body, in logs and in counters."""
        return self.value[1]


async def send_error_response(
    writer: ResponseWriter, cause: ErrorCause, retry_after_s: float | None = None
) -> None:
    """Send an error response with a JSON body, and Retry-After if it is given."""
    await writer.send(cause.status, *_encode_error(cause, retry_after_s))


def end_failed_response(
    writer: ResponseWriter, cause: ErrorCause, retry_after_s: float | None
) -> None:
    """Answer a request whose handler failed, or reset the response that has begun."""
    writer.fail(cause.status, *_encode_error(cause, retry_after_s))


def _encode_error(
    cause: ErrorCause, retry_after_s: float | None
) -> tuple[Headers, bytes]:
    headers: Headers = [(b"content-type", b"application/json")]
    if retry_after_s is not None:
        headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
    return headers, msgspec.json.encode({"error": cause.reason})
