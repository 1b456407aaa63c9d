import json
import time

import h11
import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tarragonway.core.addresses import check_endpoint_address
from tarragonway.links.link import encode_message
from tarragonway.links.messages import EndpointUpdate, LinkMessage
from tarragonway.platform.listing import PageError, decode_page

ROW = {
    "id": "i-1",
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "born": 5,
}


def test_restart_under_the_same_id_is_another_incarnation():
    page = {"instances": [ROW, {**ROW, "born": 6}], "next": None}
    first, second = decode_page(msgspec.json.encode(page)).rows
    assert first.platform_id == second.platform_id
    assert first.key != second.key


def test_entries_that_cannot_be_used_do_not_hide_the_others():
    odd = [
        {**ROW, "state": "odd"},
        {**ROW, "address": 7},
        {"id": "i-2"},
        "text",
        {**ROW, "address": "nowhere"},
    ]
    page = decode_page(msgspec.json.encode({"instances": [*odd, ROW], "next": "p"}))
    assert [row.platform_id for row in page.rows] == ["i-1"]
    assert (page.unusable, page.next) == (5, "p")


def test_reclaimed_endpoint_counts_as_leaving():
    rows = [{**ROW, "spot": True, "leaves_ms": 2500, "state": "draining"}]
    (row,) = decode_page(msgspec.json.encode({"instances": rows})).rows
    assert row.leaving
    assert row.reclaimable
    assert row.leaves_s == 2


def test_malformed_page_is_an_error():
    assert isinstance(decode_page(b"{"), PageError)


# Guards against streams that go on at another version, because a row's version is lost.
def test_version_of_the_software_is_decoded():
    versions = ["v1.2", "", "v" * 99 + "a", "v" * 99 + "b"]
    entries = [{**ROW, "version": version} for version in versions]
    page = decode_page(msgspec.json.encode({"instances": [*entries, ROW]}))
    decoded = [row.version for row in page.rows]
    assert decoded[:2] == ["v1.2", ""]
    assert decoded[2] != decoded[3]
    assert max(map(len, decoded)) == 64
    assert decoded[4] == ""


def test_row_whose_version_is_no_text_is_unusable():
    entries = [{**ROW, "version": 7}, {**ROW, "version": None}, ROW]
    page = decode_page(msgspec.json.encode({"instances": entries}))
    assert (len(page.rows), page.unusable) == (1, 2)


# Guards against one entry that is no JSON and hides the sound ones, so that endpoints
# that leave keep their requests.
@pytest.mark.parametrize(
    "broken",
    [
        b"\xff\xfe\x00garbage",
        b'{"id":"i-9","service":',
        b'{"id":"i-9\xff","models":[{"name":"m"},{]}',
        b"{{{{",
        b'{"id":"i-9"}}',
        b"nonsense",
    ],
)
@pytest.mark.parametrize("position", [0, 1, 2])
def test_entry_that_is_no_json_does_not_hide_the_others(broken, position):
    sound = [msgspec.json.encode({**ROW, "id": f"i-{n}"}) for n in (1, 2)]
    entries = [*sound[:position], broken, *sound[position:]]
    page = decode_page(b'{"instances":[%s],"next":"p"}' % b",".join(entries))
    assert [row.platform_id for row in page.rows] == ["i-1", "i-2"]
    assert page.unusable >= 1
    assert page.next == "p"


def test_page_without_a_readable_end_is_an_error():
    cut = msgspec.json.encode({"instances": [ROW, ROW], "next": None})[:-9]
    assert isinstance(decode_page(cut), PageError)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
deep_values = st.builds(
    lambda opening, depth, closing: opening * depth + closing * depth,
    st.sampled_from([b"[", b'{"a":', b'[{"instances":[', b"{"]),
    st.integers(1, 5000),
    st.sampled_from([b"", b"]", b"}", b"}]"]),
)
odd_values = st.one_of(
    st.binary(max_size=40),
    deep_values,
    st.builds(lambda value: json.dumps(value).encode(), json_values),
    st.integers(1, 6000).map(lambda digits: b"9" * digits),
    st.sampled_from([b"1e400", b'"', b'"\\', b'"\\ud800"', b"],", b"}]", b'],"next":']),
)
odd_entries = st.one_of(
    odd_values,
    st.builds(
        lambda name, value: (
            msgspec.json.encode(ROW)[:-1] + b',"%s":%s}' % (name.encode(), value)
        ),
        st.sampled_from(["id", "service", "address", "born", "slots", "x"]),
        odd_values,
    ),
)


