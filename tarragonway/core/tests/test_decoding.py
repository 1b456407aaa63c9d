"""Decoding of any bytes ends with a value or with one error, whatever the stack."""

import contextlib
import json
import time

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.core.decoding import (
    MAX_DEPTH,
    UndecodableError,
    decode_bytes,
    decode_json,
    decode_stored,
    drop_deep_values,
    is_too_deep,
)
from tarragonway.core.errors import CorruptDataError

# Frames that leave a decoder less of the stack than nested values need.
DEEP_CALL_FRAMES = 700

_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
)


def _call_at_depth(frames: int, action):  # type: ignore[no-untyped-def]
    return action() if frames == 0 else _call_at_depth(frames - 1, action)


@settings(deadline=None)
@given(st.binary() | st.text(alphabet='[]{}":,\\1e-', max_size=200).map(str.encode))
def test_any_bytes_decode_or_raise_the_one_error(data: bytes) -> None:
    for decode in (decode_json, decode_bytes):
        with contextlib.suppress(UndecodableError):
            decode(msgspec.json.Decoder(), data)


@settings(deadline=None)
@given(_VALUES, st.sampled_from(["[%s]", '{"]": %s}', '[["[\\""], %s]']))
def test_depth_is_that_of_the_value_and_not_of_its_strings(
    value: object, around: str
) -> None:
    def measure(value: object) -> int:
        if isinstance(value, dict):
            value = list(value.values())
        if isinstance(value, list):
            return 1 + max(map(measure, value), default=0)
        return 0

    text = json.dumps(value)
    for _ in range(MAX_DEPTH - 2):
        text = around % text
    expected = measure(json.loads(text)) > MAX_DEPTH
    assert is_too_deep(text.encode()) is expected


@pytest.mark.parametrize("opening", [b"[", b'{"a":'])
def test_verdict_on_nested_text_does_not_depend_on_the_stack(opening: bytes) -> None:
    closing = b"]" if opening == b"[" else b"}"
    decoder = msgspec.json.Decoder()
    for depth in (1, MAX_DEPTH, MAX_DEPTH + 1, 900, 1100, 100_000):
        text = opening * depth + b"1" + closing * depth

        def decode(text: bytes = text) -> bool:
            try:
                decode_json(decoder, text)
            except UndecodableError:
                return False
            return True

        expected = depth <= MAX_DEPTH
        assert decode() is expected
        assert _call_at_depth(DEEP_CALL_FRAMES, decode) is expected


@settings(deadline=None)
@given(_VALUES, st.sampled_from([0, 1, MAX_DEPTH - 3, MAX_DEPTH, 900, 20_000]))
def test_stored_text_stays_readable_but_for_values_beyond_the_bound(
    value: object, depth: int
) -> None:
    odd = b'[{"\\"]":' * depth + b"1" + b"}]" * depth
    text = b'{"odd": ' + odd + b', "known": ' + json.dumps(value).encode() + b"}"
    read = decode_json(msgspec.json.Decoder(), drop_deep_values(text))
    assert read["known"] == msgspec.json.decode(json.dumps(value))
    if depth <= 1:
        assert drop_deep_values(text) == text


@pytest.mark.parametrize(
    "text", [b'"' + b'\\"' * 500_000, b'[{"' * 300_000, b'"' * 999_999, b"]" * 999_999]
)
def test_time_to_judge_a_text_grows_with_its_length_only(text: bytes) -> None:
    began = time.process_time()
    is_too_deep(text)
    drop_deep_values(text)
    assert time.process_time() - began < 5.0


# Guards against a process that goes on with a state that it could not read.
@pytest.mark.parametrize("data", [b"\xc1", b"\x91" * 5000, b"", b"\xa1\xff"])
def test_stored_bytes_that_cannot_be_decoded_are_corrupt(data):
    with pytest.raises(CorruptDataError, match="a log entry cannot be decoded"):
        decode_stored(msgspec.msgpack.Decoder(), data, "a log entry")
