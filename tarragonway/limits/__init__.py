"""Rate limits: leased shares of plan limits, token buckets and a fair queue."""

from tarragonway.limits.bucket import TokenBucket
from tarragonway.limits.holder import ShareHolder
from tarragonway.limits.ledger import Limit, ShareLedger
from tarragonway.limits.queue import FairQueue

__all__ = ["FairQueue", "Limit", "ShareHolder", "ShareLedger", "TokenBucket"]
