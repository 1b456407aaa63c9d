"""Origin of a stream: what the endpoint ran that sent its first event."""

from collections.abc import Iterable

import msgspec

from tarragonway.core.ids import ServiceName, SoftwareVersion
from tarragonway.endpoints.endpoint_list import ListedEndpoint


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Service and software version that began a stream, and that must end it.

    Texts of two versions do not fit together, and endpoints do not check this.

    Examples
    --------
    >>> row = ListedEndpoint("e.1", "e", "s", "127.0.0.1:1", "a", 4, False)
    >>> StreamOrigin("s", "v1").matches(row)
    False
    >>> StreamOrigin("s", "v1").matches(msgspec.structs.replace(row, version="v1"))
    True
    """

    service: ServiceName
    version: SoftwareVersion

    @classmethod
    def from_endpoint(cls, row: ListedEndpoint) -> "StreamOrigin":
        """Return the origin of a stream that this endpoint begins."""
        return cls(row.service, row.version)

    def matches(self, row: ListedEndpoint) -> bool:
        """Return whether this endpoint may go on with the stream."""
        return (row.service, row.version) == (self.service, self.version)


def count_by_version(
    rows: Iterable[ListedEndpoint], service: ServiceName
) -> dict[SoftwareVersion, int]:
    """Return the number of a service's endpoints that are not leaving, by version."""
    counts: dict[SoftwareVersion, int] = {}
    for row in rows:
        if row.service == service and not row.leaving:
            counts[row.version] = counts.get(row.version, 0) + 1
    return counts
