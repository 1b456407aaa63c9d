"""Retry budgets of gateways whose part of all retries changes."""

from tarragonway.retries.budget import RetryBudget


# Guards against more retries than all gateways together may make: the load pattern is
# that of a gateway whose part becomes smaller while its balance is full.
def test_balance_falls_to_a_lower_reserve():
    stated = None
    budget = RetryBudget(0.5, 4.0, 4.0, lambda: stated)
    budget.deposit()
    stated = 1.0
    budget.deposit()
    assert [budget.withdraw() for _ in range(2)] == [True, False]
