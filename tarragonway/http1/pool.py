"""Pool of persistent connections to endpoints, each used by one request at a time."""

import asyncio
from collections.abc import Collection

from tarragonway.core.addresses import parse_address
from tarragonway.core.counters import Counters
from tarragonway.http1.client import EndpointConnection

CONNECT_TIMEOUT_S = 0.5
# Fraction of the endpoint's idle timeout for which a connection is reused, so that the
# endpoint does not close it while a request is being sent.
IDLE_LIMIT_FRACTION = 0.6


class ConnectFailed(Exception):  # noqa: N818
    """No connection could be opened, so nothing was sent."""


class ConnectionPool:
    """Idle connections and the number of connections in use, by endpoint.

    Parameters
    ----------
    counters : Counters, optional
        Receives ``connection.opened`` and ``connection.reused``.

    Examples
    --------
    >>> ConnectionPool().count_used("e1")
    0
    """

    def __init__(self, counters: Counters | None = None) -> None:
        self._counters = counters or Counters()
        self._idle: dict[str, list[EndpointConnection]] = {}
        self._used: dict[str, int] = {}

    def count_used(self, key: str) -> int:
        """Return the number of connections to an endpoint that carry a request."""
        return self._used.get(key, 0)

    def list_idle(self, max_idle_s: float) -> list[str]:
        """Return the endpoints with a reusable idle connection, longest idle first.

        Parameters
        ----------
        max_idle_s : float
            Longest idle time, in seconds, after which a connection may be reused.
        """
        now = asyncio.get_running_loop().time()
        idle = []
        for key, connections in self._idle.items():
            if connections:
                latest = connections[-1]
                limit_s = min(max_idle_s, compute_idle_limit(latest.idle_limit_s))
                if latest.is_open and now - latest.idle_since < limit_s:
                    idle.append((latest.idle_since, key))
        return [key for _, key in sorted(idle)]

    async def acquire(
        self, key: str, address: str, max_idle_s: float
    ) -> EndpointConnection:
        """Return an idle connection, or open one.

        Parameters
        ----------
        key : str
            Incarnation of the endpoint.
        address : str
            Address of the endpoint as ``IP:port``.
        max_idle_s : float
            Longest idle time, in seconds, after which a connection may be reused.

        Raises
        ------
        ConnectFailed
            If no connection can be opened in time, for whatever reason.
        """
        idle_connection = self._find_idle(key, max_idle_s)
        if idle_connection is not None:
            self._used[key] = self._used.get(key, 0) + 1
            self._counters.increment("connection.reused")
            return idle_connection
        self._used[key] = self._used.get(key, 0) + 1
        try:
            return await self._open(address)
        except BaseException:
            self._decrement_used(key)
            raise

    def release(self, key: str, connection: EndpointConnection) -> None:
        """Keep the connection for reuse if possible, otherwise reset it."""
        self._decrement_used(key)
        if connection.is_reusable and connection.idle_limit_s > 0:
            connection.mark_idle(asyncio.get_running_loop().time())
            self._idle.setdefault(key, []).append(connection)
        else:
            connection.abort()

    def prune(self, known: Collection[str]) -> None:
        """Close connections that were idle too long or whose endpoint is not known.

        Parameters
        ----------
        known : collection of str
            Incarnations of the listed endpoints.
        """
        for key in list(self._idle):
            limit_s = float("inf") if key in known else 0.0
            self._idle[key] = [c for c in self._idle[key] if self._is_fresh(c, limit_s)]
            if not self._idle[key]:
                del self._idle[key]

    def _find_idle(self, key: str, max_idle_s: float) -> EndpointConnection | None:
        idle = self._idle.get(key, [])
        while idle and max_idle_s > 0:
            connection = idle.pop()
            if self._is_fresh(connection, max_idle_s):
                return connection
        return None

    def _is_fresh(self, connection: EndpointConnection, max_idle_s: float) -> bool:
        """Return whether an idle connection may be reused; close it if not."""
        idle_s = asyncio.get_running_loop().time() - connection.idle_since
        limit_s = min(max_idle_s, compute_idle_limit(connection.idle_limit_s))
        if connection.is_open and idle_s < limit_s:
            return True
        connection.close()
        return False

    async def _open(self, address: str) -> EndpointConnection:
        loop = asyncio.get_running_loop()
        connection = EndpointConnection()
        try:
            host, port = parse_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: connection, host, port)
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            connection.abort()
            raise ConnectFailed(repr(error)) from error
        self._counters.increment("connection.opened")
        return connection

    def _decrement_used(self, key: str) -> None:
        left = self._used.get(key, 1) - 1
        if left:
            self._used[key] = left
        else:
            self._used.pop(key, None)


def compute_idle_limit(timeout_s: float) -> float:
    """Return for how long a connection is reused, by the endpoint's idle timeout.

    Examples
    --------
    >>> compute_idle_limit(5.0)
    3.0
    """
    return timeout_s * IDLE_LIMIT_FRACTION
