"""Messages over pynng, with one inbox per process and one connection to each peer.

Every process listens on a PULL socket and dials a PUSH socket per peer, so that
messages need no reply and a lost peer blocks no other. Awaiting pynng's own coroutines
switches threads for each message. The event loop therefore watches the inbox's receive
descriptor and drains the inbox without blocking (``docs/DESIGN.md`` has the figures).
"""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec
import pynng

from tarragonway.core.counters import Counters
from tarragonway.core.decoding import UndecodableError, decode_bytes
from tarragonway.core.drops import DroppedMessages
from tarragonway.core.errors import CorruptDataError, InvariantError
from tarragonway.core.hashes import compute_mac, verify_mac
from tarragonway.core.ids import ProcessName

M = TypeVar("M")

MAC_BYTES = 16
MAX_MESSAGE_BYTES = 256 * 1024 * 1024
MAX_SEND_QUEUE_MESSAGES = 1024
MAX_RECEIVE_QUEUE_MESSAGES = 1024
MIN_RECONNECT_DELAY_MS = 50
MAX_RECONNECT_DELAY_MS = 1000
MAX_DRAINED_MESSAGES = 256


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    sender: str
    recipient: str
    body: msgspec.Raw


class Delivery(msgspec.Struct, Generic[M], frozen=True):
    """A verified message and the process that sent it."""

    sender: ProcessName
    body: M


class Mailbox(Generic[M]):
    """Sends and receives typed messages between processes that share a key.

    Parameters
    ----------
    name : ProcessName
        This process.
    address : str
        ``IP:port`` to listen on.
    peers : dict of ProcessName to str
        Addresses of the other processes.
    key : bytes
        Cluster key, 32 to 64 bytes; messages with another key are dropped and counted.
    message_type : type
        Union of all message types.
    counters : Counters
        Receives ``mailbox.*`` counters.
    """

    def __init__(
        self,
        name: ProcessName,
        address: str,
        peers: dict[ProcessName, str],
        key: bytes,
        message_type: type[M],
        counters: Counters,
    ) -> None:
        self._name = name
        self._address = address
        self._peers = peers
        self._key = key
        self._body_decoder = msgspec.msgpack.Decoder(message_type)
        self._envelope_decoder = msgspec.msgpack.Decoder(_Envelope)
        self._encoder = msgspec.msgpack.Encoder()
        self._counters = counters
        self._drops = DroppedMessages(counters, "mailbox")
        self._handler: Callable[[Delivery[M]], None] | None = None
        self._inbox: pynng.Pull0 | None = None
        self._outboxes: dict[ProcessName, pynng.Push0] = {}

    def open(self, handler: Callable[[Delivery[M]], None]) -> None:
        """Listen, and call ``handler`` from the event loop for each message.

        Raises
        ------
        pynng.exceptions.AddressInUse
            If another process listens on the address.
        """
        self._handler = handler
        self._inbox = pynng.Pull0(
            recv_buffer_size=MAX_RECEIVE_QUEUE_MESSAGES, recv_max_size=MAX_MESSAGE_BYTES
        )
        self._inbox.listen(f"tcp://{self._address}")
        loop = asyncio.get_running_loop()
        loop.add_reader(self._inbox.recv_fd, self._drain)

    def close(self) -> None:
        """Stop listening and drop unsent messages."""
        if self._inbox is not None:
            asyncio.get_running_loop().remove_reader(self._inbox.recv_fd)
            self._inbox.close()
            self._inbox = None
        for outbox in self._outboxes.values():
            outbox.close()
        self._outboxes.clear()

    def send(self, recipient: ProcessName, body: M) -> bool:
        """Queue one message; return False if it was dropped.

        A message is dropped if the recipient is unknown or its queue is full. Delivery
        of a queued message is not guaranteed either: callers resend what must arrive.
        """
        outbox = self._get_outbox(recipient)
        if outbox is None:
            self._counters.increment("mailbox.unknown_recipient")
            return False
        raw = msgspec.Raw(self._encoder.encode(body))
        data = self._encoder.encode(_Envelope(self._name, recipient, raw))
        try:
            outbox.send(compute_mac(self._key, data) + data, block=False)
        except pynng.exceptions.NNGException:
            self._counters.increment("mailbox.dropped")
            return False
        self._counters.increment("mailbox.sent")
        self._counters.increment("mailbox.sent_bytes", len(data) + MAC_BYTES)
        return True

    def _get_outbox(self, recipient: ProcessName) -> pynng.Push0 | None:
        outbox = self._outboxes.get(recipient)
        if outbox is not None:
            return outbox
        address = self._peers.get(recipient)
        if address is None:
            return None
        outbox = pynng.Push0(
            send_buffer_size=MAX_SEND_QUEUE_MESSAGES,
            reconnect_time_min=MIN_RECONNECT_DELAY_MS,
            reconnect_time_max=MAX_RECONNECT_DELAY_MS,
        )
        outbox.dial(f"tcp://{address}", block=False)
        self._outboxes[recipient] = outbox
        return outbox

    def _drain(self) -> None:
        for _ in range(MAX_DRAINED_MESSAGES):
            if self._inbox is None:
                return
            try:
                frame = self._inbox.recv(block=False)
            except pynng.exceptions.TryAgain:
                return
            self._handle_frame(frame)
        # More messages may be queued: continue after other callbacks have run.
        asyncio.get_running_loop().call_soon(self._drain)

    def _handle_frame(self, frame: bytes) -> None:
        mac, data = frame[:MAC_BYTES], frame[MAC_BYTES:]
        if not verify_mac(self._key, data, mac):
            self._counters.increment("mailbox.unauthenticated")
            return
        try:
            envelope = decode_bytes(self._envelope_decoder, data)
            body = decode_bytes(self._body_decoder, envelope.body)
        except UndecodableError:
            self._counters.increment("mailbox.malformed")
            return
        if envelope.recipient != self._name:
            self._counters.increment("mailbox.misdirected")
            return
        self._counters.increment("mailbox.received")
        assert self._handler is not None
        try:
            self._handler(Delivery(ProcessName(envelope.sender), body))
        except (InvariantError, CorruptDataError):
            raise
        except Exception as error:
            self._drops.record_failed(envelope.sender, body, error)
