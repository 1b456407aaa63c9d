"""Numbers without bounds in what callers, endpoints and the platform say."""

import msgspec
import pytest

from tarragonway.core.numbers import decode_integer, encode_integer
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import Load
from tarragonway.http1.client import ResponseHead
from tarragonway.http1.response import Request
from tarragonway.links.link import encode_message
from tarragonway.links.messages import (
    ConfigurationText,
    EndpointUpdate,
    LinkMessage,
    Status,
)
from tarragonway.platform import listing, names, requests

HUGE = [b"9" * 25, b"9" * 400, b"9" * 4000, b"-" + b"9" * 400]


def make_request(*headers):
    return Request("POST", "/", list(headers), b"", 0.0)


@pytest.mark.parametrize("number", HUGE)
# Guards against prompt sizes that overflow in the estimates of load and quota.
def test_prompt_sizes_are_bounded(number):
    request = make_request(
        (names.PROMPT_TOKENS, number + b"," + number),
        (names.PROMPT_PARTS, b"aa:" + number + b",bb:1"),
    )
    prompt = requests.decode_request(request).prompt
    assert 0 <= prompt.tokens <= 2 * 10**12
    assert 0.0 <= float(prompt.shared_tokens) * 0.01 < 1e12


@pytest.mark.parametrize("number", HUGE)
# Guards against loads that overflow in the choice of an endpoint.
def test_stated_loads_are_bounded(number):
    head = ResponseHead(200, [(names.LOAD, number + b",0," + number)])
    load = requests.decode_answer(head).load
    assert isinstance(load, Load)
    assert 0.0 <= (load.running + load.waiting) * 1.5 <= 1.5e9


@pytest.mark.parametrize("number", HUGE[:2])
# Guards against an entry of the list that cannot be sent to the gateways, and so ends
# the leader's process.
def test_listed_numbers_can_be_sent(number):
    entry = (
        b'{"id":"i","service":"s","address":"127.0.0.1:1","zone":"a","state":"ready",'
        b'"slots":%s,"leaves_ms":1%s,"cold_left_ms":1%s}'
        % (number, b"0" * 300, b"0" * 300)
    )
    page = listing.decode_page(b'{"instances":[%s]}' % entry)
    (row,) = page.rows
    assert isinstance(row, ListedEndpoint)
    encode_message(EndpointUpdate(1, 1, True, (row,), ()))


# Guards against a version of over 64 bits, which no coordinator could send or store.
def test_revisions_of_any_size_can_be_sent():
    decoder = msgspec.msgpack.Decoder(LinkMessage)
    for revision in (7, 20261205083000123456, 10**99):
        encoded = encode_integer(revision)
        for message in (
            ConfigurationText(encoded, b""),
            Status(1, "", False, (), encoded),
        ):
            frame = encode_message(message)
            assert decode_integer(decoder.decode(frame[4:]).revision) == revision


# Guards against losing the whole load of endpoints that report their slowdown too.
def test_fourth_figure_of_a_load_is_the_slowdown():
    head = ResponseHead(200, [(names.LOAD, b"5,1,64,250")])
    assert requests.decode_answer(head).load == Load(5, 1, 64, 2.5)


# Guards against an endpoint that attracts all requests by claiming that work takes no
# time, and against loads of which only a part could be read.
@pytest.mark.parametrize(
    "text", [b"5,1,64,", b"5,1,64,x", b"5,1,64,0", b"5,1,64,-3", b"5,1,64,100,7"]
)
def test_malformed_slowdown_makes_the_load_count_as_absent(text):
    head = ResponseHead(200, [(names.LOAD, text)])
    assert requests.decode_answer(head).load is None


def test_load_without_a_slowdown_has_none():
    head = ResponseHead(200, [(names.LOAD, b"5,1,64")])
    assert requests.decode_answer(head).load == Load(5, 1, 64)
