import asyncio
import ipaddress

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tarragonway.core.addresses import AddressError, parse_address
from tarragonway.http1 import ConnectFailed, ConnectionPool

hosts = st.one_of(
    st.text(max_size=20),
    st.just("127.0.0.1"),
    st.lists(st.integers(0, 300).map(str), min_size=3, max_size=5).map(".".join),
)
ports = st.one_of(
    st.text(max_size=6),
    st.integers(-1, 70_000).map(str),
    st.text(st.characters(categories=["Nd", "No"]), min_size=1, max_size=5),
)


# Guards against an address for which opening a connection raises an error that no
# caller of the pool expects, so that a request ends without an answer.
@settings(deadline=None, max_examples=300)
@given(st.builds("{}:{}".format, hosts, ports) | st.text())
@example("127.0.0.1:70000")
@example("127.0.0.1:" + "9" * 5000)
@example("127.0.0.1:8²")
@example("127.0.0.1:٨٠٨٠")
@example("127.0.0.1\x00:80")
@example("é" * 300 + ":80")
@example("127.0.0.1:0")
@example("127.0.0.1:80\n")
def test_address_is_usable_or_the_connection_fails_as_declared(text):
    pool = ConnectionPool()
    try:
        host, port = parse_address(text)
    except AddressError:
        with pytest.raises(ConnectFailed):
            asyncio.run(pool.acquire("e", text, 1.0))
        assert not pool.count_used("e")
    else:
        assert f"{ipaddress.IPv4Address(host)}:{port}" == text
        assert 1 <= port <= 65535
