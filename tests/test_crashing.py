"""A request that crashes its endpoints is quarantined, and no other request is."""

import asyncio

import aiohttp

from standins.engine import CRASH_WORD
from tests.helpers import LONG_ACCOUNT, ask, make_caller, wait_until

MAX_CRASHED_ENDPOINTS = 2


def count_crashed(deployment):
    return sum(
        process.poll() is not None
        for name, process in deployment.processes.items()
        if name.startswith(deployment.model)
    )


def test_crashing_request_is_contained(deployment):
    async def run():
        async with aiohttp.ClientSession() as session:
            caller = make_caller(deployment, session)
            other_streams = [
                asyncio.create_task(
                    caller.stream("s", LONG_ACCOUNT, f"innocent {n} " * 10, 200)
                )
                for n in range(12)
            ]
            prompt = f"please {CRASH_WORD}"
            status, content = await ask(deployment, "entry-1", prompt, max_tokens=9)
            assert (status, content["title"]) == (422, "quarantined")

            async def quarantined_everywhere():
                dumps = [
                    await deployment.read_dump(p.name) for p in deployment.cluster.entry
                ]
                return all(dump["quarantined"] for dump in dumps)

            await wait_until(quarantined_everywhere)
            for entry in ("entry-2", "entry-3", "entry-4"):
                status, content = await ask(deployment, entry, prompt, max_tokens=9)
                assert (status, content["title"]) == (422, "quarantined")
            await asyncio.gather(*other_streams)
        assert [s for s in caller.samples if s.outcome != "ok"] == []
        assert count_crashed(deployment) <= MAX_CRASHED_ENDPOINTS

    asyncio.run(run())


def test_reclaim_wave_blames_nobody(deployment):
    async def run():
        async with aiohttp.ClientSession() as session:
            caller = make_caller(deployment, session)
            before = len((await deployment.read_dump("entry-1"))["quarantined"])
            for number in (3, 4):
                ids = [f"{deployment.model}-{number}"]
                tasks = [
                    asyncio.create_task(
                        caller.stream("s", LONG_ACCOUNT, f"wave {number} {n}", 200)
                    )
                    for n in range(8)
                ]
                await deployment.reclaim(0.3, ids=ids)
                await asyncio.gather(*tasks)
        assert [s for s in caller.samples if s.outcome != "ok"] == []
        after = len((await deployment.read_dump("entry-1"))["quarantined"])
        assert after == before

    asyncio.run(run())
