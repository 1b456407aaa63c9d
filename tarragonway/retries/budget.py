"""Budget that limits retries to a fraction of requests."""

DEFAULT_RETRY_RATIO = 0.1
DEFAULT_RESERVE_RETRIES = 10.0


class RetryBudget:
    """Budget of retries that requests earn and that may be saved up to a limit.

    By default, ten requests earn one retry, and ten retries may be saved up.

    Parameters
    ----------
    ratio : float
        Retries that each request earns.
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
        """Add what one request earns; not called for its retries."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def withdraw(self) -> bool:
        """Take one retry; return False if the balance is too low."""
        if self._balance < 1.0 - 1e-9:
            return False
        self._balance -= 1.0
        return True
