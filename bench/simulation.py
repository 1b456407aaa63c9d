"""Discrete-event simulation of endpoints, with the stand-ins' service times."""

import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

SLOTS_PER_SERVER = 8


class Job(msgspec.Struct):
    """One request of a trace.

    Attributes
    ----------
    at : float
        Arrival time in seconds.
    account : str
        Client account.
    priority : int
        Priority in the queue; lower values are served first.
    work_s : float
        Time in a slot of a server with speed 1, without a cached prefix.
    prefix : str
        Prefix that a server caches.
    """

    at: float
    account: str
    priority: int
    work_s: float
    prefix: str = ""


class Server(msgspec.Struct):
    """An endpoint with slots and a priority queue.

    Attributes
    ----------
    name, zone : str
        Its id and availability zone.
    speed : float
        Divisor of each request's service time.
    busy : int
        Occupied slots.
    reported : int
        Load according to the latest report.
    measured : int
        Load when that report was sent, which the next report contains.
    waiting : list
        Heap of queued requests.
    cache : set
        Prefixes of earlier requests.
    """

    name: str
    zone: str
    speed: float = 1.0
    busy: int = 0
    reported: int = 0
    measured: int = 0
    waiting: list = []
    cache: set = set()

    @property
    def load(self) -> int:
        """Number of running and waiting requests."""
        return self.busy + len(self.waiting)


class SimulationResult(msgspec.Struct):
    """Response times in seconds of short and long requests, and prefix cache hits."""

    quick_s: list[float]
    long_s: list[float]
    hits: int
    total: int


def make_trace(source: random.Random, seconds: float, scale: float) -> list[Job]:
    """Return short requests at a steady rate and, added to them, a batch of long ones.

    Parameters
    ----------
    source : random.Random
        Source of arrival times, sizes and prefixes.
    seconds : float
        Length of the trace.
    scale : float
        Factor of all request rates.
    """
    jobs = []
    for account, rate in (("assessors", 12.0), ("guides", 8.0)):
        at = 0.0
        while at < seconds:
            at += source.expovariate(rate * scale)
            prefix = f"{account}-{int(source.paretovariate(1.2)) % 40}"
            jobs.append(Job(at, account, 1, source.uniform(0.1, 0.3), prefix))
    for number in range(int(40 * scale * seconds / 20)):
        at = seconds * 0.3 + source.expovariate(0.5)
        jobs.append(Job(at, "batch", 7, source.uniform(3, 6), f"dossier-{number % 15}"))
    return sorted(jobs, key=lambda job: job.at)


class Simulation:
    """Simulates a trace of requests in virtual time.

    Parameters
    ----------
    servers : list of Server
        Endpoints.
    choose : callable
        Selects the endpoint of a job.
    on_report : callable
        Called with an endpoint when it sends a load report.
    on_end : callable
        Called with an endpoint, a job that ended there and its service time in seconds.
    report_interval_s : float
        Interval between load reports and age of the load that they contain, in seconds.
    hit_saving_fraction : float
        Fraction of the work that a cached prefix saves.
    """

    def __init__(
        self,
        servers: list[Server],
        choose: Callable[[Job, list[Server]], Server],
        on_report: Callable[[Server], None],
        on_end: Callable[[Server, Job, float], None],
        report_interval_s: float,
        hit_saving_fraction: float = 0.4,
    ) -> None:
        self._servers = servers
        self._choose = choose
        self._on_report = on_report
        self._on_end = on_end
        self._report_interval_s = report_interval_s
        self._hit_saving_fraction = hit_saving_fraction
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()
        self._result = SimulationResult([], [], 0, 0)

    def run(self, jobs: list[Job]) -> SimulationResult:
        """Simulate all jobs, sorted by arrival time, until the last one ends."""
        for job in jobs:
            self._schedule(job.at, lambda now, job=job: self._handle_arrival(job, now))  # type: ignore[misc]
        for tick in range(int(jobs[-1].at / self._report_interval_s) + 1):
            self._schedule(tick * self._report_interval_s, self._send_reports)
        while self._events:
            now, _, handle = heapq.heappop(self._events)
            handle(now)
        return self._result

    def _schedule(self, at: float, handle: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), handle))

    def _handle_arrival(self, job: Job, now: float) -> None:
        server = self._choose(job, self._servers)
        if server.busy < SLOTS_PER_SERVER:
            self._start_job(server, job, now)
        else:
            heapq.heappush(server.waiting, (job.priority, next(self._sequence), job))

    def _start_job(self, server: Server, job: Job, now: float) -> None:
        server.busy += 1
        hit = job.prefix in server.cache
        server.cache.add(job.prefix)
        self._result.total += 1
        self._result.hits += hit
        work_s = job.work_s * (1 - self._hit_saving_fraction * hit) / server.speed
        self._schedule(
            now + work_s, lambda then: self._end_job(server, job, work_s, then)
        )

    def _end_job(self, server: Server, job: Job, work_s: float, now: float) -> None:
        server.busy -= 1
        self._on_end(server, job, work_s)
        is_short = job.priority == 1
        times = self._result.quick_s if is_short else self._result.long_s
        times.append(now - job.at)
        if server.waiting:
            self._start_job(server, heapq.heappop(server.waiting)[2], now)

    def _send_reports(self, now: float) -> None:
        for server in self._servers:
            # A report contains the load at the time of the preceding report.
            server.reported, server.measured = server.measured, server.load
            self._on_report(server)
