import pytest

from tarragonway.platform.rollouts import CALLS, decode_order
from tarragonway.rollouts import InvalidOrderError, RolloutOrder


def make_body(service='"s"', to='"v2"', deadline_s="12"):
    return f'{{"service": {service}, "to": {to}, "deadline_s": {deadline_s}}}'.encode()


# Guards against a rejection that does not tell the operator what to change, and against
# odd input that ends the process.
@pytest.mark.parametrize(
    ("body", "field"),
    [
        (b"", "body"),
        (b"7", "body"),
        (b"[]", "body"),
        (b"null", "body"),
        (b'{"service": "s", "to"', "body"),
        (b"\xff\xfe", "body"),
        (b"[" * 5000, "body"),
        (b'{"a":' * 5000, "body"),
        (b" " * 70_000 + make_body(), "body"),
        (make_body(deadline_s="NaN"), "deadline_s"),
        (make_body(deadline_s="Infinity"), "deadline_s"),
        (make_body(deadline_s="9" * 5000), "deadline_s"),
        (make_body(deadline_s="-" + "9" * 5000), "deadline_s"),
        (make_body(deadline_s="1e999"), "deadline_s"),
        (make_body(deadline_s="1e-999"), "deadline_s"),
        (make_body(deadline_s="0"), "deadline_s"),
        (make_body(deadline_s="-0.5"), "deadline_s"),
        (make_body(deadline_s='"12"'), "deadline_s"),
        (make_body(deadline_s="true"), "deadline_s"),
        (make_body(deadline_s="null"), "deadline_s"),
        (make_body(deadline_s="[" * 60 + "]" * 60), "deadline_s"),
        (b'{"service": "s", "to": "v2"}', "deadline_s"),
        (b'{"service": "s", "deadline_s": 12}', "to"),
        (make_body(to='""'), "to"),
        (make_body(to="7"), "to"),
        (make_body(to="null"), "to"),
        (make_body(to='"' + "v" * 65 + '"'), "to"),
        (b'{"to": "v2", "deadline_s": 12}', "service"),
        (make_body(service="{}"), "service"),
        (make_body(service='""'), "service"),
    ],
    ids=lambda value: value if isinstance(value, str) else repr(value[:30]),
)
def test_invalid_order_names_the_field_and_the_remedy(body, field):
    with pytest.raises(InvalidOrderError) as raised:
        decode_order(body)
    assert field in str(raised.value)
    assert any(word in str(raised.value) for word in ("give", "send"))


def test_order_is_decoded():
    assert decode_order(make_body()) == RolloutOrder("s", "v2", 12.0)
    assert decode_order(make_body(to='"' + "é" * 64 + '"')).version == "é" * 64


# Guards against a deadline that messages and the log cannot hold.
def test_very_long_deadline_is_bounded():
    assert decode_order(make_body(deadline_s="1e300")).deadline_s == 1e9


# Guards against a service whose name needs encoding in a path, and odd encodings.
@pytest.mark.parametrize(
    ("path", "service"),
    [
        ("/v1/Rollouts.Read/s", "s"),
        ("/v1/Rollouts.Read/a%20b%2Fc", "a b/c"),
        ("/v1/Rollouts.Read/%C3%A9", "é"),
        ("/v1/Rollouts.Read/%ff%zz%", "\ufffd%zz%"),
        ("/v1/Rollouts.Read/", ""),
        ("/v1/Rollouts.Read", None),
        ("/v1/Config.Read", None),
    ],
)
def test_service_of_a_read_call(path, service):
    assert CALLS.decode_read_target(path) == service
