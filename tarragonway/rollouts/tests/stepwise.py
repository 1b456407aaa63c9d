"""Loop with random arrivals that drives the decisions on one rollout step by step."""

import math
import random

from tarragonway.core.ids import ProcessName
from tarragonway.rollouts.decision import RolloutEndpoints, RolloutPolicy, Verdict
from tarragonway.rollouts.messages import RolloutCounts, RouteCounts, VersionCounts
from tarragonway.rollouts.model import Rollout, RolloutOrder
from tarragonway.rollouts.progress import RolloutProgress

GATEWAY = ProcessName("g")
POLICY = RolloutPolicy(0.1, 50.0)
# Requests per second and usual seconds until the response, for each route.
ROUTES = {
    "long": (46.0, 2.0),
    "short": (180.0, 0.5),
    "call": (60.0, 0.05),
    "rare": (8.0, 0.05),
}
# Streams last so long at most, however late their first event is.
MAX_STREAM_S = 3.0
STEP_S = 0.05
REPORT_STEPS = 5
# Time until a decision has reached all gateways.
DELAY_STEPS = 10


def draw_good(route="", sent=0, time_s=0.0):
    return "slow" if random.random() < 0.02 else "ok"


def make_bad(fraction, *, kind="failure", after=0, route=None):
    """Return the behavior of a version with so many bad responses.

    They begin after so many requests, on one route or all.
    """

    def draw(name, sent, time_s):
        is_bad = sent > after and route in (None, name) and random.random() < fraction
        return kind if is_bad else draw_good()

    return draw


class StepwiseRollout:
    """One rollout before one gateway, until it ends or long after its deadline.

    ``draw(route, sent, time_s)`` is "ok", "slow" or "failure" for each response of the
    new version, by the number of requests sent to it. ``exposed`` counts the latter,
    with those until the last decision has reached the gateway, and ``allowed`` is the
    bound on them.
    """

    def __init__(
        self, draw, seed=1, *, deadline_s=12.0, listed_s=4.0, routes=ROUTES, new=36
    ):
        random.seed(seed)
        order = RolloutOrder("s", "v2", deadline_s)
        self.progress = RolloutProgress(Rollout(1, order, 0.0), POLICY, 0.0, 0.0)
        self.draw = draw
        self.deadline_s, self.listed_s = deadline_s, listed_s
        self.routes, self.new = routes, new
        self.counts = {r: ([0] * 4 + [0.0], [0] * 4 + [0.0]) for r in routes}
        self.running = []
        self.replies = [self.progress.make_reply(GATEWAY)] * DELAY_STEPS
        self.time_s, self.exposed, self.bad, self.arrived = 0.0, 0, 0, 0
        self.shares = []

    def run(self):
        while self.time_s < self.deadline_s + 30.0:
            self.step()
            if self.completed or self.rolled_back:
                break
        for reply in self.replies[-DELAY_STEPS:]:
            self.replies.append(reply)
            self.send_requests()
        return self

    @property
    def verdict(self):
        return self.progress.decision.verdict

    @property
    def rolled_back(self):
        return self.verdict is Verdict.ROLL_BACK

    @property
    def completed(self):
        is_ready = self.verdict is Verdict.READY
        return is_ready and not self.progress.list_unconfirmed({GATEWAY}, self.time_s)

    @property
    def allowed(self):
        rate = sum(rate for rate, _ in self.routes.values())
        left_s = max(0.0, self.deadline_s - self.time_s)
        return 0.1 * (self.arrived + rate * left_s) + 50

    def step(self):
        self.time_s += STEP_S
        self.send_requests()
        self.end_requests()
        if round(self.time_s / STEP_S) % REPORT_STEPS == 0:
            self.report()
        new = self.new if self.time_s >= self.listed_s else 0
        decision = self.progress.decide(RolloutEndpoints(36, new), True, self.time_s)
        self.shares.append(decision.share)
        self.replies.append(self.progress.make_reply(GATEWAY))

    def send_requests(self):
        reply = self.replies[-DELAY_STEPS]
        for route, (rate, usual_s) in self.routes.items():
            arrivals = sum(random.random() < rate * STEP_S / 40 for _ in range(40))
            self.arrived += arrivals
            share = reply.route_shares.get(route, reply.share)
            for _ in range(arrivals):
                is_new = self.time_s >= self.listed_s and random.random() < share
                self.exposed += is_new
                self.counts[route][is_new][0] += 1
                draw = self.draw if is_new else draw_good
                result = draw(route, self.exposed, self.time_s)
                took_s = usual_s * random.uniform(0.5, 1.5)
                took_s *= 4 if result == "slow" else 1
                end_s = self.time_s + min(MAX_STREAM_S, took_s)
                self.running.append((end_s, took_s, route, is_new, result))

    def end_requests(self):
        for end_s, took_s, route, is_new, result in self.running:
            if end_s <= self.time_s:
                row = self.counts[route][is_new]
                row[1] += 1
                row[2] += result == "failure"
                row[3] += result == "slow"
                row[4] += 0.0 if result == "failure" else math.log(1000 * took_s)
                self.bad += is_new and result != "ok"
        self.running = [row for row in self.running if row[0] > self.time_s]

    def report(self):
        rows = {
            route: RouteCounts(VersionCounts(*old), VersionCounts(*new))
            for route, (old, new) in self.counts.items()
        }
        in_flight = sum(not row[3] for row in self.running)
        share = self.replies[-DELAY_STEPS].share
        counts = RolloutCounts(1, rows, in_flight, share)
        self.progress.record(GATEWAY, counts, self.time_s)
