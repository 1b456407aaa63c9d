"""Order leases with fencing tokens: one process at a time orders an endpoint."""

from tarragonway.fencing.book import (
    FenceBook,
    OrderLeaseBusy,
    OrderLeaseGranted,
    TakeOrderLease,
)

__all__ = ["FenceBook", "OrderLeaseBusy", "OrderLeaseGranted", "TakeOrderLease"]
