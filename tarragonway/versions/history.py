"""History of the software versions whose streams can still be resumed."""

from collections.abc import Iterable, Mapping

from tarragonway.core.ids import ServiceName, SoftwareVersion, StreamKey
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.versions.model import StreamOrigin
from tarragonway.versions.records import MAX_LIFETIME_S

# Time for which a version stays in the history after its last endpoint was listed: as
# long as the longest record of a stream lasts.
HISTORY_RETENTION_S = MAX_LIFETIME_S
# With two versions, the origin of a stream does not follow from the history any more.
MAX_VERSIONS = 16
# One stream in so many, by its key, may begin at versions that the history lacks, and
# is resumed by its record only.
RECORDED_ONLY_DIVISOR = 8

ServiceVersions = dict[ServiceName, tuple[SoftwareVersion, ...]]


class VersionHistory:
    """Versions of each service that may have begun a stream that still runs.

    The leader adds a version before it publishes its endpoints, and gateways begin
    resumable streams at other versions only as :func:`list_beginnable` allows. So a
    service with one version in the history has begun all streams at this one, but for
    those that :func:`needs_record` names.

    Examples
    --------
    >>> history = VersionHistory()
    >>> row = ListedEndpoint("e", "e", "s", "10.0.0.1:1", "z", 4, False, version="v1")
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
    """Return whether any stream may begin at an endpoint.

    A history that is full does not name all versions. It has several, so no origin
    follows from it.
    """
    names = versions.get(row.service, ())
    return row.version in names or len(names) >= MAX_VERSIONS


def needs_record(key: StreamKey) -> bool:
    """Return whether a stream can be resumed by its record only, not by the history.

    Examples
    --------
    >>> [needs_record(StreamKey(key)) for key in (15, 16, 17)]
    [False, True, False]
    """
    return key % RECORDED_ONLY_DIVISOR == 0


def list_beginnable(
    rows: Iterable[ListedEndpoint],
    listed: Iterable[ListedEndpoint],
    versions: ServiceVersions,
    key: StreamKey | None,
) -> list[ListedEndpoint]:
    """Return the endpoints at which a resumable stream may begin.

    A gateway that reads the platform's list itself may see a version which the history
    lacks. Once its endpoints have gone, nobody else would count it among those that may
    have begun a stream. So only streams that are never resumed by the history may begin
    there. All may if no endpoint of a known version is left: the history will then name
    several versions, since it retains the former ones.

    Parameters
    ----------
    rows : iterable of ListedEndpoint
        Endpoints of one service that may be sent the request.
    listed : iterable of ListedEndpoint
        All endpoints of the service.
    versions : mapping of ServiceName to tuple of SoftwareVersion
        The history, as this process knows it.
    key : StreamKey or None
        Key of the stream; None if no caller can name it.
    """
    rows = list(rows)
    if key is not None and needs_record(key):
        return rows
    known = [row for row in rows if is_in_history(versions, row)]
    if known or any(is_in_history(versions, row) for row in listed):
        return known
    return [row for row in rows if versions.get(row.service)]
