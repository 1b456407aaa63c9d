"""All values of a text that are missing or of a wrong type.

A decoder stops at the first one. This reads the parts of the text one by one instead.
"""

import functools
import re
import types
import typing
from collections.abc import Iterator
from typing import Any

import msgspec

from tarragonway.core.decoding import UndecodableError, decode_bytes
from tarragonway.platform.configuration import RawConfiguration
from tarragonway.routes.checks import Fault
from tarragonway.routes.model import ConfigurationError

REMEDY = "state a value of this type"
_PLACE = re.compile(r" - at `\$\.?(.*)`$", re.DOTALL)
_BYTE = re.compile(r"\(byte (\d+)\)$")


def list_decoding_faults(data: bytes, error: ConfigurationError) -> list[Fault]:
    """Return all faults of a text that cannot be decoded.

    Parameters
    ----------
    data : bytes
        The text.
    error : ConfigurationError
        The error of :func:`decode_raw` for it. The first fault has its message.
    """
    message = str(error)
    match = _PLACE.search(message)
    if match is None:
        return [Fault(message, _find_position(data, message), "", _find_remedy(data))]
    place, _, key = match[1].rpartition(".")
    first = Fault(message, place, key, REMEDY)
    faults = list(_list_type_faults(RawConfiguration, data, ""))
    described = [fault for fault in faults if _describe(fault) == match[1]]
    same = described[:1] or faults[:1]
    return [first, *(fault for fault in faults if fault not in same)]


def _describe(fault: Fault) -> str:
    return f"{fault.place}.{fault.key}" if fault.place and fault.key else fault.key


def _find_position(data: bytes, message: str) -> str:
    """Return the line and column of a syntax fault, or "" if it has none."""
    match = _BYTE.search(message)
    if match is not None:
        offset = min(int(match[1]), len(data))
    elif message.endswith("truncated"):
        offset = len(data)
    else:
        return ""
    line_start = data.rfind(b"\n", 0, offset) + 1
    line = data.count(b"\n", 0, offset) + 1
    return f"line {line}, column {offset - line_start + 1}"


def _find_remedy(data: bytes) -> str:
    if not data.strip():
        return "send a JSON object; the text is empty"
    return "send one complete JSON object in UTF-8"


def _list_type_faults(kind: Any, data: bytes, place: str) -> Iterator[Fault]:
    """Yield a fault for each value of the text that a decoder of ``kind`` rejects."""
    fault = _find_fault(kind, data, place)
    if fault is None:
        return
    parts = list(_split(kind, data, place))
    yield from parts if parts else [fault]


def _split(kind: Any, data: bytes, place: str) -> Iterator[Fault]:
    """Yield the faults of the parts of a value, if it has parts."""
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    try:
        if origin is types.UnionType:
            (inner,) = (a for a in arguments if a is not types.NoneType)
            yield from _split(inner, data, place)
        elif origin is list:
            for index, item in enumerate(_read(list[msgspec.Raw], data)):
                yield from _list_type_faults(
                    arguments[0], bytes(item), f"{place}[{index}]"
                )
        elif origin is dict:
            for key, item in _read(dict[str, msgspec.Raw], data).items():
                yield from _list_type_faults(
                    arguments[1], bytes(item), f"{place}[{key!r}]"
                )
        elif isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            yield from _split_struct(kind, data, place)
    except UndecodableError:
        return


def _split_struct(
    kind: type[msgspec.Struct], data: bytes, place: str
) -> Iterator[Fault]:
    values = _read(dict[str, msgspec.Raw], data)
    for field in msgspec.structs.fields(kind):
        field_place = f"{place}.{field.name}" if place else field.name
        if field.name in values:
            yield from _list_type_faults(
                field.type, bytes(values[field.name]), field_place
            )
        elif field.required:
            text = f"cannot be read: {field_place} is missing"
            yield Fault(text, place, field.name, f"add {field.name}")


def _find_fault(kind: Any, data: bytes, place: str) -> Fault | None:
    try:
        _read(kind, data)
    except UndecodableError as error:
        reason = _PLACE.sub("", str(error))
        entry, _, key = place.rpartition(".")
        return Fault(f"cannot be read: {place}: {reason}", entry, key, REMEDY)
    return None


def _read(kind: Any, data: bytes) -> Any:
    return decode_bytes(_make_decoder(kind), data)


@functools.cache
def _make_decoder(kind: Any) -> msgspec.json.Decoder[Any]:
    return msgspec.json.Decoder(kind)
