"""Stand-in for a model engine.

It streams deterministic tokens, queues requests by priority, exports and imports KV
caches, crashes on a marker in the prompt, and exits after a reclaim notice.
"""

import argparse
import asyncio
import hashlib
import heapq
import itertools
import json
import os

from aiohttp import web

WORDS_PER_BLOCK = 16
CRASH_WORD = "CRASH-ENGINE"


def make_tokens(prompt: str, count: int) -> list[str]:
    """Return the tokens of the answer, which depend on the prompt alone."""
    seed = hashlib.sha256(prompt.encode()).hexdigest()
    return [f"{seed[i % 60 : i % 60 + 4]}{i} " for i in range(count)]


def read_prompt(body: dict) -> str:
    """Return the contents of all messages of a body, joined by line breaks."""
    return "\n".join(message["content"] for message in body["messages"])


class Slots:
    """Slots for running streams, assigned to waiting requests by priority.

    The lowest number is the most urgent; equal priorities are served in order of
    arrival.
    """

    def __init__(self, count: int) -> None:
        self.free = count
        self.waiting: list[tuple[int, int, asyncio.Future]] = []
        self._sequence = itertools.count()

    async def acquire(self, priority: int) -> None:
        """Wait until a slot is free and occupy it."""
        if self.free:
            self.free -= 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (priority, next(self._sequence), future))
        await future

    def release(self) -> None:
        """Pass the slot to the most urgent waiting request, or free it."""
        while self.waiting:
            _, _, future = heapq.heappop(self.waiting)
            if not future.done():
                future.set_result(None)
                return
        self.free += 1


