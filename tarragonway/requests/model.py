"""Record of an accepted request."""

import enum

import msgspec

from tarragonway.core.ids import (
    AccountId,
    Fingerprint,
    OwnerEpoch,
    ProcessName,
    RequestId,
    ServiceName,
)


class RequestState(enum.Enum):
    """State of an accepted request."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


class RequestRecord(msgspec.Struct, frozen=True):
    """An accepted request with the tokens generated so far.

    Parameters
    ----------
    id : RequestId
        Contains the names of the first owner and its peers, so that any entry process
        can find the request.
    epoch : OwnerEpoch
        Owner epoch: the number of owners so far, from 1. Only the latest owner may
        write.
    body : bytes
        The caller's JSON body.
    tokens : tuple of str
        Generated tokens; a token's position is its index.
    kv : str
        Reference to the exported KV cache, if the owner hands the request over.
    """

    id: RequestId
    account: AccountId
    service: ServiceName
    fingerprint: Fingerprint
    priority: int
    body: bytes
    owner: ProcessName
    epoch: OwnerEpoch
    state: RequestState = RequestState.RUNNING
    tokens: tuple[str, ...] = ()
    error: str = ""
    kv: str = ""
