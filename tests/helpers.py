"""Calls that several process-level tests make."""

import asyncio
import random

import aiohttp

from standins.load import Caller, make_headers
from standins.service import read_arrivals

ONCE_ACCOUNT = "parish-treasurers"
QUICK_ACCOUNT = "heritage-assessors"
LONG_ACCOUNT = "applicants"


async def post_once(deployment, entry, key, body, path="/disbursements", method="POST"):
    """Make a call that must not be repeated; return status and JSON content."""
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
    """Ask a quick question through one entry process."""
    url = f"http://{deployment.get_address(entry)}/v1/chat/completions"
    message = {"role": "user", "content": prompt}
    body = {"model": deployment.model, "messages": [message], "max_tokens": 4, **more}
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json=body, headers=make_headers(account)) as response,
    ):
        return response.status, await response.json(content_type=None)


def count_arrivals(deployment, key):
    """Return how often a call reached any replica."""
    lines = read_arrivals(deployment.folder)
    return sum(line["key"] == key for line in lines)


async def wait_until(check, timeout_s=30.0):
    """Return once ``check()`` holds."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while True:
        result = check()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        assert loop.time() < deadline, "condition not met in time"
        await asyncio.sleep(0.02)


async def wait_arrival(deployment, key):
    """Return once a call has reached a replica."""
    await wait_until(lambda: count_arrivals(deployment, key))


def make_caller(deployment, session, seed=1):
    """Return a caller that uses all entry processes."""
    return Caller(deployment, session, random.Random(seed))


async def sum_counter(deployment, name, without=""):
    """Return a counter's sum over the entry processes."""
    names = [p.name for p in deployment.cluster.entry if p.name != without]
    dumps = [await deployment.read_dump(entry) for entry in names]
    return sum(dump.get("counters", {}).get(name, 0) for dump in dumps)
