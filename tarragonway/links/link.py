"""Connection between two processes.

A frame consists of a four-byte length and a MessagePack body; an empty frame is a
heartbeat. The highest bit of the length marks a body that is compressed with zlib. A
peer may disappear without a reset of the connection, so both sides send heartbeats and
abort a connection on which nothing arrives. A frame that cannot be decoded, or whose
handler fails, is dropped, and the link stays open: its framing is intact.
"""

import asyncio
import socket
import struct
import zlib
from collections.abc import Callable

import msgspec
import structlog

from tarragonway.core.compression import DecompressionError, decompress
from tarragonway.core.counters import Counters
from tarragonway.core.decoding import UndecodableError, decode_bytes
from tarragonway.core.drops import DroppedMessages
from tarragonway.core.errors import CorruptDataError, InvariantError
from tarragonway.links.messages import LinkMessage

HEARTBEAT_INTERVAL_S = 0.5
# A link on which nothing arrives for this time is aborted.
PEER_SILENCE_TIMEOUT_S = 1.6
MAX_FRAME_BYTES = 32 * 1024 * 1024
# A link with more queued bytes is aborted at the next message, since the peer does not
# read.
MAX_UNSENT_BYTES = 16 * 1024 * 1024
# Compression shrinks endpoint lists and configurations to a fifth; for shorter bodies
# it saves too little for its processing time.
MIN_COMPRESSION_BYTES = 2048
COMPRESSED_BIT = 0x8000_0000

_LENGTH = struct.Struct(">I")
_HEARTBEAT = _LENGTH.pack(0)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LinkMessage)

_log = structlog.get_logger()


class Link(asyncio.Protocol):
    """Protocol that sends and receives messages on one connection.

    Parameters
    ----------
    receive : callable
        Called with this link and each received message.
    lost : callable
        Called with this link once the connection has ended.
    drops : DroppedMessages, optional
        Records the messages that are dropped.
    """

    def __init__(
        self,
        receive: Callable[["Link", LinkMessage], None],
        lost: Callable[["Link"], None],
        drops: DroppedMessages | None = None,
    ) -> None:
        self._receive = receive
        self._lost = lost
        self._drops = drops or DroppedMessages(Counters())
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._received_at = 0.0
        self.peer = ""

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Number of queued bytes that the operating system has not accepted yet."""
        transport = self._transport
        return transport.get_write_buffer_size() if transport is not None else 0

    def send(self, message: LinkMessage) -> bool:
        """Queue one message; return False if the connection is closed or aborted."""
        return self.send_encoded(encode_message(message))

    def send_encoded(self, frame: bytes) -> bool:
        """Queue one frame made by :func:`encode_message`.

        Returns
        -------
        bool
            False if the connection is closed, or is aborted because the peer does not
            read the bytes that are already queued.
        """
        if self._transport is None or self._transport.is_closing():
            return False
        if self.unsent_bytes > MAX_UNSENT_BYTES:
            _log.warning("link aborted", peer=self.peer, reason="peer does not read")
            self.abort()
            return False
        self._transport.write(frame)
        return True

    def abort(self) -> None:
        """Close the connection at once and discard queued bytes."""
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Disable Nagle's algorithm and start heartbeats."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop = asyncio.get_running_loop()
        self._received_at = loop.time()
        self._timer = loop.call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeat)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes and deliver complete messages."""
        self._received_at = asyncio.get_running_loop().time()
        self._buffer += data
        while len(self._buffer) >= _LENGTH.size:
            (header,) = _LENGTH.unpack_from(self._buffer)
            length = header & ~COMPRESSED_BIT
            if length > MAX_FRAME_BYTES:
                _log.error("link aborted", peer=self.peer, reason="frame too long")
                self.abort()
                return
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            if length:
                self._deliver(body, bool(header & COMPRESSED_BIT))

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop heartbeats and report the end of the connection."""
        if self._timer is not None:
            self._timer.cancel()
        self._transport = None
        self._lost(self)

    def _deliver(self, body: bytes, compressed: bool) -> None:
        """Decode and handle one message; broken invariants are not dropped."""
        try:
            if compressed:
                body = decompress(body, MAX_FRAME_BYTES)
            message = decode_bytes(_decoder, body)
        except (UndecodableError, DecompressionError) as error:
            self._drops.record_undecodable(self.peer, body, error)
            return
        try:
            self._receive(self, message)
        except (InvariantError, CorruptDataError):
            raise
        except Exception as error:
            self._drops.record_failed(self.peer, message, error)

    def _send_heartbeat(self) -> None:
        if self._transport is None:
            return
        loop = asyncio.get_running_loop()
        if loop.time() - self._received_at > PEER_SILENCE_TIMEOUT_S:
            _log.info("link aborted", peer=self.peer, reason="silent")
            self._transport.abort()
            return
        self._transport.write(_HEARTBEAT)
        self._timer = loop.call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeat)


def encode_message(message: LinkMessage) -> bytes:
    """Return a message as one frame, which can be sent on several links."""
    body = _encoder.encode(message)
    if len(body) < MIN_COMPRESSION_BYTES:
        return _LENGTH.pack(len(body)) + body
    body = zlib.compress(body, 1)
    return _LENGTH.pack(len(body) | COMPRESSED_BIT) + body
