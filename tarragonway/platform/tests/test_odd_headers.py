"""Headers of callers and endpoints hold any bytes; decoding them never raises."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.core.ids import AccountId
from tarragonway.core.numbers import parse_bounded_number
from tarragonway.exchange import ForwardContext
from tarragonway.http1 import Request, ResponseHead
from tarragonway.limits.request_limits import UnreadableLimit, parse_limit
from tarragonway.platform import names, requests
from tarragonway.routing.notices import MAX_PAUSE_S

KNOWN = sorted(
    {value for value in vars(names).values() if isinstance(value, bytes)}
    | {b"host", b"authorization", b"connection", b"keep-alive", b"retry-after"}
)
DIGITS = b"9" * 5000
NUMBERS = [
    b"",
    b" ",
    b"0",
    b"-1",
    b"nan",
    b"inf",
    b"-inf",
    b"1e400",
    b"1e308",
    b"-1e308",
    b"8\xb2",
    b"1_0",
    b"0x7",
    b"\xff\xfe",
    b"\0",
    DIGITS,
    b"-" + DIGITS,
    b"0." + DIGITS,
    b"9" * 309,
]
VALUES = st.one_of(
    st.sampled_from(NUMBERS),
    st.lists(st.sampled_from(NUMBERS), max_size=4).map(b",".join),
    st.lists(st.sampled_from(NUMBERS), max_size=4).map(b":".join),
    st.sampled_from(NUMBERS).map(lambda number: b"timeout=" + number),
    st.sampled_from(NUMBERS).map(lambda number: b"Bearer " + number),
    st.binary(max_size=12),
)
HEADERS = st.lists(st.tuples(st.sampled_from(KNOWN), VALUES), max_size=8)


# Guards against a header that raises in a request's handler, which answers nothing, or
# that puts a number into use with which later layers cannot compute.
@settings(max_examples=400, deadline=None)
@given(HEADERS)
def test_headers_of_a_request_are_decoded(headers):
    request = Request("POST", "/a/b", headers, b"{}", 0.0)
    facts = requests.decode_request(request)
    assert facts.timeout_s is None or math.isfinite(facts.timeout_s)
    prompt = facts.prompt
    if prompt is not None:
        assert 0 <= prompt.tokens < 10**16
        assert 0 <= prompt.shared_tokens < 10**16
        assert prompt.affinity_key is None or isinstance(prompt.affinity_key, str)
    time_left_s = 1.0 if facts.timeout_s is None else facts.timeout_s
    context = ForwardContext(
        "i-1", time_left_s, AccountId("acct"), 3, facts.last_event_id, True
    )
    for _, value in requests.encode_headers(request, context):
        assert isinstance(value, bytes)


@settings(max_examples=400, deadline=None)
@given(st.sampled_from([200, 421, 429, 503]), HEADERS)
def test_headers_of_an_answer_are_decoded(status, headers):
    facts = requests.decode_answer(ResponseHead(status, headers))
    if facts.load is not None:
        assert all(0 <= n < 10**16 for n in (facts.load.running, facts.load.slots))
    idle_s = facts.keep_alive_s
    assert idle_s is None or math.isfinite(idle_s)
    limit = parse_limit(facts.limits)
    if not (limit is None or isinstance(limit, UnreadableLimit)):
        assert math.isfinite(limit)
        assert limit >= 0
    if facts.pause_text is not None:
        pause_s = parse_bounded_number(facts.pause_text, MAX_PAUSE_S)
        assert pause_s is None or 0 <= pause_s <= MAX_PAUSE_S
