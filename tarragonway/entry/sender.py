"""Client for plain services, which reports whether a failed call may have run."""

import asyncio
from urllib.parse import SplitResult, quote, urlsplit

import msgspec

from tarragonway.claims import Answer
from tarragonway.core.ids import AccountId
from tarragonway.endpoints import Endpoint
from tarragonway.entry.request_checks import Caller
from tarragonway.http1 import ConnectionEnded, EndpointConnection, open_connection
from tarragonway.http1.client import Headers, RequestNotEncodable
from tarragonway.lists import Service

MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Characters that stand for themselves, beside letters, digits and ``_.-~``.
PATH_CHARACTERS = "/!$&'()*+,;=:@"
# A query is forwarded as it was received, with its escapes.
QUERY_CHARACTERS = PATH_CHARACTERS + "?%"


class PlainCall(msgspec.Struct, frozen=True):
    """A call to a plain service, with its whole body."""

    caller: Caller
    service: Service
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def account(self) -> AccountId:
        """The caller's client account."""
        return AccountId(self.caller.account.id)


class NotExecuted(msgspec.Struct, frozen=True):
    """Sentinel: the service did not run the call.

    Nothing was sent, or the endpoint refused the call because it is leaving.
    """

    reason: str
    leaving: bool = False


class MaybeExecuted(msgspec.Struct, frozen=True):
    """Sentinel: the call may have reached the service."""

    reason: str


SendResult = Answer | NotExecuted | MaybeExecuted


class CallSender:
    """Sends calls to plain services, each at most once on a connection of its own.

    An answer has no id, so only its connection ties it to a call: a faulty endpoint may
    write an earlier answer once more. An answer with neither a length nor chunks ends
    with its connection, and is complete only if the endpoint had received the whole
    call before it closed the connection, and did not reset it.

    Parameters
    ----------
    timeout_s : float
        Timeout of one call in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s

    async def send(
        self, call: PlainCall, endpoint: Endpoint, key: str = ""
    ) -> SendResult:
        """Send a call and return its result.

        Parameters
        ----------
        call : PlainCall
            Call to send.
        endpoint : Endpoint
            Endpoint that should run the call.
        key : str
            Idempotency key of a claimed call, "" for one that may be repeated.
        """
        try:
            url = urlsplit(endpoint.url)
            connection = await open_connection(url)
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            return NotExecuted(repr(error))
        try:
            async with asyncio.timeout(self._timeout_s):
                return await _exchange(connection, call, url, key)
        except RequestNotEncodable as error:
            return NotExecuted(f"the call cannot be encoded: {error}")
        except TimeoutError:
            return MaybeExecuted(f"no complete answer within {self._timeout_s:g} s")
        except ConnectionEnded as error:
            return MaybeExecuted(str(error))
        finally:
            connection.abort()


async def _exchange(
    connection: EndpointConnection, call: PlainCall, url: SplitResult, key: str
) -> SendResult:
    query = f"?{quote(call.query, QUERY_CHARACTERS)}" if call.query else ""
    target = f"{url.path}{quote(call.path, PATH_CHARACTERS)}{query}"
    connection.send(call.method, target, _encode_headers(call, url, key), call.body)
    head = await connection.read_head(lambda head: True)
    body = await connection.read_body(MAX_ANSWER_BYTES)
    if not body and not head.may_lack_body(call.method):
        return MaybeExecuted("the answer ended without a body, length or chunks")
    connection.close()
    if head.get(b"x-endpoint-state") == b"leaving":
        return NotExecuted("the endpoint is leaving", True)
    content_type = head.get(b"content-type") or b""
    return Answer(head.status, content_type.decode("utf-8", "surrogateescape"), body)


def _encode_headers(call: PlainCall, url: SplitResult, key: str) -> Headers:
    headers = [("Host", url.netloc), ("Connection", "close"), *call.headers]
    if key:
        headers.append(("Idempotency-Key", key))
    if call.body or call.method not in ("GET", "HEAD"):
        headers.append(("Content-Length", str(len(call.body))))
    try:
        return [
            (name.encode(), value.encode("utf-8", "surrogateescape"))
            for name, value in headers
        ]
    except UnicodeEncodeError as error:
        raise RequestNotEncodable(str(error)) from error
