"""Operators' calls about rollouts, in the form of a platform."""

from collections.abc import Callable

import msgspec

from tarragonway.core.ids import ServiceName
from tarragonway.rollouts.model import Rollout, RolloutOrder


class RolloutCalls(msgspec.Struct, frozen=True):
    """Path and formats of the calls.

    ``decode_order`` raises :exc:`InvalidOrderError`. ``decode_read_target`` returns the
    service that a read call's path names, None for another path.
    """

    begin_path: str
    decode_order: Callable[[bytes], RolloutOrder]
    decode_read_target: Callable[[str], ServiceName | None]
    encode_rollout: Callable[[Rollout], bytes]
