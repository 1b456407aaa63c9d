"""Budget that limits retries to a fraction of requests."""

from collections.abc import Callable

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

    read_reserve : callable, optional
        Returns the reserve that holds instead at the moment, or None.

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
        read_reserve: Callable[[], float | None] | None = None,
    ) -> None:
        self._read_reserve = read_reserve
        self._ratio = ratio
        self._reserve = reserve
        self._balance = balance

    def deposit(self) -> None:
        """Add the fraction for one request; not called for its retries."""
        self._balance = min(self._get_reserve(), self._balance + self._ratio)

    def _get_reserve(self) -> float:
        reserve = self._read_reserve() if self._read_reserve else None
        return self._reserve if reserve is None else reserve

    def withdraw(self) -> bool:
        """Subtract one retry; return False if the balance is too low."""
        if self._balance < 1.0 - 1e-9:
            return False
        self._balance -= 1.0
        return True
