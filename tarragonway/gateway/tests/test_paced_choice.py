import collections
import random

import pytest

from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import Load, Prompt, PromptPart
from tarragonway.gateway.choice import EndpointChooser
from tarragonway.routing.engine_speed import EngineSpeeds
from tarragonway.routing.loads import LoadTracker

EXPECTED = (
    "e5 e1 e11 e0 e4 e8 e6 e10 e7 e9 e11 e2 e3 e4 e0 e5 e4 e7 e3 e0 e6 e10 "
    "e10 e10 e1 e8 e9 e2 e7 e2 e2 e5 e4 e11 e2 e6 e8 e8 e9 e7 e3 e1 e10 e2 "
    "e7 e2 e9 e5 e8 e8 e11 e8 e4 e8 e2 e11 e7 e11 e3 e3"
)


def make_chooser(seed=1):
    return EndpointChooser(LoadTracker(), EngineSpeeds(), random.Random(seed))


def make_endpoints(count, slots=64):
    return [
        ListedEndpoint(f"e{n}", f"e{n}", "s", "127.0.0.1:1", "a", slots, False)
        for n in range(count)
    ]


def record(chooser, row, load, slowdown, now):
    if slowdown is not None:
        chooser.paces.record_statement("s", row.key, slowdown, now)
    chooser.record_load(row, Load(load, 0, row.slots, slowdown), now)


def count_requests(paces, prompt, *, slots, service_s, per_s, objective_ms):
    """Return the number of requests that each endpoint gets within 30 seconds.

    Requests run for ``service_s`` times the pace, and endpoints report their load when
    they end, to one chooser that sends ``per_s`` requests a second.
    """
    chooser, source = make_chooser(), random.Random(2)
    rows = make_endpoints(len(paces), slots)
    running, ends = collections.Counter(), []
    totals = collections.Counter()
    now = 0.0
    while now < 30.0:
        now += source.expovariate(per_s)
        for end in sorted(item for item in ends if item[0] <= now):
            ends.remove(end)
            _, number, choice = end
            running[number] -= 1
            chooser.record_completion(choice, True, False, end[0])
            record(chooser, rows[number], running[number], paces[number], end[0])
        choice = chooser.choose(rows, "s", prompt, now, objective_ms)
        number = rows.index(choice.endpoint)
        chooser.record_send(choice)
        chooser.record_first_event(choice, choice.work_ms, now)
        running[number] += 1
        totals[number] += 1
        ends.append((now + service_s * paces[number], number, choice))
    return totals


# Guards against equal numbers of requests at unequal endpoints, whose slow ones then
# decide the p99, and against all requests at the fast ones. The speeds are in the
# proportion 2 : 1.4 : 1.
def test_unequal_engines_get_requests_in_proportion_to_their_speed():
    paces = [0.7] * 4 + [1.0] * 4 + [1.4] * 4
    totals = count_requests(
        paces, Prompt(2400, 9), slots=64, service_s=1.0, per_s=200, objective_ms=630.0
    )
    fast, usual, slow = (
        sum(totals[number] for number in group)
        for group in (range(4), range(4, 8), range(8, 12))
    )
    assert 0.75 * 1.4 <= fast / usual <= 2 * 1.4
    assert 0.75 * 1.4 <= usual / slow <= 2 * 1.4


# Guards against plain services whose endpoints count as equal, or whose fastest one is
# sent all requests.
def test_unequal_plain_endpoints_share_requests_by_speed():
    totals = count_requests(
        [0.6, 1.0, 2.0], None, slots=6, service_s=0.06, per_s=160, objective_ms=225.0
    )
    assert totals[0] > totals[1] > totals[2] > 0
    assert totals[0] < 0.75 * totals.total()


# Guards against changed choices in deployments whose endpoints report three figures:
# the expected ones were recorded before endpoints had paces.
def test_three_figures_change_no_choice():
    chooser, source = make_chooser(7), random.Random(8)
    rows = make_endpoints(12, 8)
    chosen = []
    for number in range(60):
        now = number * 0.05
        prompt = (
            None
            if number % 3 == 0
            else Prompt(
                2400, 100, (PromptPart(f"p{number % 4}", 900), PromptPart("q", 9))
            )
        )
        choice = chooser.choose(rows, "s", prompt, now)
        chosen.append(choice.endpoint.key)
        chooser.record_send(choice)
        chooser.record_first_event(choice, source.uniform(20, 200), now + 0.01)
        if number % 2:
            chooser.record_completion(choice, True, number % 10 == 1, now + 0.02)
            record(chooser, choice.endpoint, source.randrange(10), None, now + 0.02)
    assert " ".join(chosen) == EXPECTED


