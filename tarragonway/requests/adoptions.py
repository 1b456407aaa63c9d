"""Replicated store of the owners of adopted requests."""

import msgspec

from tarragonway.core.ids import OwnerEpoch, ProcessName, RequestId

ADOPTION_RETENTION_MS = 86_400_000


class AdoptRequest(msgspec.Struct, frozen=True, tag=True):
    """Request of a process for the ownership of an accepted request.

    ``epoch`` is the owner epoch that the ownership would have: one more than the last
    one that the sender has received.
    """

    request: RequestId
    epoch: OwnerEpoch
    owner: ProcessName


class AdoptionGranted(msgspec.Struct, frozen=True, tag=True):
    """The requesting process is the owner; writes of earlier owners are refused."""

    epoch: OwnerEpoch


class AdoptionLost(msgspec.Struct, frozen=True, tag=True):
    """Another process owns the request, with this owner epoch."""

    epoch: OwnerEpoch
    owner: ProcessName


class Adoption(msgspec.Struct, frozen=True):
    """Owner of a request, and the time in milliseconds since which it owns it."""

    epoch: OwnerEpoch
    owner: ProcessName
    since_ms: int


class AdoptionStore(msgspec.Struct):
    """Store of adopted requests; one that was never adopted has no row.

    Examples
    --------
    >>> store = AdoptionStore()
    >>> store.adopt(AdoptRequest("r", 2, "entry-2"), 0)
    AdoptionGranted(epoch=2)
    >>> store.adopt(AdoptRequest("r", 2, "entry-3"), 0)
    AdoptionLost(epoch=2, owner='entry-2')
    """

    rows: dict[RequestId, Adoption] = {}

    def adopt(
        self, command: AdoptRequest, now_ms: int
    ) -> AdoptionGranted | AdoptionLost:
        """Grant the request to the first process that asks for the next owner epoch."""
        self._prune(now_ms)
        known = self.rows.get(command.request)
        if known is not None and known.epoch >= command.epoch:
            if known.epoch == command.epoch and known.owner == command.owner:
                return AdoptionGranted(command.epoch)
            return AdoptionLost(known.epoch, known.owner)
        self.rows.pop(command.request, None)
        self.rows[command.request] = Adoption(command.epoch, command.owner, now_ms)
        return AdoptionGranted(command.epoch)

    def _prune(self, now_ms: int) -> None:
        for request, row in list(self.rows.items()):
            if now_ms < row.since_ms + ADOPTION_RETENTION_MS:
                break
            del self.rows[request]
