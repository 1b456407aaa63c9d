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


async def open_idle(pool, keys, timeout_s):
    """Open a connection to each endpoint, exchange nothing and keep it as idle."""
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    for key in keys:
        connection = await pool.acquire(key, f"127.0.0.1:{port}", 60.0)
        connection.idle_limit_s = timeout_s
        pool._decrement_used(key)
        connection.mark_idle(asyncio.get_running_loop().time())
        pool._idle.setdefault(key, []).append(connection)
        await asyncio.sleep(0.01)
    return server


# Guards against connections that end unused, as the latest ones are used again first.
async def test_longest_idle_connections_are_listed_first():
    pool = ConnectionPool()
    server = await open_idle(pool, ["e2", "e3", "e1"], 5.0)
    assert pool.list_idle(60.0) == ["e2", "e3", "e1"]
    await pool.acquire("e3", "127.0.0.1:1", 60.0)
    assert pool.list_idle(60.0) == ["e2", "e1"]
    server.close()


# Guards against requests on connections that the endpoint is about to close.
async def test_connections_are_not_listed_shortly_before_the_endpoint_closes_them():
    pool = ConnectionPool()
    server = await open_idle(pool, ["e1"], 0.2)
    assert pool.list_idle(60.0) == ["e1"]
    assert pool.list_idle(0.0) == []
    await asyncio.sleep(0.13)
    assert pool.list_idle(60.0) == []
    server.close()