class Engine:
    """One engine with its slots, KV cache and orders."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        self.slots = Slots(arguments.slots)
        self.running = 0
        self.leaving = False
        self.load_report = {"running": 0, "waiting": 0}
        self.cached_blocks: set[str] = set()
        self.streams: dict[str, dict] = {}
        self.imported_tokens: dict[str, int] = {}
        self.orders: list[dict] = []
        self.fence = 0
        self.accepted_count = 0
        self.refused_count = 0

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/v1/chat/completions", self.complete)
        app.router.add_delete("/v1/streams/{id}", self.cancel)
        app.router.add_post("/kv/export", self.export_kv)
        app.router.add_post("/kv/import", self.import_kv)
        app.router.add_get("/load", self.get_load)
        app.router.add_post("/orders", self.order)
        app.router.add_get("/orders", self.get_orders)
        app.router.add_post("/test/leave", self.leave)
        app.router.add_get("/test/stats", self.get_stats)
        app.on_startup.append(self.start)
        return app

    async def start(self, app: web.Application) -> None:
        """Start the task that updates the load report."""
        app["report"] = asyncio.create_task(self.update_load_report())

    async def update_load_report(self) -> None:
        """Publish each measured load after the lag has passed."""
        while True:
            measured = {"running": self.running, "waiting": len(self.slots.waiting)}
            await asyncio.sleep(self.arguments.lag)
            self.load_report = measured

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Stream one answer, or refuse the request while leaving."""
        if self.leaving:
            self.refused_count += 1
            headers = {"X-Endpoint-State": "leaving"}
            return web.Response(status=503, headers=headers, text="leaving")
        body = await request.json()
        extra = body.get("tarragonway", {})
        self.accepted_count += 1
        stream = request.headers.get("X-Stream-Id", "")
        state = {"cancelled": False, "prompt": read_prompt(body), "position": 0}
        self.streams[stream] = state
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        await self.slots.acquire(extra.get("priority", 5))
        self.running += 1
        try:
            await self.generate(response, body, extra, state)
        except ConnectionResetError:
            pass
        finally:
            self.running -= 1
            self.slots.release()
            self.streams.pop(stream, None)
        return response

    async def generate(
        self, response: web.StreamResponse, body: dict, extra: dict, state: dict
    ) -> None:
        """Write the prefill usage, the tokens and the end marker."""
        generated_tokens = extra.get("resume_tokens") or []
        computed_tokens = self.prefill(
            state["prompt"], len(generated_tokens), extra.get("kv_handle", "")
        )
        await asyncio.sleep(computed_tokens * self.arguments.prefill_ms / 1000)
        await write_event(
            response, {"usage": {"computed_prompt_tokens": computed_tokens}}
        )
        tokens = make_tokens(state["prompt"], int(body.get("max_tokens", 16)))
        for position in range(len(generated_tokens), len(tokens)):
            await asyncio.sleep(self.arguments.token_ms / 1000)
            if state["cancelled"]:
                return
            if CRASH_WORD in state["prompt"] and position == 2:
                os._exit(1)
            delta = {"content": tokens[position]}
            chunk = {"choices": [{"index": 0, "delta": delta}], "position": position}
            state["position"] = position + 1
            await write_event(response, chunk)
        await response.write(b"data: [DONE]\n\n")

    def prefill(self, prompt: str, generated: int, handle: str) -> int:
        """Return how many tokens must be computed, and cache the prompt's blocks.

        An imported KV cache is used once; otherwise the longest cached prefix of the
        prompt counts. Generated tokens are never cached.
        """
        words = prompt.split()
        total = len(words) + generated
        if handle and handle in self.imported_tokens:
            return max(0, total - self.imported_tokens.pop(handle))
        cached = 0
        for end in range(WORDS_PER_BLOCK, len(words) + 1, WORDS_PER_BLOCK):
            block = hashlib.sha256(" ".join(words[:end]).encode()).hexdigest()
            if block in self.cached_blocks:
                cached = end
            self.cached_blocks.add(block)
        return total - cached

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a stream before its next token."""
        state = self.streams.get(request.match_info["id"])
        if state is not None:
            state["cancelled"] = True
        return web.json_response({})

    async def export_kv(self, request: web.Request) -> web.Response:
        """Return a stream's KV cache: its ID and number of tokens."""
        stream = (await request.json())["stream"]
        state = self.streams.get(stream)
        if state is None or self.arguments.no_kv:
            return web.json_response({}, status=404)
        tokens = len(state["prompt"].split()) + state["position"]
        return web.json_response({"kv": f"{stream}:{tokens}"})

    async def import_kv(self, request: web.Request) -> web.Response:
        """Store a stream's KV cache for a request that will resume the stream."""
        if self.leaving or self.arguments.no_kv:
            return web.json_response({}, status=503)
        stream, _, tokens = (await request.json())["kv"].partition(":")
        self.imported_tokens[stream] = int(tokens)
        return web.json_response({"handle": stream})

    async def get_load(self, request: web.Request) -> web.Response:
        """Return the load report, which lags behind the current load."""
        return web.json_response(self.load_report)

    async def order(self, request: web.Request) -> web.Response:
        """Accept an order; with ``--checks-fence``, refuse an older fencing token."""
        order = await request.json()
        if self.arguments.checks_fence and order["fence"] < self.fence:
            return web.json_response({"fence": self.fence}, status=409)
        self.fence = max(self.fence, order["fence"])
        self.orders.append(order)
        return web.json_response({"orders": len(self.orders)})

    async def get_orders(self, request: web.Request) -> web.Response:
        """Return the model version of the latest order."""
        version = self.orders[-1]["model_version"] if self.orders else ""
        return web.json_response({"model_version": version})

    async def leave(self, request: web.Request) -> web.Response:
        """Refuse new requests from now on, and exit after the notice period."""
        notice_s = float((await request.json())["notice_s"])
        self.leaving = True
        asyncio.get_running_loop().call_later(notice_s, os._exit, 0)
        return web.json_response({})

    async def get_stats(self, request: web.Request) -> web.Response:
        """Return request counts and orders, for tests."""
        stats = {
            "seen": self.accepted_count,
            "refused": self.refused_count,
            "orders": self.orders,
        }
        return web.json_response(stats)


async def write_event(response: web.StreamResponse, chunk: dict) -> None:
    """Write one server-sent event."""
    await response.write(b"data: " + json.dumps(chunk).encode() + b"\n\n")


def main() -> None:
    """Run one engine."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--token-ms", type=float, default=8.0)
    parser.add_argument("--prefill-ms", type=float, default=0.2)
    parser.add_argument("--lag", type=float, default=0.5)
    parser.add_argument("--no-kv", action="store_true")
    parser.add_argument("--checks-fence", action="store_true")
    engine = Engine(parser.parse_args())
    web.run_app(
        engine.make_app(),
        host="127.0.0.1",
        port=engine.arguments.port,
        print=None,
        access_log=None,
    )


if __name__ == "__main__":
    main()
