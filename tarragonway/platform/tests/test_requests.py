import pytest

from tarragonway.core.ids import AccountId
from tarragonway.exchange import ForwardContext, Load
from tarragonway.http1 import Request, ResponseHead
from tarragonway.platform import requests


def make_request(*headers, method="POST", body=b"{}"):
    return Request(method, "/a/b?c=d", [(b"host", b"H:80"), *headers], body, 0.0)


def test_request_is_decoded():
    request = make_request(
        (b"tarragonway-attempt-id", b"9c"),
        (b"tarragonway-deadline-ms", b"1500"),
        (b"tarragonway-token-usage", b"1460,80"),
        (b"tarragonway-prefix-hash", b"5c1e:800,91bd:410,e440:250"),
        (b"authorization", b"Bearer key"),
    )
    facts = requests.decode_request(request)
    assert (facts.host, facts.path, facts.attempt) == ("h", "/a/b", "9c")
    assert facts.timeout_s == 1.5
    assert facts.api_key == "key"
    assert facts.prompt.tokens == 1540
    assert (facts.prompt.affinity_key, facts.prompt.shared_tokens) == ("91bd", 1210)


def test_unreadable_headers_count_as_absent():
    request = make_request(
        (b"tarragonway-deadline-ms", b"soon"), (b"tarragonway-token-usage", b"many")
    )
    facts = requests.decode_request(request)
    assert facts.timeout_s is None
    assert facts.prompt is None
    assert facts.api_key is None


def test_internal_headers_of_callers_are_removed():
    forged = [
        (name, b"forged")
        for name in (
            b"tarragonway-tenant",
            b"tarragonway-expected-instance",
            b"tarragonway-request-priority",
            b"tarragonway-kv-hold",
            b"tarragonway-kv-backup",
            b"tarragonway-pin-ms",
            b"kv-from",
            b"kv-fetch",
        )
    ]
    hop = [(b"connection", b"x-own"), (b"x-own", b"1"), (b"transfer-encoding", b"x")]
    request = make_request(
        *forged, *hop, (b"authorization", b"Bearer key"), (b"x-else", b"2")
    )
    dispatch = ForwardContext("i-1", 0.75, AccountId("acct"), 3, "12", True)
    headers = requests.encode_headers(request, dispatch)
    assert b"forged" not in [value for _, value in headers]
    assert dict(headers) == {
        b"host": b"H:80",
        b"x-else": b"2",
        b"tarragonway-expected-instance": b"i-1",
        b"tarragonway-deadline-ms": b"750",
        b"tarragonway-tenant": b"acct",
        b"tarragonway-request-priority": b"3",
        b"last-event-id": b"12",
        b"content-length": b"2",
    }


def test_refusals_of_endpoints_are_recognized():
    shed = requests.decode_answer(
        ResponseHead(503, [(b"tarragonway-not-executed", b"1")])
    )
    moved = requests.decode_answer(ResponseHead(421, []))
    failed = requests.decode_answer(ResponseHead(503, []))
    assert (shed.refused, moved.refused, failed.refused) == (True, True, False)


def test_load_and_keep_alive_are_decoded():
    head = ResponseHead(
        200,
        [
            (b"tarragonway-server-load", b"3,1,8"),
            (b"keep-alive", b"timeout=7, max=9"),
            (b"connection", b"Close"),
        ],
    )
    facts = requests.decode_answer(head)
    assert facts.load == Load(3, 1, 8)
    assert facts.keep_alive_s == 7
    assert facts.closes_connection


@pytest.mark.parametrize("value", [b"nan", b"inf", b"-inf", b"1e999", b"x"])
def test_deadline_that_is_no_finite_number_counts_as_absent(value):
    request = make_request((b"tarragonway-deadline-ms", value))
    assert requests.decode_request(request).timeout_s is None
