"""A stop that reaches its deadline hands requests and their KV caches to peers."""

import asyncio
import signal

import aiohttp
import pytest

from tests.conftest import start_deployment
from tests.helpers import LONG_ACCOUNT, make_caller, sum_counter, wait_until

STREAM_TOKENS = 400
MAX_ADOPTION_DELAY_S = 2.0


@pytest.fixture
def short_stop_deployment(tmp_path):
    timing = {"[platform]": "[timing]\nstop_deadline_s = 0.7\n\n[platform]"}
    deployment = start_deployment(tmp_path, substitutions=timing)
    yield deployment
    deployment.stop()


def test_stop_cut_short_hands_over_with_caches(short_stop_deployment):
    deployment = short_stop_deployment

    async def run():
        async with aiohttp.ClientSession() as session:
            caller = make_caller(deployment, session)
            caller.entry_names = ["entry-1"]
            tasks = [
                asyncio.create_task(
                    caller.stream(
                        "s", LONG_ACCOUNT, f"hand over {n} " * 30, STREAM_TOKENS
                    )
                )
                for n in range(8)
            ]

            async def all_are_running():
                dump = await deployment.read_dump("entry-1")
                return dump["running"] == 8

            await wait_until(all_are_running)
            caller.entry_names = ["entry-2", "entry-3", "entry-4"]
            deployment.kill("entry-1", signal.SIGTERM)
            assert await deployment.wait_for_exit("entry-1") == 3
            loop = asyncio.get_running_loop()
            ended = loop.time()

            async def all_are_adopted():
                return await sum_counter(deployment, "requests.adopted") >= 8

            await wait_until(all_are_adopted)
            assert loop.time() - ended < MAX_ADOPTION_DELAY_S
            await asyncio.gather(*tasks)
        assert [s for s in caller.samples if s.outcome != "ok"] == []
        assert await sum_counter(deployment, "runner.recomputed_tokens") == 0

    asyncio.run(run())
