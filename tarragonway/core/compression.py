"""Decompression with a bound on the size of the result."""

import zlib

from tarragonway.core.errors import TarragonwayError


class DecompressionError(TarragonwayError):
    """Bytes are not a complete zlib stream, or their decompressed form is too long."""


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Return the decompressed bytes.

    Raises
    ------
    DecompressionError
        If the bytes are damaged or incomplete, or decompress to over ``max_bytes``.

    Examples
    --------
    >>> decompress(zlib.compress(b"text"), 4)
    b'text'
    >>> decompress(zlib.compress(b"text"), 3)
    Traceback (most recent call last):
    ...
    tarragonway.core.compression.DecompressionError: over 3 bytes when decompressed
    """
    decompressor = zlib.decompressobj()
    try:
        result = decompressor.decompress(data, max_bytes + 1)
    except zlib.error as error:
        raise DecompressionError(str(error)) from error
    if len(result) > max_bytes:
        raise DecompressionError(f"over {max_bytes} bytes when decompressed")
    if not decompressor.eof:
        raise DecompressionError("the compressed bytes are incomplete")
    return result
