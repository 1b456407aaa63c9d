"""Messages of the watch."""

import msgspec

from tarragonway.state import Change, View


class WatchPoll(msgspec.Struct, frozen=True, tag=True):
    """An entry process asks whether it is up to date.

    ``digest`` is sent with the infrequent full check only.
    """

    call: int
    version: int
    digest: str = ""


class WatchReply(msgspec.Struct, frozen=True, tag=True):
    """What was in force at some time after the poll was sent.

    Either ``changes`` lead from the polled version to ``version``, or ``view`` is
    the whole.
    """

    call: int
    version: int
    changes: tuple[Change, ...] = ()
    view: View | None = None


class WatchPush(msgspec.Struct, frozen=True, tag=True):
    """Changes from ``base`` to ``version``, sent without being asked for."""

    base: int
    version: int
    changes: tuple[Change, ...]
