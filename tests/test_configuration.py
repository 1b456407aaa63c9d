"""Applied lists take effect once, in every process, and are never reverted."""

import asyncio
import signal

from tests.helpers import ask, wait_until

MAX_LIST_DELAY_S = 11.0


def write_rate(deployment, rate):
    path = deployment.folder / "plans.toml"
    lines = path.read_text().splitlines()
    lines = [
        f"requests_per_s = {rate}" if line.startswith("requests_per_s") else line
        for line in lines
    ]
    path.write_text("\n".join(lines) + "\n")


async def read_revisions(deployment):
    """Return the revision of each process, -1 while it has not applied its log."""
    peers = [*deployment.cluster.control, *deployment.cluster.entry]
    dumps = [await deployment.read_dump(peer.name) for peer in peers]
    return [dump.get("revision", -1) for dump in dumps]


def test_concurrent_applies_with_equal_expected_revisions(deployment):
    async def run():
        before = (await read_revisions(deployment))[0]
        words = ("apply", str(deployment.folder), "--expect", str(before))
        results = await asyncio.gather(
            *(deployment.run_operator(*words, "--change", f"race-{n}") for n in "abc")
        )
        codes = sorted(code for code, _ in results)
        assert codes == [0, 4, 4], results
        assert set(await read_revisions(deployment)) == {before + 1}

    asyncio.run(run())


def test_resend_after_a_lost_answer_applies_nothing(deployment):
    async def run():
        before = (await read_revisions(deployment))[0]
        words = ("apply", str(deployment.folder), "--change", "again")
        words = (*words, "--expect", str(before))
        for _ in range(3):
            code, output = await deployment.run_operator(*words)
            assert code == 0, output
            assert f"applied as revision {before + 1}" in output
        assert set(await read_revisions(deployment)) == {before + 1}

    asyncio.run(run())


def test_faulty_lists_are_refused_by_line(deployment):
    async def run():
        path = deployment.folder / "plans.toml"
        good = path.read_text()
        path.write_text(good.replace('kind = "plain"', 'kind = "plane"'))
        code, output = await deployment.run_operator("check", str(deployment.folder))
        path.write_text(good)
        line = good.splitlines().index('kind = "plain"') + 1
        assert code == 2
        assert f"plans.toml:{line}: service[1].kind" in output

    asyncio.run(run())


def test_change_is_in_force_and_survives_loss_of_all_processes(deployment):
    async def run():
        write_rate(deployment, 77)
        loop = asyncio.get_running_loop()
        started = loop.time()
        code, output = await deployment.run_operator("apply", str(deployment.folder))
        assert code == 0, output
        assert loop.time() - started < MAX_LIST_DELAY_S
        revision = (await read_revisions(deployment))[0]
        names = [p.name for p in deployment.cluster.control]
        names += [p.name for p in deployment.cluster.entry]
        for name in names:
            deployment.kill(name)
        for name in names:
            await deployment.wait_for_exit(name)
            deployment.start_daemon(name)
        seen = set()

        async def all_report_a_revision():
            revisions = await read_revisions(deployment)
            seen.update(revisions)
            return -1 not in revisions

        await deployment.wait_ready()
        await wait_until(all_report_a_revision, MAX_LIST_DELAY_S)
        assert seen - {-1} == {revision}

    asyncio.run(run())


def test_cut_off_entry_takes_no_new_requests(deployment):
    async def run():
        for peer in deployment.cluster.control:
            deployment.kill(peer.name, signal.SIGSTOP)

        async def refuses():
            status, content = await ask(deployment, "entry-1")
            return status == 503 and "configuration" in content["type"]

        loop = asyncio.get_running_loop()
        started = loop.time()
        await wait_until(refuses, MAX_LIST_DELAY_S)
        assert loop.time() - started < MAX_LIST_DELAY_S
        for peer in deployment.cluster.control:
            deployment.kill(peer.name, signal.SIGCONT)
        await deployment.wait_ready()
        assert (await ask(deployment, "entry-1"))[0] == 200

    asyncio.run(run())


def test_frozen_entry_wakes_without_using_old_lists(deployment):
    async def run():
        deployment.kill("entry-4", signal.SIGSTOP)
        path = deployment.folder / "accounts.toml"
        text = path.read_text()
        path.write_text(text.replace('id = "guides"', 'id = "guides"'))
        renamed_account = "heritage-assessors"
        path.write_text(text.replace(f'id = "{renamed_account}"', 'id = "renamed"'))
        code, output = await deployment.run_operator("apply", str(deployment.folder))
        # Exit code 5: all processes but the frozen one have confirmed the revision.
        assert code == 5, output
        assert "not confirmed by: entry-4" in output
        question = asyncio.create_task(ask(deployment, "entry-4", account="skiers"))
        deployment.kill("entry-4", signal.SIGCONT)
        status, content = await question
        # A process that was frozen beyond the freshness bound must first confirm its
        # lists with the control processes, and refuses requests until then.
        is_unauthenticated = "unauthenticated" in content["type"]
        assert status in (401, 503)
        assert is_unauthenticated or "configuration" in content["type"]
        path.write_text(text)
        assert (await deployment.run_operator("apply", str(deployment.folder)))[0] == 0

    asyncio.run(run())
