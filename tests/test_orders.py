"""Orders to engines while the leader is frozen, and after it resumes."""

import asyncio
import signal

import aiohttp

from tests.helpers import wait_until


async def read_orders(deployment):
    orders = {}
    async with aiohttp.ClientSession() as session:
        for name, item in deployment.instances.items():
            if item["service"] == deployment.model:
                async with session.get(item["url"] + "/test/stats") as response:
                    orders[name] = (await response.json())["orders"]
    return orders


async def apply_version(deployment, version):
    path = deployment.folder / "plans.toml"
    kind = 'kind = "model"'
    lines = [x for x in path.read_text().splitlines() if "model_version" not in x]
    text = "\n".join(lines).replace(kind, f'{kind}\nmodel_version = "{version}"')
    path.write_text(text + "\n")
    code, output = await deployment.run_operator("apply", str(deployment.folder))
    # Exit code 5: the frozen control process has not confirmed the revision.
    assert code in (0, 5), output


async def all_engines_have(deployment, version):
    orders = await read_orders(deployment)
    return all(
        rows and rows[-1]["model_version"] == version for rows in orders.values()
    )


def test_engines_follow_the_lists_through_a_frozen_leader(deployment):
    async def run():
        await apply_version(deployment, "v1")
        await wait_until(lambda: all_engines_have(deployment, "v1"))
        leader = await deployment.find_leader()
        deployment.kill(leader, signal.SIGSTOP)
        try:
            await apply_version(deployment, "v2")
            await wait_until(lambda: all_engines_have(deployment, "v2"), 60)
        finally:
            deployment.kill(leader, signal.SIGCONT)
        await deployment.wait_ready(0)
        await apply_version(deployment, "v3")
        await wait_until(lambda: all_engines_have(deployment, "v3"), 60)
        for rows in (await read_orders(deployment)).values():
            fences = [row["fence"] for row in rows]
            assert fences == sorted(set(fences))
            assert [row["model_version"] for row in rows] == ["v1", "v2", "v3"]

    asyncio.run(run())
