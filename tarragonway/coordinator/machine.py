"""Replicated state of the coordinators.

It holds the configuration, usage, quarantine, versions and rollouts.
"""

import zlib
from typing import Any

import msgspec

from tarragonway.core.decoding import decode_stored
from tarragonway.core.ids import (
    AccountId,
    Fingerprint,
    PartId,
    ServiceName,
    SoftwareVersion,
)
from tarragonway.core.numbers import EncodedInteger, decode_integer
from tarragonway.quarantine import HeldPart
from tarragonway.rollouts.store import (
    BeginRollout,
    EndRollout,
    RolloutAccepted,
    RolloutConflict,
    RolloutStore,
)

RETAINED_WINDOWS = 64


class PutConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Replaces the configuration, unless the one in force is as new or newer.

    ``revision`` is an integer of any size.
    """

    revision: EncodedInteger
    data: bytes


class ConfigurationStored(msgspec.Struct, frozen=True, tag=True):
    """The revision in force after the command."""

    revision: int


class DecideUsage(msgspec.Struct, frozen=True, tag=True):
    """Decides the counts of one usage window, unless they are decided already."""

    window: int
    counts: dict[AccountId, int]


class UsageDecided(msgspec.Struct, frozen=True, tag=True):
    """The decided counts of a window, which are final."""

    window: int
    counts: dict[AccountId, int]


class MarkReported(msgspec.Struct, frozen=True, tag=True):
    """Records that the platform has accepted the report of a window."""

    window: int


class PutHeldParts(msgspec.Struct, frozen=True, tag=True):
    """Replaces the prompt parts and contents that must not be sent to endpoints.

    ``contents`` are named with the endpoints that failed on each; None changes none.
    Earlier releases do not read them.
    """

    held: dict[PartId, HeldPart]
    contents: dict[Fingerprint, tuple[str, ...]] | None = None


class PutVersions(msgspec.Struct, frozen=True, tag=True):
    """Replaces the software versions whose streams can still be resumed."""

    versions: dict[ServiceName, tuple[SoftwareVersion, ...]]


Command = (
    PutConfiguration
    | DecideUsage
    | MarkReported
    | PutHeldParts
    | PutVersions
    | BeginRollout
    | EndRollout
)
Result = ConfigurationStored | UsageDecided | RolloutAccepted | RolloutConflict | None


class _Content(msgspec.Struct):
    revision: EncodedInteger = -1
    data: bytes = b""
    usage: dict[int, dict[AccountId, int]] = {}
    reported: dict[int, bool] = {}
    held: dict[PartId, HeldPart] = {}
    held_revision: int = 0
    versions: dict[ServiceName, tuple[SoftwareVersion, ...]] = {}
    versions_revision: int = 0
    held_contents: dict[Fingerprint, tuple[str, ...]] = {}
    rollouts: RolloutStore = msgspec.field(default_factory=RolloutStore)


_encoder = msgspec.msgpack.Encoder()
_command_decoder = msgspec.msgpack.Decoder(Command)
_content_decoder = msgspec.msgpack.Decoder(_Content)


class CoordinatorMachine:
    """Applies committed commands in log order.

    Examples
    --------
    >>> machine = CoordinatorMachine()
    >>> machine.apply(PutConfiguration(7, b"a")).revision
    7
    >>> machine.apply(PutConfiguration(6, b"b")).revision
    7
    >>> machine.data
    b'a'
    """

    def __init__(self) -> None:
        self._content = _Content()

    @property
    def revision(self) -> int:
        """Revision of the configuration in force, -1 if there is none."""
        return decode_integer(self._content.revision)

    @property
    def data(self) -> bytes:
        """Compressed text of the configuration in force."""
        return self._content.data

    @property
    def usage(self) -> dict[int, dict[AccountId, int]]:
        """Decided counts by window."""
        return self._content.usage

    @property
    def held(self) -> dict[PartId, HeldPart]:
        """Prompt parts that must not be sent to endpoints."""
        return self._content.held

    @property
    def held_contents(self) -> dict[Fingerprint, tuple[str, ...]]:
        """Contents that must not be sent, with the endpoints that failed on each."""
        return self._content.held_contents

    @property
    def held_revision(self) -> int:
        """Number of changes of the held parts and contents."""
        return self._content.held_revision

    @property
    def versions(self) -> dict[ServiceName, tuple[SoftwareVersion, ...]]:
        """Software versions of services whose streams can still be resumed."""
        return self._content.versions

    @property
    def versions_revision(self) -> int:
        """Number of changes of the software versions, 0 if none are known."""
        return self._content.versions_revision

    @property
    def rollouts(self) -> RolloutStore:
        """The latest rollout of each service."""
        return self._content.rollouts

    @property
    def last_window(self) -> int:
        """The newest window with decided counts, or -1."""
        return max(self._content.usage, default=-1)

    def is_reported(self, window: int) -> bool:
        """Return whether the platform has acknowledged the window's report."""
        return window in self._content.reported

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot; empty data is the initial state."""
        self._content = (
            decode_stored(_content_decoder, data, "the state of a snapshot")
            if data
            else _Content()
        )

    def encode(self) -> bytes:
        """Return the encoded state for a snapshot."""
        return _encoder.encode(self._content)

    def encode_command(self, command: Command, now_ms: int) -> bytes:
        """Return the log entry's payload; the time is unused by these commands."""
        return _encoder.encode(command)

    def apply_payload(self, payload: bytes) -> Any:
        """Apply the payload of one committed log entry and return its result."""
        return self.apply(decode_stored(_command_decoder, payload, "a log entry"))

    def apply(self, command: Command) -> Any:
        """Apply one command and return its result."""
        content = self._content
        match command:
            case PutConfiguration(revision, data):
                if decode_integer(revision) > self.revision:
                    content.revision = revision
                    content.data = data
                return ConfigurationStored(self.revision)
            case DecideUsage(window, counts):
                decided = content.usage.setdefault(window, counts)
                self._remove_old_windows()
                return UsageDecided(window, decided)
            case PutHeldParts(held, contents):
                content.held = held
                if contents is not None:
                    content.held_contents = contents
                content.held_revision += 1
                return None
            case PutVersions(versions):
                content.versions = versions
                content.versions_revision += 1
                return None
            case BeginRollout() | EndRollout():
                return content.rollouts.apply(command)
            case MarkReported(window):
                if window in content.usage:
                    content.reported[window] = True
                return None

    def _remove_old_windows(self) -> None:
        content = self._content
        while len(content.usage) > RETAINED_WINDOWS:
            oldest = min(content.usage)
            del content.usage[oldest]
            content.reported.pop(oldest, None)


def compress_configuration(text: bytes) -> bytes:
    """Return a configuration text in the compressed form that the log stores."""
    return zlib.compress(text, 1)
