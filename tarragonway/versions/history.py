"""History of the software versions whose streams can still be resumed."""

from collections.abc import Iterable, Mapping

from tarragonway.core.ids import ServiceName, SoftwareVersion
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.versions.model import StreamOrigin
from tarragonway.versions.records import MAX_LIFETIME_S

# Time for which a version stays in the history after its last endpoint was listed: as
# long as the longest record of a stream lasts.
HISTORY_RETENTION_S = MAX_LIFETIME_S
# With two versions, the origin of a stream does not follow from the history any more.
MAX_VERSIONS = 16

ServiceVersions = dict[ServiceName, tuple[SoftwareVersion, ...]]


class VersionHistory:
    """Versions of each service that may have begun a stream that still runs.

    The leader adds a version before any gateway learns of its endpoints, so a service
    with one version in the history has begun all streams at this one.

    Examples
    --------
    >>> history = VersionHistory()
    >>> row = ListedEndpoint("e", "e", "s", "a:1", "z", 4, False, version="v1")
    >>> history.observe([row], 0.0)
    >>> history.versions
    {'s': ('v1',)}
    >>> history.observe([], 599.0)
    >>> history.versions
    {'s': ('v1',)}
    >>> history.observe([], 601.0)
    >>> history.versions
    {}
    """

    def __init__(self) -> None:
        self._listed_at: dict[StreamOrigin, float] = {}

    def restore(
        self, versions: Mapping[ServiceName, Iterable[SoftwareVersion]], now: float
    ) -> None:
        """Take over the versions of former leaders, as if listed until ``now``."""
        self._listed_at = {
            StreamOrigin(service, version): now
            for service, names in versions.items()
            for version in names
        }

    def observe(self, rows: Iterable[ListedEndpoint], now: float) -> None:
        """Record the endpoints that are listed at ``now``, in seconds."""
        for row in rows:
            self._listed_at[StreamOrigin.from_endpoint(row)] = now
        self._listed_at = {
            origin: listed_at
            for origin, listed_at in self._listed_at.items()
            if now - listed_at <= HISTORY_RETENTION_S
        }

    @property
    def versions(self) -> ServiceVersions:
        """Versions by service, in a fixed order; at most :data:`MAX_VERSIONS` each."""
        versions: dict[ServiceName, list[SoftwareVersion]] = {}
        for origin in self._listed_at:
            versions.setdefault(origin.service, []).append(origin.version)
        return {
            service: tuple(sorted(names)[:MAX_VERSIONS])
            for service, names in sorted(versions.items())
        }


def is_in_history(versions: ServiceVersions, row: ListedEndpoint) -> bool:
    """Return whether gateways may begin streams at an endpoint.

    A history that is full does not name all versions. It has several, so no origin
    follows from it.
    """
    names = versions.get(row.service, ())
    return row.version in names or len(names) >= MAX_VERSIONS
