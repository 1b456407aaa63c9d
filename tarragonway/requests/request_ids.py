"""Ids of accepted requests, which contain the names of the processes that hold them."""

import secrets

from tarragonway.core.ids import ProcessName, RequestId

_SEPARATOR = "_"


def make_request_id(owner: ProcessName, peers: list[ProcessName]) -> RequestId:
    """Return a new id, with the names of the owner and its peers."""
    return RequestId(_SEPARATOR.join([secrets.token_hex(8), owner, *peers]))


def list_holders(request: RequestId) -> list[ProcessName]:
    """Return the first owner and its peers, as named in a request's id.

    Examples
    --------
    >>> list_holders(RequestId("ab12_entry-1_entry-4"))
    ['entry-1', 'entry-4']
    """
    return [ProcessName(name) for name in request.split(_SEPARATOR)[1:] if name]
