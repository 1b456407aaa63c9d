"""Decoding and encoding of the platform's headers in requests and answers."""

import math

from tarragonway.core.ids import AttemptId, PartId
from tarragonway.core.numbers import parse_bounded_count
from tarragonway.exchange import (
    MAX_REQUESTS,
    MAX_TOKENS,
    CallerRequest,
    ForwardContext,
    Load,
    Prompt,
    PromptPart,
    ResponseInfo,
)
from tarragonway.http1.client import Headers, ResponseHead
from tarragonway.http1.response import Request
from tarragonway.platform import names


def decode_request(request: Request) -> CallerRequest:
    """Decode a caller's request; malformed headers count as absent."""
    host = (request.get(b"host") or b"").decode("latin-1").lower()
    timeout_ms = _parse_number(request.get(names.DEADLINE))
    return CallerRequest(
        AttemptId(_parse_text(request.get(names.ATTEMPT)) or ""),
        host.partition(":")[0],
        request.target.partition("?")[0],
        None if timeout_ms is None else timeout_ms / 1000,
        _parse_api_key(request.get(b"authorization")),
        _parse_text(request.get(names.LAST_EVENT_ID)),
        _parse_prompt(request),
        _parse_attempt(request.get(names.RESUMED_ATTEMPT)),
    )


def encode_headers(request: Request, context: ForwardContext) -> Headers:
    """Return the headers with which a request is forwarded to an endpoint."""
    connection = (request.get(b"connection") or b"").lower()
    connection_options = {token.strip() for token in connection.split(b",")}
    dropped = names.INTERNAL_HEADERS | names.HOP_BY_HOP_HEADERS | connection_options
    if context.drops_api_key:
        dropped = dropped | {b"authorization"}
    if context.last_event_id is not None:
        dropped = dropped | {names.LAST_EVENT_ID}
    headers = [(key, value) for key, value in request.headers if key not in dropped]
    headers.append((names.EXPECTED_INSTANCE, context.instance.encode()))
    time_left_ms = max(1, int(context.time_left_s * 1000))
    headers.append((names.DEADLINE, str(time_left_ms).encode()))
    if context.account is not None:
        headers.append((names.ACCOUNT, context.account.encode()))
    if context.priority is not None:
        headers.append((names.PRIORITY, str(context.priority).encode()))
    if context.last_event_id is not None:
        headers.append((names.LAST_EVENT_ID, context.last_event_id.encode()))
    if request.body or request.method not in ("GET", "HEAD"):
        headers.append((b"content-length", str(len(request.body)).encode()))
    return headers


def decode_answer(head: ResponseHead) -> ResponseInfo:
    """Decode the headers of an endpoint's answer; malformed ones count as absent."""
    # Status 421 guarantees that the request did not run, also without the header.
    refused = head.get(names.NOT_RUN) is not None or head.status == 421
    attempt = _parse_text(head.get(names.ATTEMPT))
    connection = (head.get(b"connection") or b"").lower()
    return ResponseInfo(
        AttemptId(attempt) if attempt is not None else None,
        head.get(names.SIGNATURE) is not None,
        refused,
        _parse_load(head.get(names.LOAD)),
        _parse_keep_alive_s(head.get(b"keep-alive")),
        b"close" in connection,
        tuple(
            value.decode("latin-1")
            for key, value in head.headers
            if key == names.REQUEST_LIMIT
        ),
        (head.get(names.LEAVING) or b"").strip() == b"1",
        _parse_text(head.get(b"retry-after")) if head.status == 503 else None,
    )


def drop_hop_by_hop_headers(head: ResponseHead) -> Headers:
    """Return an answer's headers without the hop-by-hop headers."""
    return [(k, v) for k, v in head.headers if k not in names.HOP_BY_HOP_HEADERS]


def _parse_text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _parse_attempt(value: bytes | None) -> AttemptId | None:
    text = (_parse_text(value) or "").strip()
    return AttemptId(text) if text else None


def _parse_number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _parse_api_key(value: bytes | None) -> str | None:
    scheme, _, key = (_parse_text(value) or "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


def _parse_prompt(request: Request) -> Prompt | None:
    token_counts = _parse_text(request.get(names.PROMPT_TOKENS))
    if token_counts is None:
        return None
    first, _, second = token_counts.partition(",")
    input_tokens = parse_bounded_count(first, MAX_TOKENS)
    output_tokens = parse_bounded_count(second or "0", MAX_TOKENS)
    parts = _parse_prompt_parts(_parse_text(request.get(names.PROMPT_PARTS)) or "")
    if input_tokens is None or output_tokens is None or parts is None:
        return None
    return Prompt(input_tokens, output_tokens, parts)


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...] | None:
    parts = []
    for item in text.split(","):
        part, _, count = item.strip().partition(":")
        if part:
            tokens = parse_bounded_count(count, MAX_TOKENS)
            if tokens is None:
                return None
            # Ids are hexadecimal numbers, so their case has no meaning.
            parts.append(PromptPart(PartId(part.lower()), tokens))
    return tuple(parts)


def _parse_load(value: bytes | None) -> Load | None:
    numbers = (value or b"").split(b",")
    counts = [parse_bounded_count(number, MAX_REQUESTS) for number in numbers]
    match counts:
        case [int(running), int(waiting), int(slots)]:
            return Load(running, waiting, slots)
        case [int(running), int(waiting), int(slots), int(percent)] if percent > 0:
            return Load(running, waiting, slots, percent / 100)
        case _:
            return None


def _parse_keep_alive_s(value: bytes | None) -> float | None:
    for item in (value or b"").split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _parse_number(number)
    return None
