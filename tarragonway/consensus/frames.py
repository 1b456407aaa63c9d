"""Checksummed frames in a file."""

import struct
from collections.abc import Iterator

import msgspec
import xxhash

from tarragonway.core.errors import CorruptDataError

MAGIC = b"TWF1"
_HEADER = struct.Struct(">4sIQ")


class Frame(msgspec.Struct, frozen=True):
    """A frame's payload and the file offset behind it."""

    payload: bytes
    end: int


def encode_frame(payload: bytes) -> bytes:
    """Return the payload behind a header with its length and checksum."""
    checksum = xxhash.xxh3_64_intdigest(payload)
    return _HEADER.pack(MAGIC, len(payload), checksum) + payload


def read_frames(data: bytes, name: str) -> Iterator[Frame]:
    """Yield the whole frames of a file and stop at a torn tail.

    A tail is torn, and was never acknowledged, if the file ends inside it or if it
    holds only zeros (space allotted but not written). Any other damage may have hit
    acknowledged data.

    Raises
    ------
    CorruptDataError
        If a complete frame does not match its checksum.
    """
    offset = 0
    while len(data) - offset >= _HEADER.size:
        magic, length, checksum = _HEADER.unpack_from(data, offset)
        if not any(data[offset:]):
            return
        if magic != MAGIC:
            raise CorruptDataError(f"{name}: no frame at byte {offset}")
        start = offset + _HEADER.size
        payload = data[start : start + length]
        if len(payload) < length:
            return
        if xxhash.xxh3_64_intdigest(payload) != checksum:
            raise CorruptDataError(f"{name}: wrong checksum at byte {offset}")
        offset = start + length
        yield Frame(payload, offset)
