"""Stand-in for a plain service that appends every request it receives to a file."""

import argparse
import asyncio
import hashlib
import json
import os
import pathlib

from aiohttp import web


class Service:
    """One replica of the plain service."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        self.leaving = False
        self.arrivals_file = open(arguments.arrivals, "a", encoding="utf-8")  # noqa: SIM115

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/test/leave", self.leave)
        app.router.add_route("*", "/{path:.*}", self.handle)
        return app

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Record the request, then answer it.

        In a JSON object as the body, ``delay_s`` delays the answer by that many
        seconds, and ``drop`` closes the connection without an answer.
        """
        if self.leaving:
            headers = {"X-Endpoint-State": "leaving"}
            return web.Response(status=503, headers=headers, text="leaving")
        body = await request.read()
        self.record(request, body)
        options = json.loads(body) if body.startswith(b"{") else {}
        await asyncio.sleep(float(options.get("delay_s", 0)))
        if options.get("drop"):
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        receipt = hashlib.sha256(body).hexdigest()[:12]
        return web.json_response({"receipt": receipt, "path": request.path})

    def record(self, request: web.Request, body: bytes) -> None:
        """Append the request to the arrivals file, before it is answered."""
        line = {
            "key": request.headers.get("Idempotency-Key", ""),
            "method": request.method,
            "path": request.path,
            "body": body.decode(errors="replace"),
        }
        self.arrivals_file.write(json.dumps(line) + "\n")
        self.arrivals_file.flush()

    async def leave(self, request: web.Request) -> web.Response:
        """Refuse new requests from now on, and exit after the notice period."""
        notice_s = float((await request.json())["notice_s"])
        self.leaving = True
        asyncio.get_running_loop().call_later(notice_s, os._exit, 0)
        return web.json_response({})


def read_arrivals(folder: pathlib.Path) -> list[dict]:
    """Return the requests recorded by all replicas whose files are in a folder."""
    arrivals = []
    for path in sorted(folder.glob("arrivals-*.jsonl")):
        arrivals += [json.loads(line) for line in path.read_text().splitlines()]
    return arrivals


def main() -> None:
    """Run one replica."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--arrivals", required=True)
    service = Service(parser.parse_args())
    web.run_app(
        service.make_app(),
        host="127.0.0.1",
        port=service.arguments.port,
        print=None,
        access_log=None,
    )


if __name__ == "__main__":
    main()
