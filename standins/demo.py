"""Demonstration run by ``bin/demo``: a mixed load, a reclaimed zone, a summary."""

import argparse
import asyncio
import collections
import json
import pathlib
import random
import sys
import tempfile
import time

import aiohttp

from standins.deployment import SERVICES, Deployment
from standins.load import Caller, Sample
from standins.service import read_arrivals

NOTICE_S = 2.0
QUICK_TOKENS = 12
LONG_TOKENS = 300
QUICK_INTERVAL_S = 0.05
LONG_INTERVAL_S = 0.6
ONCE_INTERVAL_S = 0.25

# Client accounts for short, long and run-once requests, and the path of the latter.
ACCOUNTS_AND_PATH = {
    "vardveislusjodur": (
        "heritage-assessors",
        "applicants",
        "parish-treasurers",
        "/disbursements",
    ),
    "neige-atlas": ("guides", "digest-desk", "club-secretaries", "/bookings"),
}


class Demo:
    """One run of the demonstration.

    Parameters
    ----------
    deployment : Deployment
        Running deployment.
    caller : Caller
        Sender of the requests.
    seconds : float
        Time during which new requests are sent.
    """

    def __init__(self, deployment: Deployment, caller: Caller, seconds: float) -> None:
        self.deployment = deployment
        self.caller = caller
        self.seconds = seconds
        self.tasks: set[asyncio.Task] = set()
        self.quick_account, self.long_account, self.once_account, self.once_path = (
            ACCOUNTS_AND_PATH[deployment.name]
        )

    async def run(self) -> None:
        """Send the load, reclaim a zone half-way, and wait for every answer."""
        end_s = time.monotonic() + self.seconds
        await asyncio.gather(
            self.send_repeatedly(end_s, QUICK_INTERVAL_S, self.send_quick),
            self.send_repeatedly(end_s, LONG_INTERVAL_S, self.send_long),
            self.send_repeatedly(end_s, LONG_INTERVAL_S, self.send_deferred),
            self.send_repeatedly(end_s, ONCE_INTERVAL_S, self.send_once),
            self.reclaim_zone(),
        )
        if self.tasks:
            await asyncio.wait(self.tasks)

    async def send_repeatedly(self, end_s: float, mean_interval_s: float, send) -> None:  # type: ignore[no-untyped-def]
        """Start requests at random intervals around a mean, awaiting no answers."""
        number = 0
        while time.monotonic() < end_s:
            task = asyncio.create_task(send(number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            number += 1
            await asyncio.sleep(mean_interval_s * self.caller.rng.uniform(0.5, 1.5))

    async def reclaim_zone(self) -> None:
        """Reclaim the endpoints of one zone at half of the run."""
        await asyncio.sleep(self.seconds / 2)
        zone = self.deployment.cluster.entry[1].zone
        reclaimed_ids = await self.deployment.reclaim(NOTICE_S, zone=zone)
        print(f"reclaimed {zone}: {', '.join(reclaimed_ids)}", file=sys.stderr)

    async def send_quick(self, number: int) -> None:
        """Send a short request without streaming."""
        prompt = f"is building {number} eligible"
        await self.caller.ask(
            "quick question", self.quick_account, prompt, QUICK_TOKENS
        )

    async def send_long(self, number: int) -> None:
        """Stream a long request."""
        prompt = f"dossier {number} " + "restoration history " * 60
        await self.caller.stream("long stream", self.long_account, prompt, LONG_TOKENS)

    async def send_deferred(self, number: int) -> None:
        """Send a long deferred request."""
        prompt = f"deferred {number} " + "season report " * 60
        await self.caller.defer("deferred", self.long_account, prompt, LONG_TOKENS)

    async def send_once(self, number: int) -> None:
        """Send a call that must run at most once; every second one is resent."""
        body = {"amount": number}
        key = f"order-{number}"
        resend = number % 2 == 0
        await self.caller.call_once(
            "run once", self.once_account, self.once_path, key, body, resend
        )


def summarise(
    samples: list[Sample], arrivals: list[dict], outcomes_by_key: dict
) -> dict:
    """Return request counts, latencies and faults.

    Parameters
    ----------
    samples : list of Sample
        Results of all requests.
    arrivals : list of dict
        Requests recorded by the plain service's replicas.
    outcomes_by_key : dict of str to str
        Outcome of the first call with each idempotency key.

    Returns
    -------
    dict
        Per kind the counts, outcomes and latencies in milliseconds; then the keys
        whose calls ran twice, were answered without an arrival, or arrived though
        their outcome was ``not_run``; then requests with any other wrong outcome.
    """
    kinds: dict[str, dict] = {}
    for kind in sorted({sample.kind for sample in samples}):
        rows = [sample for sample in samples if sample.kind == kind]
        kinds[kind] = {
            "sent": len(rows),
            "outcomes": dict(collections.Counter(row.outcome for row in rows)),
            "first_ms": compute_percentiles([row.first_s for row in rows]),
            "whole_ms": compute_percentiles([row.seconds for row in rows]),
            "attached_again": sum(row.attaches for row in rows),
        }
    seen = collections.Counter(line["key"] for line in arrivals if line["key"])
    twice = sorted(key for key, count in seen.items() if count > 1)
    missing = sorted(
        k for k, o in outcomes_by_key.items() if o == "ok" and seen[k] != 1
    )
    false_not_run = sorted(
        k for k, o in outcomes_by_key.items() if o == "not_run" and seen[k]
    )
    failed = [s for s in samples if s.outcome not in ("ok", "unknown", "not_run")]
    return {
        "kinds": kinds,
        "once_arrivals": dict(collections.Counter(seen.values())),
        "ran_twice": twice,
        "answered_without_arrival": missing,
        "not_run_but_arrived": false_not_run,
        "lost_or_wrong": [f"{s.kind}: {s.outcome} {s.detail[:200]}" for s in failed],
    }


def compute_percentiles(seconds: list[float]) -> dict[str, float]:
    """Return the 50th, 95th and 99th percentile in milliseconds."""
    ranked = sorted(seconds)
    fractions = {"p50": 0.5, "p95": 0.95, "p99": 0.99}
    return {
        name: round(ranked[min(len(ranked) - 1, int(len(ranked) * at))] * 1000, 1)
        for name, at in fractions.items()
    }


def is_clean(summary: dict) -> bool:
    """Return whether a summary lists no lost, wrong or repeated request."""
    faults = (
        "ran_twice",
        "answered_without_arrival",
        "not_run_but_arrived",
        "lost_or_wrong",
    )
    return not any(summary[name] for name in faults)


def print_summary(summary: dict) -> None:
    """Print the summary as text."""
    print(f"{'kind':<16}{'sent':>6}{'first p50/p95/p99 ms':>26}{'whole p95 ms':>14}")
    for kind, row in summary["kinds"].items():
        first = "/".join(str(value) for value in row["first_ms"].values())
        print(f"{kind:<16}{row['sent']:>6}{first:>26}{row['whole_ms']['p95']:>14}")
        print(f"{'':<16}outcomes {row['outcomes']}, attached {row['attached_again']}")
    print(f"recomputed tokens: {summary['recomputed_tokens']}")
    print(f"streams moved with their cache: {summary['moved']}")
    print(f"run-once calls by number of arrivals: {summary['once_arrivals']}")
    for name in ("ran_twice", "answered_without_arrival", "not_run_but_arrived"):
        print(f"{name.replace('_', ' ')}: {len(summary[name])} {summary[name][:5]}")
    print(f"lost or wrong: {len(summary['lost_or_wrong'])}")
    for line in summary["lost_or_wrong"][:10]:
        print(f"  {line}")


async def run_demo(arguments: argparse.Namespace) -> dict:
    """Run the load on a new deployment, stop it, and return the summary."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="tarragonway-demo-"))
    deployment = Deployment(arguments.deployment, folder)
    try:
        started = time.monotonic()
        await deployment.start()
        print(f"ready after {time.monotonic() - started:.1f} s", file=sys.stderr)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            caller = Caller(deployment, session, random.Random(arguments.seed))
            await Demo(deployment, caller, arguments.seconds).run()
        arrivals = read_arrivals(folder)
        summary = summarise(caller.samples, arrivals, caller.first_outcomes)
        await add_counters(deployment, summary)
        return summary
    finally:
        deployment.stop()


async def add_counters(deployment: Deployment, summary: dict) -> None:
    """Add counters, summed over the entry processes, to the summary."""
    names = {"recomputed_tokens": "runner.recomputed_tokens", "moved": "runner.moved"}
    totals: collections.Counter[str] = collections.Counter()
    for peer in deployment.cluster.entry:
        dump = await deployment.read_dump(peer.name)
        totals.update(dump.get("counters", {}))
    for title, name in names.items():
        summary[title] = totals[name]


def main() -> int:
    """Run the demonstration; return 1 if a request was lost, wrong or ran twice."""
    parser = argparse.ArgumentParser("bin/demo", description=__doc__)
    parser.add_argument("--deployment", choices=SERVICES, default="vardveislusjodur")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true", help="print JSON")
    arguments = parser.parse_args()
    summary = asyncio.run(run_demo(arguments))
    if arguments.json:
        print(json.dumps(summary, indent=1))
    else:
        print_summary(summary)
    clean = is_clean(summary)
    print("nothing lost, nothing twice" if clean else "FAILED", file=sys.stderr)
    return 0 if clean else 1


if __name__ == "__main__":
    raise SystemExit(main())
