import msgspec

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
