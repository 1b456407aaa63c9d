"""Signals and faults during the start of the real programs."""

import asyncio
import contextlib
import os
import pathlib
import resource
import signal
import socket
import sys

import pytest

from soak.deployment import Deployment, reserve_base_port

SIGNAL_DEADLINE_S = 10.0
ROOT = pathlib.Path(__file__).parents[2]
# Stands in for a library whose import takes long, and then for the library itself.
SLOW_LIBRARY = """
import importlib, pathlib, sys, time
print("import begins", flush=True)
time.sleep(0.5)
sys.path.remove(str(pathlib.Path(__file__).parent))
del sys.modules[__name__]
sys.modules[__name__] = importlib.import_module(__name__)
"""


@pytest.fixture
def deployment(tmp_path):
    return Deployment(tmp_path, reserve_base_port(), 1)


async def start_program(deployment, kind, paths=(), **options):
    """Start one program without the others, as the platform does.

    Libraries in ``paths`` go before others of the same name.
    """
    name = f"{kind}-1"
    path = os.pathsep.join([*map(str, paths), *sys.path])
    environment = {**os.environ, "PYTHONPATH": path}
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-S", "-m", f"tarragonway.{kind}"),
        *("--settings", str(deployment.folder / f"{name}.toml")),
        **{"stdout": asyncio.subprocess.PIPE, "cwd": ROOT, **options},
        env=environment,
    )


async def start_slowly(deployment, kind):
    """Start a program, and return it while it imports a library."""
    folder = deployment.folder / "slow"
    folder.mkdir()
    (folder / "msgspec.py").write_text(SLOW_LIBRARY, encoding="utf-8")
    process = await start_program(deployment, kind, [folder])
    await read_events(process, "import begins")
    return process


async def read_events(process, *wanted):
    """Read log lines until each of these events was written; return all lines."""
    text = b""
    async with asyncio.timeout(SIGNAL_DEADLINE_S):
        while not all(event.encode() in text for event in wanted):
            line = await process.stdout.readline()
            assert line, text
            text += line
    return text


async def end(process):
    if process.returncode is None:
        process.kill()
    await process.wait()


# Guards against a hangup during the imports that ends the process: its settings may
# change at any moment.
@pytest.mark.parametrize("kind", ["gateway", "coordinator"])
async def test_hangups_during_the_start_reload_the_settings(deployment, kind):
    process = await start_slowly(deployment, kind)
    try:
        for _ in range(20):
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
        await read_events(process, '"started"', "settings reloaded")
        assert process.returncode is None
    finally:
        await end(process)


# Guards against a stop during the imports that looks like a crash.
@pytest.mark.parametrize("kind", ["gateway", "coordinator"])
async def test_stop_during_the_start_is_orderly(deployment, kind):
    process = await start_slowly(deployment, kind)
    try:
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(SIGNAL_DEADLINE_S):
            assert await process.wait() == 0
    finally:
        await end(process)


# Guards against a start that ends since the process before has not ended yet.
@pytest.mark.parametrize("kind", ["gateway", "coordinator"])
async def test_start_waits_for_a_port_that_is_in_use(deployment, kind):
    host, _, port = deployment.find_listen_address(f"{kind}-1").rpartition(":")
    with socket.create_server((host, int(port))):
        process = await start_program(deployment, kind)
        try:
            await read_events(process, "start failed; trying again")
        except BaseException:
            await end(process)
            raise
    try:
        await read_events(process, '"started"')
    finally:
        await end(process)


# Guards against a coordinator that ends since its disk is full when it starts.
async def test_start_waits_for_a_full_disk(deployment):
    folder = deployment.folder / "coordinator-1.data"
    folder.mkdir()
    full = [folder / f"{name}.new" for name in ("snapshot", "identity")]
    for path in full:
        path.symlink_to("/dev/full")
    process = await start_program(deployment, "coordinator")
    try:
        await read_events(process, "start failed; trying again")
        for path in full:
            path.unlink()
        await read_events(process, '"started"')
    finally:
        await end(process)


# Guards against a log line that ends the process, or lands in a data file.
@pytest.mark.parametrize("is_closed", [True, False])
async def test_process_runs_without_a_reader_of_its_logs(deployment, is_closed):
    process = await start_program(
        deployment,
        "coordinator",
        stdout=None if is_closed else asyncio.subprocess.PIPE,
        preexec_fn=(lambda: os.close(1)) if is_closed else None,
    )
    try:
        if not is_closed:
            process._transport.get_pipe_transport(1).close()
        address = deployment.find_listen_address("coordinator-1")
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(SIGNAL_DEADLINE_S):
            while True:
                assert process.returncode is None
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                    break
                except OSError:
                    await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(1.5)
        assert process.returncode is None
        for path in (deployment.folder / "coordinator-1.data").iterdir():
            assert b'"event"' not in path.read_bytes()
    finally:
        await end(process)


# Guards against a process that does not serve since another one has its metrics' port.
@pytest.mark.parametrize("kind", ["gateway", "coordinator"])
async def test_start_does_not_need_the_port_of_the_metrics(deployment, kind):
    host = deployment.find_listen_address(f"{kind}-1").rpartition(":")[0]
    path = deployment.folder / f"{kind}-1.toml"
    with socket.create_server((host, 0)) as other:
        address = f"{host}:{other.getsockname()[1]}"
        text = path.read_text(encoding="utf-8")
        changed = text.replace("[listen]", f'[listen]\nmetrics = "{address}"')
        path.write_text(changed, encoding="utf-8")
        process = await start_program(deployment, kind)
        try:
            await read_events(process, '"started"', "metrics are not served yet")
        except BaseException:
            await end(process)
            raise
    try:
        await read_events(process, "metrics are served")
    finally:
        await end(process)


# Guards against a process that stands still since it reports each connection that it
# cannot accept to a standard error which nobody reads.
async def test_process_without_free_descriptors_serves_again(deployment):
    unread, standard_error = os.pipe()
    process = await start_program(
        deployment,
        "gateway",
        stderr=standard_error,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64)),
    )
    host, _, port = deployment.find_listen_address("gateway-1").rpartition(":")
    readiness_port = int(port) + 1
    writers = []
    try:
        await read_events(process, '"started"')
        for _ in range(100):
            _, writer = await asyncio.open_connection(host, int(port))
            writers.append(writer)
        await asyncio.sleep(3.0)
        for writer in writers:
            writer.close()
        async with asyncio.timeout(SIGNAL_DEADLINE_S):
            reader, writer = await asyncio.open_connection(host, readiness_port)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await reader.readline()).startswith(b"HTTP/1.1 503")
        writer.close()
        assert process.returncode is None
    finally:
        await end(process)
        os.close(unread)
        os.close(standard_error)


# Guards against a signal after a stop, while the interpreter ends, that makes the stop
# look like a crash.
@pytest.mark.parametrize(
    ("number", "status"),
    [(signal.SIGHUP, 0), (signal.SIGUSR1, 0), (signal.SIGTERM, 3)],
)
@pytest.mark.parametrize("kind", ["gateway", "coordinator"])
async def test_signals_during_the_stop_leave_its_status(
    deployment, kind, number, status
):
    process = await start_program(deployment, kind, stderr=asyncio.subprocess.DEVNULL)
    try:
        await read_events(process, '"started"')
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(SIGNAL_DEADLINE_S):
            while process.returncode is None:
                # The process's own method also polls its end, which hides the status.
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, number)
                await asyncio.sleep(0.002)
        assert process.returncode == status
    finally:
        await end(process)
