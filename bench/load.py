"""Measures CPU time and memory of the entry processes under load."""

import asyncio
import pathlib
import random
import sys
import tempfile

import aiohttp

from bench.end_to_end import raise_limits, read_memory_mb
from bench.idle import read_cpu_s
from bench.measurements import Slope, fit_slope
from standins.deployment import Deployment
from standins.load import Caller, make_headers

ACCOUNT = "heritage-assessors"
STREAM_COUNT = 48
ENGINE_OPTIONS = ["--token-ms", "2", "--slots", "64"]


def measure_load(seed: int, quick: bool) -> list[Slope]:
    """Measure CPU time by the number of streamed tokens and of plain calls.

    Raises
    ------
    RuntimeError
        If a stream failed or a request was adopted, as the figures would then contain
        the cost of recovery.
    """
    return asyncio.run(_measure(seed, quick))


async def _measure(seed: int, quick: bool) -> list[Slope]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="tarragonway-bench-"))
    deployment = Deployment("vardveislusjodur", folder)
    factor = 1 if quick else 3
    try:
        raise_limits(folder)
        await deployment.start(ENGINE_OPTIONS)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            caller = Caller(deployment, session, random.Random(seed))
            await _run_streams(caller, 20)
            lengths = [100 * factor, 200 * factor, 300 * factor]
            tokens = [float(STREAM_COUNT * length) for length in lengths]
            costs = [
                await _measure_cpu_us(deployment, _run_streams(caller, n))
                for n in lengths
            ]
            counts = [300 * factor, 600 * factor, 900 * factor]
            calls = [
                await _measure_cpu_us(deployment, _run_calls(caller, n)) for n in counts
            ]
            memory = read_memory_mb(deployment, "entry")
            adopted = await _count_adopted(deployment)
    finally:
        deployment.stop()
    if any(sample.outcome != "ok" for sample in caller.samples):
        raise RuntimeError("at least one stream did not end with outcome ok")
    if adopted:
        raise RuntimeError(
            f"{adopted} requests were adopted although no owner had stopped"
        )
    print(f"  largest entry process after the load: {memory:.1f} MB", file=sys.stderr)
    return [
        fit_slope("load", "all entries' time a streamed token", "us", tokens, costs),
        fit_slope("load", "all entries' time a plain call", "us", counts, calls),
    ]


async def _count_adopted(deployment: Deployment) -> int:
    names = [peer.name for peer in deployment.cluster.entry]
    dumps = [await deployment.read_dump(name) for name in names]
    return sum(dump["counters"].get("requests.adopted", 0) for dump in dumps)


async def _measure_cpu_us(deployment: Deployment, work) -> float:  # type: ignore[no-untyped-def]
    """Return the entry processes' CPU time during ``work``, in microseconds."""
    names = [peer.name for peer in deployment.cluster.entry]
    before = sum(read_cpu_s(deployment, name) for name in names)
    await work
    return (sum(read_cpu_s(deployment, name) for name in names) - before) * 1e6


async def _run_streams(caller: Caller, tokens: int) -> None:
    streams = [
        caller.stream("s", ACCOUNT, f"load {n} {tokens}", tokens)
        for n in range(STREAM_COUNT)
    ]
    await asyncio.gather(*streams)


async def _run_calls(caller: Caller, count: int) -> None:
    async def work() -> None:
        for _ in range(count // 30):
            url = f"{caller.pick()}/services/{caller.deployment.plain}/cases/1"
            async with caller.session.get(
                url, headers=make_headers(ACCOUNT)
            ) as response:
                await response.read()

    await asyncio.gather(*(work() for _ in range(30)))
