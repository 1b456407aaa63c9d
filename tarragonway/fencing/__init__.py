"""Leases with fencing tokens: one process at a time sends orders to an endpoint."""

from tarragonway.fencing.book import (
    FenceBook,
    OrderLeaseBusy,
    OrderLeaseGranted,
    TakeOrderLease,
)

__all__ = ["FenceBook", "OrderLeaseBusy", "OrderLeaseGranted", "TakeOrderLease"]