# Guards against gateways that all turn to the endpoint whose report they have heard.
@pytest.mark.parametrize("count", [3, 45])
def test_choosers_with_the_same_statement_do_not_all_choose_the_same(count):
    rows = make_endpoints(count)
    chosen = collections.Counter()
    prompt = Prompt(2400, 100) if count > 3 else None
    for seed in range(80):
        chooser = make_chooser(seed)
        for row in rows:
            record(chooser, row, 10, 1.0, 0.0)
        record(chooser, rows[0], 2, 0.3, 10.0)
        chosen[chooser.choose(rows, "s", prompt, 10.0).endpoint.key] += 1
    assert chosen["e0"] <= (60 if count == 3 else 16)
    # The statement does have an effect.
    assert chosen["e0"] > 80 / count


# Guards against a gateway that avoids an endpoint for long after one report of a high
# load, as it hears no newer one.
def test_old_report_of_a_high_load_decays():
    chooser, rows = make_chooser(), make_endpoints(3)
    for second in range(50):
        for row in rows:
            record(chooser, row, 10, 1.0, float(second))
    record(chooser, rows[0], 60, 1.0, 50.0)

    def count(now):
        choices = [chooser.choose(rows, "s", Prompt(2400, 9), now) for _ in range(300)]
        return sum(choice.endpoint == rows[0] for choice in choices)

    assert count(50.0) < 60
    record(chooser, rows[0], 10, 1.0, 50.1)
    record(chooser, rows[0], 10, 1.0, 50.2)
    assert count(70.0) > 20


# Guards against the loss of cached prompts: the endpoints that have one stay preferred.
def test_endpoints_with_a_cached_prompt_stay_preferred():
    chooser, rows = make_chooser(), make_endpoints(45)
    for row in rows:
        record(chooser, row, 10, 1.0, 0.0)
    prompt = Prompt(2400, 100, (PromptPart("shared", 2000), PromptPart("own", 400)))
    keys = {chooser.choose(rows, "s", prompt, 10.0).endpoint.key for _ in range(100)}
    assert len(keys) <= 2


# Guards against refusals for overload because only slow endpoints were drawn.
def test_more_endpoints_are_drawn_before_a_request_counts_as_late():
    chooser, rows = make_chooser(), make_endpoints(40)
    for number, row in enumerate(rows):
        record(chooser, row, 10 if number % 4 == 0 else 80, 1.0, 0.0)
    delays = [
        chooser.choose(rows, "s", Prompt(2400, 9), 0.0, 630.0).delay_ms
        for _ in range(200)
    ]
    assert sum(delay_ms > 630 for delay_ms in delays) < 20


def test_delay_is_multiplied_by_the_pace():
    chooser, rows = make_chooser(), make_endpoints(1)
    record(chooser, rows[0], 10, 2.0, 0.0)
    choice = chooser.choose(rows, "s", Prompt(2400, 9), 0.0)
    assert choice.delay_ms == pytest.approx(2 * (2400 * 0.018 + 10 * 4.0))
    assert choice.expected_ms == pytest.approx(2400 * 0.018 + 10 * 4.0)


# Guards against gateways that all prefer the same one of the endpoints with a popular
# prompt cached.
def test_endpoints_with_a_cached_prompt_share_its_requests():
    chooser, rows = make_chooser(), make_endpoints(45)
    for number, row in enumerate(rows):
        record(chooser, row, 10 + number % 2, 1.0, 0.0)
    prompt = Prompt(2400, 100, (PromptPart("popular", 2000), PromptPart("own", 400)))
    chosen = collections.Counter(
        chooser.choose(rows, "s", prompt, 10.0, 630.0).endpoint.key for _ in range(200)
    )
    assert len(chosen) == 2
    assert min(chosen.values()) > 60
