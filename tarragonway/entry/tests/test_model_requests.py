from types import SimpleNamespace

import msgspec
import pytest
from aiohttp import web

from tarragonway.control.admin import ControlAdmin
from tarragonway.core.decoding import MAX_DEPTH
from tarragonway.core.ids import OwnerEpoch
from tarragonway.core.outcomes import Refusal, RefusalReason
from tarragonway.entry.crashes import list_shared_messages
from tarragonway.entry.model_requests import ModelRequestHandler, _decode_chat
from tarragonway.requests.model import RequestRecord

MESSAGES = (
    b'"messages": [{"role": "user", "content": "a"}, {"role": "user", "content": "b"}]'
)


def make_body(depth, fields=b'"model": "m", ' + MESSAGES):
    deep = b"[" * (depth - 1) + b"]" * (depth - 1)
    return b"{" + fields + b', "x": ' + deep + b"}"


ODD_BODIES = [
    make_body(MAX_DEPTH + 1),
    make_body(5000),
    b"[" * 5000,
    b'{"model": ' + b"[" * 5000,
    b'{"messages": [' * 3000,
    b'{"model": "\xff"}',
    b"\xff\xfe",
    b"",
]


# Guards against a body that gets status 500, or a cut connection, where 400 is due.
@pytest.mark.parametrize("body", ODD_BODIES)
def test_body_that_cannot_be_read_is_refused(body):
    refusal = _decode_chat(body)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is RefusalReason.BAD_REQUEST


@pytest.mark.parametrize("body", ODD_BODIES)
def test_crash_report_of_any_body_lists_its_messages(body):
    expected = 1 if MESSAGES in body else 0
    assert len(list_shared_messages(body)) == expected


# Guards against an adopted request that ends without an answer.
@pytest.mark.parametrize(("body", "runs"), [(make_body(900), True), (b"[", False)])
async def test_adopted_body_runs_or_fails_with_its_reason(body, runs):
    ran = []

    async def run(live, demand, kv):
        ran.append(live)

    handler = SimpleNamespace(_runner=SimpleNamespace(run=run), _deadline_s=1.0)
    record = RequestRecord("r1", "acct", "s", "f", 0, body, "e", OwnerEpoch(1))
    live = SimpleNamespace(record=record, finish=lambda *end: ended.append(end))
    ended = []
    result = await ModelRequestHandler._run_adopted(handler, live, "")
    assert (bool(ran), bool(ended), result is None) == (runs, not runs, runs)


# Guards against an operator's call that gets status 500 where 400 is due.
@pytest.mark.parametrize("body", ODD_BODIES)
async def test_operators_body_that_cannot_be_read_is_refused(body, monkeypatch):
    monkeypatch.setattr(
        "tarragonway.control.admin.check_operator", lambda request, cluster: "op"
    )
    admin = ControlAdmin(SimpleNamespace(cluster=None), None, None, None)

    async def read():
        return body

    for handle in (admin._post_lists, admin._post_drain):
        response = await handle(SimpleNamespace(read=read))
        assert isinstance(response, web.Response)
        assert response.status == 400
        assert msgspec.json.decode(response.body)["problem"]
