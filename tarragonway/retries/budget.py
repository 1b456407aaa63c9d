"""Retry budget."""

DEPOSIT_A_REQUEST = 0.1
RESERVE_RETRIES = 10.0


class RetryBudget:
    """Allows one retry for every ten requests, and a small reserve after quiet times.

    Parameters
    ----------
    ratio : float
        Retries that each request earns.
    reserve : float
        Most retries that may be saved up.
    balance : float
        Retries that are there at the start.

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
        ratio: float = DEPOSIT_A_REQUEST,
        reserve: float = RESERVE_RETRIES,
        balance: float = 0.0,
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._balance = balance

    def deposit(self) -> None:
        """Note one first try."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def withdraw(self) -> bool:
        """Take one retry if there is one."""
        if self._balance < 1.0 - 1e-9:
            return False
        self._balance -= 1.0
        return True
