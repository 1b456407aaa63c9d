"""Measures added latency, throughput and memory of the real processes."""

import asyncio
import itertools
import pathlib
import random
import re
import sys
import tempfile
import time

import aiohttp

from bench.measurements import Comparison, compute_percentile_ms
from standins.deployment import Deployment
from standins.load import make_headers

ACCOUNT = "heritage-assessors"


def measure_end_to_end(seed: int, quick: bool) -> list[Comparison]:
    """Compare requests through entry processes with direct requests to engines."""
    return asyncio.run(_measure(seed, quick))


async def _measure(seed: int, quick: bool) -> list[Comparison]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="tarragonway-bench-"))
    deployment = Deployment("vardveislusjodur", folder)
    try:
        raise_limits(folder)
        await deployment.start(["--token-ms", "5", "--slots", "64"])
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            rows = await _compare_latency(deployment, session, 60 if quick else 300)
            rows.append(await _measure_throughput(deployment, session, seed, quick))
        rows.append(_measure_memory(deployment))
        return rows
    finally:
        deployment.stop()


def raise_limits(folder: pathlib.Path) -> None:
    """Raise the limits of all plans so far that they refuse no measured request."""
    path = folder / "plans.toml"
    text = re.sub(r"requests_per_s = \d+", "requests_per_s = 100000", path.read_text())
    path.write_text(re.sub(r"concurrent = \d+", "concurrent = 4000", text))


async def _compare_latency(
    deployment: Deployment, session: aiohttp.ClientSession, count: int
) -> list[Comparison]:
    engines = [
        item["url"]
        for item in deployment.instances.values()
        if item["service"] == deployment.model
    ]
    entries = ["http://" + peer.http for peer in deployment.cluster.entry]
    direct: list[list[float]] = [[], []]
    proxied: list[list[float]] = [[], []]
    for number in range(count):
        for urls, result in ((engines, direct), (entries, proxied)):
            url = urls[number % len(urls)]
            first, token_intervals = await _time_stream(
                session, url, deployment.model, number
            )
            result[0].append(first)
            result[1] += token_intervals
    rows = []
    for index, figure in enumerate(("first token", "between tokens")):
        for percent in (50, 99):
            rows.append(
                Comparison(
                    "path",
                    f"{figure} p{percent}",
                    "engine itself",
                    compute_percentile_ms(direct[index], percent),
                    compute_percentile_ms(proxied[index], percent),
                    "ms",
                )
            )
    return rows


async def _time_stream(
    session: aiohttp.ClientSession, url: str, model: str, number: int
) -> tuple[float, list[float]]:
    body = {
        "model": model,
        "messages": [{"role": "user", "content": f"question {number}"}],
        "max_tokens": 12,
        "stream": True,
    }
    times = [time.perf_counter()]
    async with session.post(
        url + "/v1/chat/completions", json=body, headers=make_headers(ACCOUNT)
    ) as response:
        async for line in response.content:
            if line.startswith(b"data: {") and b"content" in line:
                times.append(time.perf_counter())
    intervals = [b - a for a, b in itertools.pairwise(times)]
    return intervals[0], intervals[1:]


async def _measure_throughput(
    deployment: Deployment, session: aiohttp.ClientSession, seed: int, quick: bool
) -> Comparison:
    """Measure the rate of idempotent plain calls from 32 concurrent clients."""
    source = random.Random(seed)
    entries = [peer.http for peer in deployment.cluster.entry]
    end_s = time.perf_counter() + (3 if quick else 10)
    completed = 0

    async def run_client() -> None:
        nonlocal completed
        while time.perf_counter() < end_s:
            url = f"http://{source.choice(entries)}/services/{deployment.plain}/cases/1"
            async with session.get(url, headers=make_headers(ACCOUNT)) as response:
                await response.read()
                completed += response.status == 200

    started = time.perf_counter()
    await asyncio.gather(*(run_client() for _ in range(32)))
    rate = completed / (time.perf_counter() - started)
    return Comparison(
        "path", "plain calls a second, 8 entries", "-", 0.0, rate, "req/s"
    )


def _measure_memory(deployment: Deployment) -> Comparison:
    control = read_memory_mb(deployment, "control")
    print(f"  largest control process: {control:.1f} MB", file=sys.stderr)
    entry = read_memory_mb(deployment, "entry")
    return Comparison(
        "path", "memory of an entry process", "budget", 128.0, entry, "MB"
    )


def read_memory_mb(deployment: Deployment, kind: str) -> float:
    """Return the resident memory of the largest process of one kind, in MiB."""
    sizes = [0.0]
    for name, process in deployment.processes.items():
        if name.startswith(kind):
            status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
            line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
            sizes.append(int(line.split()[1]) / 1024)
    return max(sizes)
