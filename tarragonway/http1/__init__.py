"""HTTP/1.1 clients and servers that track the exact state of each connection."""

from tarragonway.http1.call import Call, CallAnswer, CallClient, CallFailed
from tarragonway.http1.client import AnswerHead, ConnectionEnded, EndpointConnection
from tarragonway.http1.pool import ConnectFailed, Pool
from tarragonway.http1.server import HttpServer, Reply, Request

__all__ = [
    "AnswerHead",
    "Call",
    "CallAnswer",
    "CallClient",
    "CallFailed",
    "ConnectFailed",
    "ConnectionEnded",
    "EndpointConnection",
    "HttpServer",
    "Pool",
    "Reply",
    "Request",
]
