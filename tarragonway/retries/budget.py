"""Budget that limits retries to a fraction of requests."""

DEFAULT_RETRY_RATIO = 0.1
DEFAULT_RESERVE_RETRIES = 10.0


class RetryBudget:
    """Balance of permitted retries, to which each request adds a fraction of a retry.

    By default, ten requests permit one retry, and the balance is at most ten retries.
    A few retries are therefore possible at once after a time with few failures.

    Parameters
    ----------
    ratio : float
        Retries that each request adds, usually a fraction of one.
    reserve : float
        Highest balance in retries.
    balance : float
        Initial balance in retries.

    Examples
    --------
    >>> budget = RetryBudget(0.5, 1.0)
    >>> budget.withdraw()
    False
    >>> budget.deposit()
    >>> budget.deposit()
    >>> budget.withdraw(), budget.withdraw()
    (True, False)
    """

    def __init__(
        self,
        ratio: float = DEFAULT_RETRY_RATIO,
        reserve: float = DEFAULT_RESERVE_RETRIES,
        balance: float = 0.0,
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._balance = balance

    def deposit(self) -> None:
        """Add the fraction for one request; not called for its retries."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def withdraw(self) -> bool:
        """Subtract one retry; return False if the balance is too low."""
        if self._balance < 1.0 - 1e-9:
            return False
        self._balance -= 1.0
        return True
