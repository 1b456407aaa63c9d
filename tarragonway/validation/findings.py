"""What a validation finds."""

import enum

import msgspec


class Severity(enum.Enum):
    """How a finding counts.

    A coordinator rejects a configuration with an ``ERROR``. A ``WARNING`` is accepted
    and probably not meant. A ``CHANGE`` is a difference from the version in force.
    """

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"


class Finding(msgspec.Struct, frozen=True):
    """A finding about one entry.

    ``place`` is the entry, such as ``routes[3]``, or a position in the text; ``key`` is
    the name of its value. Both are "" if the whole configuration is meant.
    """

    severity: Severity
    place: str
    key: str
    text: str
    remedy: str = ""


def warn(place: str, key: str, text: str, remedy: str) -> Finding:
    """Return a warning."""
    return Finding(Severity.WARNING, place, key, text, remedy)


def note_change(place: str, key: str, text: str) -> Finding:
    """Return a difference from the version in force."""
    return Finding(Severity.CHANGE, place, key, text)
