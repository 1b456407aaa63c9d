"""Decoding of bytes from outside, with one error and a bound on nesting.

A decoder needs a part of the interpreter's stack for each level of nesting, and how
much is left depends on the caller. Text from outside is therefore checked against a
fixed bound before it is decoded, so that every process decides alike.
"""

import re
from typing import Any, Protocol, TypeVar

import msgspec

from tarragonway.core.errors import CorruptDataError, TarragonwayError

# Levels of objects and arrays in JSON text.
MAX_DEPTH = 64

T_co = TypeVar("T_co", covariant=True)
T = TypeVar("T")

# A string that is not closed extends to the end of the text.
_STRING = re.compile(rb'"(?>[^"\\]*(?:\\.[^"\\]*)*)"?', re.DOTALL)
_STRING_OR_BRACKET = re.compile(_STRING.pattern + rb"|[\[\]{}]", re.DOTALL)
_NOT_BRACKETS = bytes(byte for byte in range(256) if byte not in b"[]{}")
_OPENING = frozenset(b"[{")


class UndecodableError(TarragonwayError):
    """Bytes from outside cannot be decoded, for whatever reason."""


class Decoder(Protocol[T_co]):
    """A decoder of one type, such as :class:`msgspec.json.Decoder`."""

    def decode(self, data: Any, /) -> T_co:
        """Return the decoded value."""
        ...


def decode_json(decoder: Decoder[T], data: bytes | msgspec.Raw) -> T:
    """Return what a decoder reads from JSON text.

    Raises
    ------
    UndecodableError
        If the text is nested deeper than :data:`MAX_DEPTH`, is not JSON, or does not
        fit the decoder's type.

    Examples
    --------
    >>> decode_json(msgspec.json.Decoder(list[int]), b"[1, 2]")
    [1, 2]
    >>> decode_json(msgspec.json.Decoder(), b"[" * 5000)
    Traceback (most recent call last):
    ...
    tarragonway.core.decoding.UndecodableError: nested over 64 levels deep
    """
    text = bytes(data)
    if is_too_deep(text):
        raise UndecodableError(f"nested over {MAX_DEPTH} levels deep")
    return decode_bytes(decoder, text)


def decode_bytes(decoder: Decoder[T], data: bytes | msgspec.Raw) -> T:
    """Return what a decoder of any format reads.

    Raises
    ------
    UndecodableError
        If the decoder raises any error: besides its own errors, it may raise
        ``RecursionError`` for nested values, ``ValueError`` for text and numbers, and
        ``OverflowError`` for numbers.
    """
    try:
        return decoder.decode(data)
    except (
        msgspec.MsgspecError,
        ValueError,
        ArithmeticError,
        RecursionError,
    ) as error:
        raise UndecodableError(str(error)) from error


def decode_stored(decoder: Decoder[T], data: bytes, place: str) -> T:
    """Return what this process or another member of its group has stored.

    Raises
    ------
    CorruptDataError
        If the decoder raises any error; the message names the place.
    """
    try:
        return decode_bytes(decoder, data)
    except UndecodableError as error:
        raise CorruptDataError(f"{place} cannot be decoded: {error}") from error


def is_too_deep(text: bytes) -> bool:
    """Return whether JSON text is nested deeper than :data:`MAX_DEPTH`.

    Brackets in strings do not count. In text that is not JSON, all brackets before the
    first error are counted as a decoder reads them.

    Examples
    --------
    >>> is_too_deep(b"[" * 64), is_too_deep(b"[" * 65), is_too_deep(b'["' + b"[" * 99)
    (False, True, False)
    """
    if text.count(b"[") + text.count(b"{") <= MAX_DEPTH:
        return False
    depth = 0
    for bracket in _STRING.sub(b"", text).translate(None, _NOT_BRACKETS):
        depth += 1 if bracket in _OPENING else -1
        if depth > MAX_DEPTH:
            return True
    return False


def drop_deep_values(text: bytes) -> bytes:
    """Return JSON text in which null replaces what lies deeper than the bound.

    This makes text readable that an earlier release has stored: no type that is decoded
    has fields so deep, so that only unknown fields are shortened.

    Examples
    --------
    >>> text = b'{"a": ' + b"[" * 5000 + b"]" * 5000 + b', "b": 1}'
    >>> msgspec.json.decode(drop_deep_values(text))["b"]
    1
    """
    if not is_too_deep(text):
        return text
    kept: list[bytes] = []
    depth = kept_until = 0
    for match in _STRING_OR_BRACKET.finditer(text):
        if match[0] in (b"[", b"{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept += [text[kept_until : match.start()], b"null"]
        elif match[0] in (b"]", b"}"):
            if depth == MAX_DEPTH + 1:
                kept_until = match.end()
            depth -= 1
    if depth <= MAX_DEPTH:
        kept.append(text[kept_until:])
    return b"".join(kept)
