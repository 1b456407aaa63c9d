"""Rows of the messages about offered load and admitted fractions."""

from typing import Annotated

import msgspec
from msgspec import Meta

from tarragonway.core.ids import AccountId
from tarragonway.core.numbers import Count

MAX_RANK = 9
# Rows of one service in a message. 16 client accounts with routes of four priorities
# need 64.
MAX_ROWS = 64

Rank = Annotated[int, Meta(ge=0, le=MAX_RANK)]
Percent = Annotated[int, Meta(ge=0, le=100)]


class OfferedRow(msgspec.Struct, frozen=True, array_like=True):
    """Load that one account offers a service with requests of one rank and priority.

    ``work_ms_per_s`` is in milliseconds of an endpoint's work per second, and
    ``requests_per_100_s`` counts requests in a hundred seconds: whole numbers take
    fewer bytes.
    """

    account: AccountId
    rank: Rank
    priority: Rank
    work_ms_per_s: Count
    requests_per_100_s: Count


OfferedRows = Annotated[tuple[OfferedRow, ...], Meta(max_length=MAX_ROWS)]


class OfferedService(msgspec.Struct, frozen=True, array_like=True):
    """Load that a gateway's callers offer to one service.

    ``queue_percent`` is what the service's endpoints lately reported as waiting,
    relative to their slots.
    """

    rows: OfferedRows
    queue_percent: Percent = 0


class AdmittedRow(msgspec.Struct, frozen=True, array_like=True):
    """Admitted part of what an account offers with one rank and priority."""

    account: AccountId
    rank: Rank
    priority: Rank
    percent: Percent


AdmittedRows = Annotated[tuple[AdmittedRow, ...], Meta(max_length=MAX_ROWS)]
