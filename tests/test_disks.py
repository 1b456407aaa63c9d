"""Control processes that lose their disk one after the other, or have a bad log."""

import asyncio
import shutil

from tests.helpers import count_arrivals, post_once, wait_until


def test_second_disk_is_lost_right_after_the_first_is_replaced(deployment):
    async def run():
        answers = {}
        for number in range(20):
            key = f"disk-{number}"
            answers[key] = await post_once(deployment, "entry-1", key, {"n": number})
        leader = await deployment.find_leader()
        others = [p.name for p in deployment.cluster.control if p.name != leader]
        for name in others:
            await replace_disk(deployment, name)
        for key, answer in answers.items():
            number = int(key.split("-")[1])
            assert await post_once(deployment, "entry-2", key, {"n": number}) == answer
            assert count_arrivals(deployment, key) == 1

    asyncio.run(run())


async def replace_disk(deployment, name):
    old = (await deployment.read_dump(name))["member"]
    deployment.kill(name)
    await deployment.wait_for_exit(name)
    shutil.rmtree(deployment.folder / f"data-{name}")
    deployment.start_daemon(name)

    async def is_voter():
        dump = await deployment.read_dump(await deployment.find_leader())
        voters = dump["voters"]
        fresh = [v for v in voters if v.startswith(name + ".") and v != old]
        return fresh and old not in voters and len(voters) == 3

    await wait_until(is_voter)


def test_damaged_log_stops_the_start_with_a_reason(deployment):
    async def run():
        leader = await deployment.find_leader()
        name = next(p.name for p in deployment.cluster.control if p.name != leader)
        deployment.kill(name)
        await deployment.wait_for_exit(name)
        path = deployment.folder / f"data-{name}" / "log"
        data = bytearray(path.read_bytes())
        data[len(data) // 2] ^= 0xFF
        path.write_bytes(bytes(data))
        deployment.start_daemon(name)
        assert await deployment.wait_for_exit(name) == 1
        assert "checksum" in (deployment.folder / f"{name}.log").read_text()
        shutil.rmtree(deployment.folder / f"data-{name}")
        deployment.start_daemon(name)
        await wait_until(lambda: deployment.read_dump(name))

    asyncio.run(run())
