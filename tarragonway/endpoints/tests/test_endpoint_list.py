from msgspec.structs import replace

from tarragonway.endpoints.endpoint_list import EndpointView, ListedEndpoint

ROW = ListedEndpoint("e.1", "e", "s", "127.0.0.1:1", "a", 4, False)
LEAVING = replace(ROW, leaving=True)


# Guards against sends to an endpoint that has been leaving for an unknown time.
def test_time_of_leaving_is_known_only_if_the_change_was_seen():
    view = EndpointView()
    view.apply_full_list([LEAVING])
    assert not view.leaving_since
    other = replace(ROW, key="e.2")
    view.apply_delta([other], [])
    view.apply_delta([replace(other, leaving=True)], [])
    assert set(view.leaving_since) == {"e.2"}
    since = view.leaving_since["e.2"]
    view.apply_full_list([replace(other, leaving=True, leaves_s=1.0)])
    assert view.leaving_since == {"e.2": since}
    view.apply_full_list([])
    assert not view.leaving_since


# Guards against a change of the list at each read, which all gateways are sent.
def test_entry_that_repeats_a_key_is_no_change():
    view = EndpointView()
    rows = [ROW, replace(ROW, address="127.0.0.2:1")]
    assert view.apply_full_list(rows) == ([ROW], [])
    assert view.apply_full_list(rows) == ([], [])
