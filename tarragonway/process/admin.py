"""Authentication of operators and JSON responses."""

import hmac
from typing import Any

import msgspec
from aiohttp import web

from tarragonway.core.hashes import hash_secret
from tarragonway.settings import ClusterSettings

_encoder = msgspec.json.Encoder()


def check_operator(request: web.Request, cluster: ClusterSettings) -> str:
    """Return the name of the operator whose key the request carries.

    Raises
    ------
    aiohttp.web.HTTPUnauthorized
        If the request carries no known operator key.
    """
    scheme, _, secret = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() == "bearer" and secret:
        digest = hash_secret(secret)
        for operator in cluster.operator:
            if hmac.compare_digest(operator.key_sha256, digest):
                return operator.name
    raise web.HTTPUnauthorized(
        text="a known operator key is required", headers={"WWW-Authenticate": "Bearer"}
    )


class RevisionBody(msgspec.Struct, frozen=True):
    """Answer to ``GET /admin/revision``."""

    revision: int


def make_json_response(content: Any, status: int = 200) -> web.Response:
    """Return a JSON response of any msgspec structure."""
    return web.Response(
        body=_encoder.encode(content), status=status, content_type="application/json"
    )
