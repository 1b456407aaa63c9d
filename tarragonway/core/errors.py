"""Errors that stop a process or prevent its start.

Expected outcomes are values (see :mod:`tarragonway.core.outcomes`); an exception
from this module means a broken invariant or unusable input from an operator.
"""


class TarragonwayError(Exception):
    """Base class of all errors that the package raises."""


class InvariantError(TarragonwayError):
    """A condition that the code relies on does not hold."""


class SettingsError(TarragonwayError):
    """A settings or list file cannot be used.

    Parameters
    ----------
    path : str
        File with the error.
    problem : str
        What is wrong with the file or the value.
    remedy : str
        What the operator can do about it.
    key : str, optional
        Dotted key of the wrong value.
    line : int, optional
        Line of the key, from 1; 0 if it is not known.

    Examples
    --------
    >>> print(SettingsError("a.toml", "is 0", "use 1 or more", "http.port", 3))
    a.toml:3: http.port: is 0; use 1 or more
    """

    def __init__(
        self, path: str, problem: str, remedy: str, key: str = "", line: int = 0
    ) -> None:
        self.path = path
        self.problem = problem
        self.remedy = remedy
        self.key = key
        self.line = line
        super().__init__(self._format_message())

    def _format_message(self) -> str:
        place = f"{self.path}:{self.line}" if self.line else self.path
        subject = f"{self.key}: " if self.key else ""
        return f"{place}: {subject}{self.problem}; {self.remedy}"


class CorruptDataError(TarragonwayError):
    """Synced data on disk does not match its checksum, so the process must not vote."""
