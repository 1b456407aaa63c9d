"""Messages of the watch."""

import msgspec

from tarragonway.state import Change, View


class WatchPoll(msgspec.Struct, frozen=True, tag=True):
    """Request of an entry process for the changes since its version.

    ``digest`` is a digest of its view, and empty except in the infrequent polls for a
    full check.
    """

    call: int
    version: int
    digest: str = ""


class WatchReply(msgspec.Struct, frozen=True, tag=True):
    """State that was in force at some time after the poll was sent.

    Either ``changes`` lead from the polled version to ``version``, or ``view`` is the
    full view at ``version``.
    """

    call: int
    version: int
    changes: tuple[Change, ...] = ()
    view: View | None = None


class WatchPush(msgspec.Struct, frozen=True, tag=True):
    """Changes from ``base`` to ``version``, sent without a poll."""

    base: int
    version: int
    changes: tuple[Change, ...]
