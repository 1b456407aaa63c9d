"""Drawn messages of valid types whose fields hold extreme values."""

import enum
import math
import types
import typing

import msgspec
from hypothesis import strategies as st

from tarragonway.links.messages import LinkMessage

INTEGERS = [0, 1, -1, 7, 2**31, 2**53, 2**63 - 1, -(2**63), 2**64 - 1]
FLOATS = [0.0, 1.0, -1.0, 1e-308, 1e30, 1e308, -1e308, math.inf, -math.inf, math.nan]
TEXTS = [
    "",
    "a",
    "e@1",
    "abc",
    "-1",
    "9" * 5000,
    "9" * 400,
    "1" * 70_000,
    "\0",
    "é:70000",
]
TYPES = typing.get_args(LinkMessage)


def draw_messages():
    """Return a strategy of messages as raw MessagePack, mostly of a valid shape."""
    return st.one_of([draw_type(message_type) for message_type in TYPES]).map(
        msgspec.msgpack.encode
    )


def draw_type(kind):
    """Return a strategy of values that MessagePack encodes for a type."""
    origin = typing.get_origin(kind)
    arguments = typing.get_args(kind)
    if origin is typing.Annotated:
        return draw_type(arguments[0])
    if origin in (typing.Union, types.UnionType):
        return st.one_of([draw_type(item) for item in arguments])
    if origin is tuple:
        items = draw_type(arguments[0])
        if arguments[-1] is not ...:
            return st.tuples(*map(draw_type, arguments))
        return st.lists(items, max_size=3)
    if origin in (dict, list):
        if origin is list:
            return st.lists(draw_type(arguments[0]), max_size=3)
        return st.dictionaries(
            draw_type(arguments[0]), draw_type(arguments[1]), max_size=3
        )
    return _draw_plain(kind)


def _draw_plain(kind):
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return st.sampled_from([item.value for item in kind]) | st.text(max_size=3)
    kind = getattr(kind, "__supertype__", kind)
    if kind is type(None):
        return st.none()
    if kind is bool:
        return st.booleans()
    if kind is int or (isinstance(kind, type) and issubclass(kind, int)):
        return st.sampled_from(INTEGERS) | st.integers(-(2**63), 2**64 - 1)
    if kind is float:
        return st.sampled_from(FLOATS) | st.floats()
    if kind is str:
        return st.sampled_from(TEXTS) | st.text(max_size=4)
    if kind is bytes:
        return st.binary(max_size=9)
    if issubclass(kind, enum.Enum):
        return st.sampled_from([member.value for member in kind] + TEXTS)
    return _draw_struct(kind)


def _draw_struct(kind):
    config = kind.__struct_config__
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = {
        name: draw_type(hints[field])
        for field, name in zip(
            kind.__struct_fields__, kind.__struct_encode_fields__, strict=True
        )
    }
    if config.array_like:
        return st.tuples(*fields.values()).map(list)
    if config.tag is not None:
        fields[config.tag_field] = st.just(config.tag)
    return st.fixed_dictionaries(fields)
