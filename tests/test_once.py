"""Run-once calls run at most once, and their outcomes are true.

This holds also while entry and control processes are killed or frozen.
"""

import asyncio
import signal

import aiohttp

from standins.load import make_headers
from tests.helpers import ONCE_ACCOUNT, count_arrivals, post_once, wait_for_arrival


def test_resend_through_another_entry_gets_the_first_answer(deployment):
    async def run():
        first = await post_once(deployment, "entry-1", "resend", {"amount": 1})
        second = await post_once(deployment, "entry-2", "resend", {"amount": 1})
        assert first == second
        assert first[0] == 200
        assert count_arrivals(deployment, "resend") == 1

    asyncio.run(run())


def test_concurrent_resends_run_once(deployment):
    async def run():
        body = {"amount": 2, "delay_s": 0.3}
        calls = [
            post_once(deployment, f"entry-{1 + n % 4}", "concurrent", body)
            for n in range(12)
        ]
        answers = await asyncio.gather(*calls)
        assert {status for status, _ in answers} == {200}
        assert len({content["receipt"] for _, content in answers}) == 1
        assert count_arrivals(deployment, "concurrent") == 1

    asyncio.run(run())


def test_another_body_under_the_same_key_is_refused(deployment):
    async def run():
        await post_once(deployment, "entry-1", "mismatch", {"amount": 1})
        status, content = await post_once(
            deployment, "entry-2", "mismatch", {"amount": 9}
        )
        assert (status, content["outcome"]) == (422, "refused")
        assert count_arrivals(deployment, "mismatch") == 1

    asyncio.run(run())


def test_lost_answer_is_unknown_and_never_sent_again(deployment):
    async def run():
        for method in ("POST", "PUT", "DELETE"):
            key = f"lost-{method}"
            body = {"amount": 1, "drop": True}
            for entry in ("entry-1", "entry-2", "entry-3"):
                status, content = await post_once(
                    deployment, entry, key, body, "/disbursements/7", method
                )
                assert (status, content["outcome"]) == (504, "unknown")
            assert count_arrivals(deployment, key) == 1

    asyncio.run(run())


def test_status_query_closes_an_unused_key(deployment):
    async def run():
        url = f"http://{deployment.get_address('entry-1')}/v1/calls/closed"
        async with (
            aiohttp.ClientSession(headers=make_headers(ONCE_ACCOUNT)) as session,
            session.get(url) as response,
        ):
            assert (await response.json())["outcome"] == "not_run"
        status, content = await post_once(deployment, "entry-2", "closed", {})
        assert (status, content["outcome"]) == (503, "not_run")
        assert count_arrivals(deployment, "closed") == 0

    asyncio.run(run())


def test_entry_killed_during_the_call(deployment):
    async def run():
        body = {"amount": 3, "delay_s": 30}
        call = asyncio.create_task(post_once(deployment, "entry-1", "killed", body))
        await wait_for_arrival(deployment, "killed")
        deployment.kill("entry-1")
        await asyncio.wait([call])
        resend = asyncio.create_task(post_once(deployment, "entry-2", "killed", body))
        deployment.start_daemon("entry-1")
        status, content = await resend
        assert (status, content["outcome"]) == (504, "unknown")
        assert count_arrivals(deployment, "killed") == 1

    asyncio.run(run())
    asyncio.run(deployment.wait_ready())


def test_entry_frozen_during_the_call(deployment):
    async def run():
        body = {"amount": 4, "delay_s": 0.5}
        call = asyncio.create_task(post_once(deployment, "entry-3", "frozen", body))
        await wait_for_arrival(deployment, "frozen")
        deployment.kill("entry-3", signal.SIGSTOP)
        resend = asyncio.create_task(post_once(deployment, "entry-2", "frozen", body))
        await asyncio.wait([resend], timeout=2)
        assert not resend.done()
        deployment.kill("entry-3", signal.SIGCONT)
        first, second = await call, await resend
        assert first == second
        assert first[0] == 200
        assert count_arrivals(deployment, "frozen") == 1

    asyncio.run(run())


def test_control_leader_killed_between_claim_and_result(deployment):
    async def run():
        leader = await deployment.find_leader()
        body = {"amount": 5, "delay_s": 0.5}
        call = asyncio.create_task(post_once(deployment, "entry-1", "leader", body))
        await wait_for_arrival(deployment, "leader")
        deployment.kill(leader)
        first = await call
        second = await post_once(deployment, "entry-2", "leader", body)
        assert first == second
        assert first[0] == 200
        assert count_arrivals(deployment, "leader") == 1
        await deployment.wait_for_exit(leader)
        deployment.start_daemon(leader)

    asyncio.run(run())


def test_refused_resend_does_not_deny_the_first_run(deployment):
    """The outcome is not ``not_run`` while no control process can look up the key."""

    async def run():
        body = {"amount": 6}
        assert (await post_once(deployment, "entry-1", "denied", body))[0] == 200
        names = [peer.name for peer in deployment.cluster.control]
        for name in names:
            deployment.kill(name, signal.SIGSTOP)
        try:
            status, content = await post_once(deployment, "entry-2", "denied", body)
        finally:
            for name in names:
                deployment.kill(name, signal.SIGCONT)
        assert status == 503
        assert content["outcome"] == "refused"

    asyncio.run(run())
