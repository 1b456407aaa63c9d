"""Requests, waits and counts shared by the tests on real processes."""

import asyncio
import random

import aiohttp

from standins.load import Caller, make_headers
from standins.service import read_arrivals

ONCE_ACCOUNT = "parish-treasurers"
QUICK_ACCOUNT = "heritage-assessors"
LONG_ACCOUNT = "applicants"


async def post_once(deployment, entry, key, body, path="/disbursements", method="POST"):
    """Send a run-once call to one entry process; return status and JSON content."""
    url = f"http://{deployment.get_address(entry)}/services/{deployment.plain}{path}"
    headers = {**make_headers(ONCE_ACCOUNT), "Idempotency-Key": key}
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, json=body, headers=headers) as response,
    ):
        return response.status, await response.json(content_type=None)


async def ask(
    deployment, entry, prompt="is it eligible", account=QUICK_ACCOUNT, **more
):
    """Send a short model request to one entry process; return status and content."""
    url = f"http://{deployment.get_address(entry)}/v1/chat/completions"
    message = {"role": "user", "content": prompt}
    body = {"model": deployment.model, "messages": [message], "max_tokens": 4, **more}
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json=body, headers=make_headers(account)) as response,
    ):
        return response.status, await response.json(content_type=None)


def count_arrivals(deployment, key):
    """Return how often a run-once call reached the replicas of the plain service."""
    lines = read_arrivals(deployment.folder)
    return sum(line["key"] == key for line in lines)


async def wait_until(check, timeout_s=30.0):
    """Poll a function or coroutine function until its result is true; return it."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while True:
        result = check()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        assert loop.time() < deadline, f"condition not met within {timeout_s} s"
        await asyncio.sleep(0.02)


async def wait_for_arrival(deployment, key):
    """Wait until a run-once call has reached a replica."""
    await wait_until(lambda: count_arrivals(deployment, key))


def make_caller(deployment, session, seed=1):
    """Return a load generator that sends through all entry processes."""
    return Caller(deployment, session, random.Random(seed))


async def sum_counter(deployment, name, without=""):
    """Return a counter's sum over the entry processes, apart from ``without``."""
    names = [p.name for p in deployment.cluster.entry if p.name != without]
    dumps = [await deployment.read_dump(entry) for entry in names]
    return sum(dump.get("counters", {}).get(name, 0) for dump in dumps)
