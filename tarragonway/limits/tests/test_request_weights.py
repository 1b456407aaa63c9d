import random

from tarragonway.limits.request_weights import RequestWeights


def test_few_permits_go_to_the_requests_with_most_work():
    """Load pattern: few long prompts among many short ones, and few permits."""
    weights, source = RequestWeights(), random.Random(1)
    chosen, every = [], []
    for _ in range(3000):
        work_s = source.choice([0.01, 0.01, 0.01, 0.2]) * source.uniform(0.8, 1.2)
        weights.record(work_s)
        every.append(work_s)
        if weights.is_among_heaviest(work_s, 0.2):
            chosen.append(work_s)
    assert 0.15 <= len(chosen) / len(every) <= 0.25
    # The plain predecessor, a fifth chosen at random, carries a fifth of the work.
    assert sum(chosen) / sum(every) >= 0.6


def test_requests_with_equal_work_all_use_permits():
    weights = RequestWeights()
    for _ in range(10):
        weights.record(0.0)
    assert weights.is_among_heaviest(0.0, 0.1)


def test_any_request_uses_a_permit_while_nothing_is_known():
    assert RequestWeights().is_among_heaviest(0.1, 0.1)
