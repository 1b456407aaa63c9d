"""Numbers that other processes and operators state, within bounds of their use."""

import math
import sys
from typing import Annotated

from msgspec import Meta

# Fields of messages between processes. Their decoder refuses numbers out of range, also
# NaN and infinity, so that handlers never get any.
Amount = Annotated[float, Meta(ge=0, le=sys.float_info.max)]
Age = Annotated[float, Meta(ge=0, le=1e9)]
ClockTime = Annotated[float, Meta(ge=-1e11, le=1e11)]
ClockDifference = Annotated[float, Meta(ge=-2e11, le=2e11)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
# Number of processes of one kind.
ProcessCount = Annotated[int, Meta(ge=0, le=100_000)]

# Integers outside of this range have no encoding in MessagePack.
_MIN_INTEGER = -(2**63)
_MAX_INTEGER = 2**64 - 1

# An integer of any size in a message or in the log. Longer texts are beyond what
# ``int`` reads.
EncodedInteger = int | Annotated[str, Meta(pattern=r"^-?[0-9]{1,4300}$")]


def encode_integer(number: int) -> EncodedInteger:
    """Return an integer in a form that MessagePack can encode.

    Examples
    --------
    >>> encode_integer(7), encode_integer(10**20)
    (7, '100000000000000000000')
    """
    return number if _MIN_INTEGER <= number <= _MAX_INTEGER else str(number)


def decode_integer(encoded: EncodedInteger) -> int:
    """Return the integer that :func:`encode_integer` has encoded.

    Examples
    --------
    >>> decode_integer("100000000000000000000") == 10**20
    True
    """
    return int(encoded)


def parse_bounded_number(text: bytes | str, max_value: float) -> float | None:
    """Return a number from 0 to ``max_value``, None if the text is none.

    Larger numbers count as ``max_value``, infinity too.

    Examples
    --------
    >>> [parse_bounded_number(text, 60.0) for text in ("2.5", "1e9", b"inf", "0")]
    [2.5, 60.0, 60.0, 0.0]
    >>> [parse_bounded_number(text, 60.0) for text in ("-1", "nan", "soon", "")]
    [None, None, None, None]
    """
    try:
        number = float(text)
    except ValueError:
        return None
    if math.isnan(number) or number < 0:
        return None
    return min(number, max_value)


def parse_bounded_count(text: bytes | str, max_value: int) -> int | None:
    """Return a whole number from 0 to ``max_value``, None if the text is none.

    Negative numbers count as 0, and larger ones as ``max_value``.

    Examples
    --------
    >>> [parse_bounded_count(text, 100) for text in ("7", "-7", "9" * 3000, "x")]
    [7, 0, 100, None]
    """
    try:
        number = int(text)
    except ValueError:
        return None
    return max(0, min(number, max_value))
