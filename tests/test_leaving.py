"""Reclaims, planned stops and adoption under load."""

import asyncio
import signal

import aiohttp
import pytest

from standins.demo import LONG_TOKENS, Demo
from tests.conftest import start_deployment
from tests.helpers import LONG_ACCOUNT, make_caller, sum_counter, wait_until

NOTICE_S = 1.0
MAX_LEAVE_DELAY_S = 3.0


@pytest.fixture(params=["kv", "no-kv"])
def reclaimed(request, tmp_path):
    options = ["--no-kv"] if request.param == "no-kv" else []
    deployment = start_deployment(tmp_path, options=options, entry_count=6)
    yield deployment, request.param
    deployment.stop()


def assert_all_ok(caller):
    bad = [sample for sample in caller.samples if sample.outcome != "ok"]
    assert not bad


def test_zone_with_endpoints_and_entries_is_reclaimed(reclaimed):
    """Every accepted request ends with its whole answer, once and in order."""
    deployment, kv_mode = reclaimed

    async def run():
        zone = deployment.cluster.entry[1].zone
        reclaimed_entries = [p.name for p in deployment.cluster.entry if p.zone == zone]
        async with aiohttp.ClientSession() as session:
            caller = make_caller(deployment, session)
            jobs = [
                caller.stream("s", LONG_ACCOUNT, f"stream {n} " * 40, LONG_TOKENS)
                for n in range(12)
            ]
            jobs += [
                caller.defer("d", LONG_ACCOUNT, f"defer {n} " * 40, LONG_TOKENS)
                for n in range(12)
            ]
            tasks = [asyncio.create_task(job) for job in jobs]
            await wait_until(lambda: are_running(deployment, 8))
            await deployment.reclaim(NOTICE_S, zone=zone)
            for name in reclaimed_entries:
                deployment.kill(name, signal.SIGTERM)
            await asyncio.sleep(NOTICE_S)
            for name in reclaimed_entries:
                deployment.kill(name)
            await asyncio.gather(*tasks)
        assert_all_ok(caller)
        recomputed = await sum_counter(deployment, "runner.recomputed_tokens")
        print(f"{kv_mode}: recomputed tokens {recomputed}")

    asyncio.run(run())


def test_endpoints_that_leave_hand_their_cache_over(deployment):
    async def run():
        before = await sum_counter(deployment, "runner.recomputed_tokens")
        async with aiohttp.ClientSession() as session:
            caller = make_caller(deployment, session)
            tasks = [
                asyncio.create_task(
                    caller.stream("s", LONG_ACCOUNT, f"moved {n} " * 40, LONG_TOKENS)
                )
                for n in range(12)
            ]
            await wait_until(lambda: are_running(deployment, 8))
            ids = [f"{deployment.model}-2", f"{deployment.model}-5"]
            await deployment.reclaim(NOTICE_S, ids=ids)
            await asyncio.gather(*tasks)
        assert_all_ok(caller)
        assert await sum_counter(deployment, "runner.moved") >= 1
        assert await sum_counter(deployment, "runner.recomputed_tokens") == before

    asyncio.run(run())


async def are_running(deployment, min_count):
    dumps = [await deployment.read_dump(p.name) for p in deployment.cluster.entry]
    return sum(dump.get("running", 0) for dump in dumps) >= min_count


def test_owner_killed_without_notice(deployment):
    async def run():
        async with aiohttp.ClientSession() as session:
            caller = make_caller(deployment, session)
            caller.entry_names = ["entry-1"]
            jobs = [
                caller.stream("s", LONG_ACCOUNT, f"orphan {n} " * 20, LONG_TOKENS)
                for n in range(6)
            ]
            tasks = [asyncio.create_task(job) for job in jobs]
            await wait_until(lambda: are_running(deployment, 6))
            caller.entry_names = ["entry-2", "entry-3", "entry-4"]
            deployment.kill("entry-1")
            await asyncio.gather(*tasks)
        assert_all_ok(caller)
        assert await sum_counter(deployment, "requests.adopted") >= 6
        deployment.start_daemon("entry-1")
        await deployment.wait_ready(0)

    asyncio.run(run())


def test_frozen_owner_wakes_and_writes_no_more(deployment):
    async def run():
        async with aiohttp.ClientSession() as session:
            caller = make_caller(deployment, session)
            caller.entry_names = ["entry-2"]
            job = caller.stream("s", LONG_ACCOUNT, "sleeper " * 20, LONG_TOKENS)
            task = asyncio.create_task(job)
            await wait_until(lambda: are_running(deployment, 1))
            name = "requests.adopted"
            before = await sum_counter(deployment, name, "entry-2")
            deployment.kill("entry-2", signal.SIGSTOP)
            caller.entry_names = ["entry-1", "entry-3", "entry-4"]

            async def adopted():
                return await sum_counter(deployment, name, "entry-2") > before

            try:
                await wait_until(adopted)
            finally:
                deployment.kill("entry-2", signal.SIGCONT)
            await task
        assert_all_ok(caller)
        assert await sum_counter(deployment, "copies.superseded") >= 1

    asyncio.run(run())


def test_leaving_endpoint_gets_no_new_work_after_seconds(deployment):
    """The list lags by two seconds; the notice and the engine's refusal do not."""

    async def run():
        name = f"{deployment.model}-1"
        url = deployment.instances[name]["url"]
        async with aiohttp.ClientSession() as session:
            caller = make_caller(deployment, session)
            await deployment.reclaim(30.0, ids=[name])
            loop = asyncio.get_running_loop()
            end_s = loop.time() + MAX_LEAVE_DELAY_S
            while loop.time() < end_s:
                await caller.ask("q", LONG_ACCOUNT, f"ask {loop.time()}", 2)
            before = await read_request_counts(session, url)
            await asyncio.gather(
                *(caller.ask("q", LONG_ACCOUNT, f"late {n}", 2) for n in range(40))
            )
            assert await read_request_counts(session, url) == before
        assert_all_ok(caller)

    asyncio.run(run())


async def read_request_counts(session, url):
    async with session.get(url + "/test/stats") as response:
        stats = await response.json()
    return stats["seen"], stats["refused"]


def test_rolling_restart_of_every_process_cuts_nothing(deployment):
    async def run():
        async with aiohttp.ClientSession() as session:
            caller = make_caller(deployment, session)
            demo = Demo(deployment, caller, 0)
            stop = asyncio.Event()
            load = asyncio.create_task(send_until(demo, stop))
            names = [p.name for p in deployment.cluster.control]
            names += [p.name for p in deployment.cluster.entry]
            for name in names:
                if name in caller.entry_names:
                    # A load balancer stops using an instance whose health check fails.
                    caller.entry_names.remove(name)
                deployment.kill(name, signal.SIGTERM)
                assert await deployment.wait_for_exit(name) == 0, name
                deployment.start_daemon(name)
                await deployment.wait_ready(0)
                if name.startswith("entry"):
                    caller.entry_names.append(name)
            stop.set()
            await load
        assert_all_ok(caller)
        assert [sample for sample in caller.samples if sample.attaches] == []

    asyncio.run(run())


async def send_until(demo, stop):
    number = 0
    jobs = []
    while not stop.is_set():
        number += 1
        jobs.append(asyncio.create_task(demo.send_quick(number)))
        if number % 8 == 0:
            jobs.append(asyncio.create_task(demo.send_long(number)))
        if number % 5 == 0:
            jobs.append(asyncio.create_task(demo.send_once(number)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*jobs)
