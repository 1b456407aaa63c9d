"""Software versions of endpoints, and the streams that only one of them can end."""

from tarragonway.versions.model import StreamOrigin, count_by_version

__all__ = ["StreamOrigin", "count_by_version"]
