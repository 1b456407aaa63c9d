"""Stand-in for the cloud API: a delayed list of instances, and reclaim notices."""

import argparse
import asyncio
import contextlib
import json
import pathlib

import aiohttp
from aiohttp import web


class Cloud:
    """Instances of the cloud, and the IDs of those that are being reclaimed.

    Parameters
    ----------
    instances : list of dict
        Instances that run from the start.
    lag_s : float
        Seconds until a change shows in the published list.
    """

    def __init__(self, instances: list[dict], lag_s: float) -> None:
        self.instances = {item["id"]: item for item in instances}
        self.published = list(self.instances.values())
        self.leaving: list[str] = []
        self.lag_s = lag_s

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/instances", self.get_instances)
        app.router.add_get("/notices", self.get_notices)
        app.router.add_post("/test/reclaim", self.reclaim)
        app.router.add_post("/test/add", self.add)
        return app

    async def get_instances(self, request: web.Request) -> web.Response:
        """Return the published list, which lags behind changes."""
        return web.json_response({"instances": self.published})

    async def get_notices(self, request: web.Request) -> web.Response:
        """Return the IDs of the instances with a reclaim notice, without lag."""
        return web.json_response({"leaving": self.leaving})

    async def reclaim(self, request: web.Request) -> web.Response:
        """Announce the reclaim of a zone or of named instances.

        Each chosen instance receives the notice and exits when it ends. An instance
        that has already ended needs no notice.
        """
        body = await request.json()
        chosen = [
            item
            for item in self.instances.values()
            if item["zone"] == body.get("zone") or item["id"] in body.get("ids", [])
        ]
        self.leaving += [item["id"] for item in chosen]
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, self.publish)
        async with aiohttp.ClientSession() as session:
            for item in chosen:
                notice = {"notice_s": body["notice_s"]}
                with contextlib.suppress(aiohttp.ClientConnectorError):
                    await session.post(item["url"] + "/test/leave", json=notice)
        return web.json_response({"leaving": [item["id"] for item in chosen]})

    async def add(self, request: web.Request) -> web.Response:
        """Add a running instance, which is published after the lag."""
        item = await request.json()
        self.instances[item["id"]] = item
        asyncio.get_running_loop().call_later(self.lag_s, self.publish)
        return web.json_response({})

    def publish(self) -> None:
        """Publish the current list, without the instances being reclaimed."""
        self.published = [
            item for key, item in self.instances.items() if key not in self.leaving
        ]


def main() -> None:
    """Serve the cloud API."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--instances", type=pathlib.Path, required=True)
    parser.add_argument("--lag", type=float, default=2.0)
    arguments = parser.parse_args()
    cloud = Cloud(json.loads(arguments.instances.read_text()), arguments.lag)
    web.run_app(
        cloud.make_app(),
        host="127.0.0.1",
        port=arguments.port,
        print=None,
        access_log=None,
    )


if __name__ == "__main__":
    main()
