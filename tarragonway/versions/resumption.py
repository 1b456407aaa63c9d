"""Decision on the version at which a stream goes on that a caller resumes."""

import enum
from collections.abc import Collection, Iterable, Mapping

import msgspec

from tarragonway.core.ids import ServiceName, SoftwareVersion
from tarragonway.versions.model import StreamOrigin


class UnknownOriginReason(enum.Enum):
    """Why the origin of a stream is not known."""

    CONTRADICTORY_RECORDS = "contradictory_records"
    RECORD_MISSING = "record_missing"
    SEVERAL_VERSIONS = "several_versions"
    HISTORY_UNKNOWN = "history_unknown"
    OTHER_ROUTE = "other_route"


class UnknownOrigin(msgspec.Struct, frozen=True):
    """The version that began the stream is not known, so it must not go on."""

    reason: UnknownOriginReason


def decide_origin(
    records: Collection[StreamOrigin],
    services: Collection[ServiceName],
    history: Mapping[ServiceName, Iterable[SoftwareVersion]] | None,
    listed: Iterable[SoftwareVersion],
    *,
    is_recorded_only: bool = False,
) -> StreamOrigin | UnknownOrigin:
    """Return what began a stream, from the records and the versions in service.

    Without a record, the origin follows only if one service with one version can have
    begun the stream.

    Parameters
    ----------
    records : collection of StreamOrigin
        Recorded origins of the stream.
    services : collection of ServiceName
        Services to which the stream's route leads.
    history : mapping of ServiceName to iterable of SoftwareVersion, or None
        Versions whose streams can still be resumed; None if it is not known.
    listed : iterable of SoftwareVersion
        Versions of the listed endpoints of ``services``, which the history may lack.
    is_recorded_only : bool
        Whether the stream may have begun at a version that the history lacks
        (:func:`~tarragonway.versions.history.needs_record`).

    Examples
    --------
    >>> decide_origin([], ["s"], {"s": ["v1"]}, ["v1"])
    StreamOrigin(service='s', version='v1')
    >>> decide_origin([], ["s"], {"s": ["v1", "v2"]}, ["v2"]).reason.value
    'several_versions'
    >>> decide_origin([StreamOrigin("s", "v1")], ["s"], None, ["v2"])
    StreamOrigin(service='s', version='v1')
    """
    origins = set(records)
    if len(origins) > 1:
        return UnknownOrigin(UnknownOriginReason.CONTRADICTORY_RECORDS)
    if origins:
        (origin,) = origins
        if origin.service in services:
            return origin
        return UnknownOrigin(UnknownOriginReason.OTHER_ROUTE)
    if is_recorded_only:
        return UnknownOrigin(UnknownOriginReason.RECORD_MISSING)
    if history is None:
        return UnknownOrigin(UnknownOriginReason.HISTORY_UNKNOWN)
    candidates = {
        StreamOrigin(service, version)
        for service in services
        for version in history.get(service, ())
    }
    if len(candidates) == 1 and len(services) == 1:
        (candidate,) = candidates
        if {candidate.version}.issuperset(listed):
            return candidate
    if not candidates:
        return UnknownOrigin(UnknownOriginReason.HISTORY_UNKNOWN)
    return UnknownOrigin(UnknownOriginReason.SEVERAL_VERSIONS)
