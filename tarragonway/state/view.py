"""Part of the replicated state that every entry process keeps a copy of."""

import msgspec
import xxhash

from tarragonway.core.ids import (
    EndpointId,
    Fingerprint,
    OwnerEpoch,
    ProcessName,
    RequestId,
    Revision,
)
from tarragonway.endpoints.model import Endpoint


class ListsChange(msgspec.Struct, frozen=True, tag=True):
    """New lists are in force."""

    revision: Revision
    accounts_text: str
    plans_text: str


class EndpointChange(msgspec.Struct, frozen=True, tag=True):
    """An endpoint was added or changed."""

    endpoint: Endpoint


class EndpointRemoval(msgspec.Struct, frozen=True, tag=True):
    """An endpoint was removed from the endpoint list."""

    endpoint: EndpointId


class QuarantineChange(msgspec.Struct, frozen=True, tag=True):
    """A content or message was quarantined, became a suspect, or was cleared."""

    fingerprint: Fingerprint
    quarantined: bool
    suspected: bool


class OwnerChange(msgspec.Struct, frozen=True, tag=True):
    """A request was adopted by a new owner under a higher owner epoch."""

    request: RequestId
    epoch: OwnerEpoch
    owner: ProcessName


Change = ListsChange | EndpointChange | EndpointRemoval | QuarantineChange | OwnerChange


class View(msgspec.Struct, tag=True):
    """Lists, endpoints, suspects, quarantined contents and adoptions at one version.

    Examples
    --------
    >>> view = View()
    >>> view.apply(QuarantineChange("f", True, False))
    >>> view.quarantined
    {'f': True}
    """

    version: int = 0
    revision: Revision = Revision(0)
    accounts_text: str = ""
    plans_text: str = ""
    endpoints: dict[EndpointId, Endpoint] = {}
    quarantined: dict[Fingerprint, bool] = {}
    suspects: dict[Fingerprint, bool] = {}
    owners: dict[RequestId, tuple[OwnerEpoch, ProcessName]] = {}

    def apply(self, change: Change) -> None:
        """Apply one change; the caller sets the version."""
        match change:
            case ListsChange(revision, accounts_text, plans_text):
                self.revision = revision
                self.accounts_text = accounts_text
                self.plans_text = plans_text
            case EndpointChange(endpoint):
                self.endpoints[endpoint.id] = endpoint
            case EndpointRemoval(endpoint_id):
                self.endpoints.pop(endpoint_id, None)
            case QuarantineChange(fingerprint, quarantined, suspected):
                _set_flag(self.quarantined, fingerprint, quarantined)
                _set_flag(self.suspects, fingerprint, suspected)
            case OwnerChange(request, epoch, owner):
                self.owners[request] = (epoch, owner)

    def compute_digest(self) -> str:
        """Return a digest of lists and endpoints, for the infrequent full check."""
        content = (
            self.revision,
            self.accounts_text,
            self.plans_text,
            sorted(self.endpoints.items()),
        )
        return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(content))


def _set_flag(rows: dict[Fingerprint, bool], key: Fingerprint, value: bool) -> None:
    if value:
        rows[key] = True
    else:
        rows.pop(key, None)
