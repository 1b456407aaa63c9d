"""Software versions of endpoints, and the streams that only one of them can end."""

from tarragonway.versions.history import (
    ServiceVersions,
    VersionHistory,
    is_in_history,
    list_beginnable,
    needs_record,
)
from tarragonway.versions.model import StreamOrigin, count_by_version
from tarragonway.versions.records import MAX_LIFETIME_S, OriginRecords
from tarragonway.versions.resumption import (
    UnknownOrigin,
    UnknownOriginReason,
    decide_origin,
)

__all__ = [
    "MAX_LIFETIME_S",
    "OriginRecords",
    "ServiceVersions",
    "StreamOrigin",
    "UnknownOrigin",
    "UnknownOriginReason",
    "VersionHistory",
    "count_by_version",
    "decide_origin",
    "is_in_history",
    "list_beginnable",
    "needs_record",
]
