"""HTTP/1.1 clients and servers that track the exact state of each connection."""

from tarragonway.http1.call import Call, CallClient, CallFailed, CallResponse
from tarragonway.http1.client import ConnectionEnded, EndpointConnection, ResponseHead
from tarragonway.http1.opening import open_connection
from tarragonway.http1.pool import ConnectFailed, ConnectionPool
from tarragonway.http1.response import Request, ResponseWriter
from tarragonway.http1.server import HttpServer

__all__ = [
    "Call",
    "CallClient",
    "CallFailed",
    "CallResponse",
    "ConnectFailed",
    "ConnectionEnded",
    "ConnectionPool",
    "EndpointConnection",
    "HttpServer",
    "Request",
    "ResponseHead",
    "ResponseWriter",
    "open_connection",
]
