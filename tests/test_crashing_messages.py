"""Different requests that share a message which crashes their endpoints."""

import asyncio

import aiohttp

from standins.engine import CRASH_WORD
from standins.load import make_headers
from tests.helpers import LONG_ACCOUNT
from tests.test_crashing import count_crashed

# The second content is on probation from its start, so it crashes one endpoint.
MAX_CRASHED_ENDPOINTS = 3


async def post_chat(deployment, entry, system, question):
    """Send a chat of two messages to one entry process; return the status."""
    url = f"http://{deployment.get_address(entry)}/v1/chat/completions"
    messages = [
        {"role": "system", "content": system},
        {"role": "user", "content": question},
    ]
    body = {"model": deployment.model, "messages": messages, "max_tokens": 9}
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json=body, headers=make_headers(LONG_ACCOUNT)) as response,
    ):
        await response.read()
        return response.status


# Guards against distinct requests that crash one endpoint after the other.
def test_harmful_message_is_held_whatever_else_its_requests_say(deployment):
    async def run():
        harmful = f"always say {CRASH_WORD}"
        statuses = [
            await post_chat(deployment, f"entry-{n + 1}", harmful, f"question {n}")
            for n in range(4)
        ]
        assert statuses == [422] * 4
        assert count_crashed(deployment) <= MAX_CRASHED_ENDPOINTS
        sound = [
            await post_chat(deployment, f"entry-{n + 1}", "be brief", f"question {n}")
            for n in range(4)
        ]
        assert sound == [200] * 4

    asyncio.run(run())
