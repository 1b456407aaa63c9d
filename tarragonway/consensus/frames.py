"""Checksummed frames in a file."""

import struct
from collections.abc import Iterator

import msgspec
import xxhash

from tarragonway.core.errors import CorruptDataError

MAGIC = b"TWF1"
_HEADER = struct.Struct(">4sIQ")


class Frame(msgspec.Struct, frozen=True):
    """Payload of a frame, and the file offset at which the frame ends."""

    payload: bytes
    end: int


def encode_frame(payload: bytes) -> bytes:
    """Return the payload preceded by a header with its length and checksum."""
    checksum = xxhash.xxh3_64_intdigest(payload)
    return _HEADER.pack(MAGIC, len(payload), checksum) + payload


def read_frames(data: bytes, name: str) -> Iterator[Frame]:
    """Yield the complete frames of a file and stop at a torn tail.

    The tail is torn if the file ends inside a frame, or if only zeros follow (space
    that was allocated but not written). Data in a torn tail was never acknowledged.
    Any other damage may affect acknowledged data and is an error.

    Raises
    ------
    CorruptDataError
        If a frame does not start with the magic bytes, or if a complete frame does
        not match its checksum.
    """
    offset = 0
    while len(data) - offset >= _HEADER.size:
        magic, length, checksum = _HEADER.unpack_from(data, offset)
        if not any(magic) and not any(data[offset:]):
            return
        if magic != MAGIC:
            raise CorruptDataError(f"{name}: no frame starts at byte {offset}")
        start = offset + _HEADER.size
        payload = data[start : start + length]
        if len(payload) < length:
            return
        if xxhash.xxh3_64_intdigest(payload) != checksum:
            raise CorruptDataError(
                f"{name}: the frame at byte {offset} does not match its checksum"
            )
        offset = start + length
        yield Frame(payload, offset)