# Guards against an odd entry that raises an error which no reader of the list expects
# and so ends their processes, or that hides sound entries, so that a change of the list
# is never followed.
@settings(deadline=None, max_examples=300)
@given(odd_entries, odd_entries, st.integers(0, 3), st.booleans())
@example(b'{"x":' + b"[" * 5000 + b"]" * 5000 + b"}", b"{}", 1, False)
@example(b'{"x":' + b"[" * 5000, b'{"id":"i-9', 1, True)
def test_no_entry_of_any_bytes_hides_the_others(odd, other, position, next_first):
    sound = [msgspec.json.encode({**ROW, "id": f"i-{n}"}) for n in (1, 2, 3)]
    entries = [*sound[:position], odd, *sound[position:], other]
    listed = b'"instances":[%s]' % b", ".join(entries)
    parts = [b'"next":"p"', listed] if next_first else [listed, b'"next":"p"']
    page = decode_page(b"{%s}" % b",".join(parts))
    assert page.next == "p"
    assert {"i-1", "i-2", "i-3"} <= {row.platform_id for row in page.rows}


@pytest.mark.parametrize(
    "part", [b",{", b'{"a":', b'{"a":"', b',{"a":"\\', b'],"next":"', b", ", b"[", b'"']
)
# Guards against a page that keeps a process busy for a time that grows with the square
# of its length, while its requests wait.
def test_broken_page_is_read_in_linear_time(part):
    durations_s = []
    for length in (100_000, 800_000):
        body = b'{"instances":[%s],"next":null}' % (part * (length // len(part)))
        started = time.process_time()
        decode_page(body)
        durations_s.append(time.process_time() - started)
    assert durations_s[1] < 8 * 3 * max(durations_s[0], 0.01)


odd_fields = st.one_of(
    st.text(),
    json_values,
    st.integers(0, 400).map(lambda digits: int("9" * digits or "0")),
    st.sampled_from(
        [
            "10.0.0.9:70000",
            "10.0.0.9:" + "9" * 5000,
            "10.0.0.9:8²",
            "10.0.0.9\0:80",
            "é" * 300 + ":80",
            "10.0.0.9:0",
            "0.0.0.0:80",
            "255.255.255.255:80",
            "i-1\r\nx: y",
            "i" * 5000,
            -1,
            2**64,
            1e308,
        ]
    ),
)


# Guards against rows that raise errors where they are used: an address that cannot be
# called, an id that is no header value, numbers that cannot be sent to the gateways.
@settings(deadline=None, max_examples=300)
@given(st.dictionaries(st.sampled_from([*ROW, "version", "leaves_ms"]), odd_fields))
@example({"address": "10.0.0.9:70000"})
@example({"address": "10.0.0.9:8²"})
@example({"id": "i-1\r\nx: y"})
def test_row_of_any_entry_can_be_sent_and_called(changes):
    body = json.dumps({"instances": [{**ROW, **changes}, ROW], "next": None})
    page = decode_page(body.encode())
    assert page.rows and len(page.rows) + page.unusable == 2
    for row in page.rows:
        assert check_endpoint_address(row.address)
        h11.Request(
            method="GET", target="/", headers=[("host", "h"), ("i", row.platform_id)]
        )
    frame = encode_message(EndpointUpdate(1, 1, True, page.rows, ()))
    assert len(frame) < 5000
    decoded = msgspec.msgpack.decode(frame[4:], type=LinkMessage)
    assert decoded.rows == page.rows


# Guards against a leader of another version that sends what this one would not list.
def test_row_that_cannot_be_called_is_no_message():
    (row,) = decode_page(msgspec.json.encode({"instances": [ROW]})).rows
    frame = encode_message(EndpointUpdate(1, 1, True, (row,), ()))
    wrong = frame[4:].replace(b"10.0.0.9:80", b"10.0.0.9:8x")
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(wrong, type=LinkMessage)
